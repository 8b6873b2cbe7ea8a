#include <catch2/catch.hpp>

#include "gateway_fixture.hpp"
#include "scripted_http_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::call_kind;
using routing::server_role;

namespace
{
	using after_response = fixed_response_server::after_response;

	// Returns a stream that has neither a length nor chunks and ends with its connection.
	std::string stream_without_length(std::string const& events)
	{
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + attempt_header + mac_header + "\r\n" + events;
	}

	// Two decode engines, of which the first one is asked first.
	struct engine_pair
	{
		engine_pair(std::string const& first_answer, after_response after, std::string const& second_answer)
			: first(fixture.loop, first_answer, after)
			, second(fixture.loop, second_answer, after_response::closes)
		{
			this->fixture.add_server("a", this->first.address(), server_role::decode);
			this->fixture.add_server("b", this->second.address(), server_role::decode);
			this->fixture.shared.servers.find(server_id("b"))
				->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
		}

		gateway_fixture fixture{make_route(call_kind::streaming, 2, true)};
		fixed_response_server first;
		fixed_response_server second;
	};
}

// Guards against blank lines or comments without end that pass for a stream that has begun, so that the caller gets no
// event though other servers are free.
TEST_CASE("a stream goes elsewhere when its server sends blank lines or comments without end", "[endless_stream]")
{
	std::string const filler = GENERATE("\n\n", ": x\n\n", ": x\n");
	gateway_fixture fixture(make_route(call_kind::streaming, 2, true));
	std::string repeated;
	while (repeated.size() < 4096)
	{
		repeated += filler;
	}
	repeating_server const faulty(fixture.loop, stream_without_length(""), repeated, std::chrono::milliseconds(1));
	fixed_response_server const sound(fixture.loop, stream_answer("id: 1\ndata: x\n\n", true), after_response::closes);
	fixture.add_server("a", faulty.address(), server_role::decode);
	fixture.add_server("b", sound.address(), server_role::decode);
	fixture.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	auto const answer = fixture.send_request();
	REQUIRE(sound.received().size() == 1);
	REQUIRE(answer.find("data: x") != std::string::npos);
	REQUIRE(is_complete_stream(answer));
	REQUIRE(answer.size() < 2 * gateway::stream_joiner::max_event_bytes);
}

TEST_CASE("an answer without length or chunks that ends with its connection is whole", "[answer_ends]")
{
	SECTION("plain")
	{
		gateway_fixture fixture(make_route(call_kind::non_idempotent, 1, false));
		fixed_response_server server(
			fixture.loop, "HTTP/1.1 200 OK\r\n" + attempt_header + mac_header + "\r\nwhole", after_response::closes);
		fixture.add_server("a", server.address());
		auto const answer = fixture.send_request();
		REQUIRE(answer.starts_with("HTTP/1.1 200"));
		REQUIRE(answer.ends_with("whole"));
	}
	SECTION("a stream")
	{
		engine_pair engines(stream_without_length("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"), after_response::closes, "");
		auto const answer = engines.fixture.send_request();
		REQUIRE(is_complete_stream(answer));
		REQUIRE(answer.find("data: y") != std::string::npos);
		REQUIRE(engines.second.received().empty());
	}
}

TEST_CASE("an answer without length or chunks whose connection is reset is not whole", "[answer_ends]")
{
	SECTION("plain")
	{
		gateway_fixture fixture(make_route(call_kind::non_idempotent, 1, false));
		fixed_response_server server(
			fixture.loop, "HTTP/1.1 200 OK\r\n" + attempt_header + mac_header + "\r\nhal", after_response::resets);
		fixture.add_server("a", server.address());
		REQUIRE(fixture.send_request().starts_with("HTTP/1.1 502"));
	}
	SECTION("a stream")
	{
		engine_pair engines(stream_without_length("id: 1\ndata: x\n\n"), after_response::resets,
			stream_answer("id: 2\ndata: y\n\n", true));
		auto const answer = engines.fixture.send_request();
		REQUIRE(is_complete_stream(answer));
		REQUIRE(answer.find("data: y") != std::string::npos);
	}
}

TEST_CASE("a stream that ends inside an event, however it is framed, goes on at another server", "[answer_ends]")
{
	std::string const cut = "id: 1\ndata: x\n\nid: 2\nda";
	auto const broken = GENERATE_COPY(stream_answer(cut, true), stream_without_length(cut));
	engine_pair engines(broken, after_response::closes, stream_answer("id: 2\ndata: y\n\n", true));
	auto const answer = engines.fixture.send_request();
	REQUIRE(is_complete_stream(answer));
	REQUIRE(answer.find("id: 2\ndata: y\n\n") != std::string::npos);
	REQUIRE(answer.find("id: 2\nda\r\n") == std::string::npos);
	REQUIRE(engines.second.received().front().find("Last-Event-Id: 1\r\n") != std::string::npos);
}

TEST_CASE("a stream that ends inside an event and can't be resumed is not ended as complete", "[answer_ends]")
{
	gateway_fixture fixture(make_route(call_kind::streaming, 1, false));
	fixed_response_server server(
		fixture.loop, stream_answer("id: 1\ndata: x\n\nid: 2\nda", true), after_response::closes);
	fixture.add_server("a", server.address(), server_role::decode);
	auto const answer = fixture.send_request();
	REQUIRE(answer.find("data: x") != std::string::npos);
	REQUIRE_FALSE(is_complete_stream(answer));
}

TEST_CASE("a stream without length that ends before its first event is broken off", "[answer_ends]")
{
	engine_pair engines(stream_without_length(""), after_response::closes, stream_answer("id: 1\ndata: x\n\n", true));
	auto const answer = engines.fixture.send_request();
	REQUIRE(is_complete_stream(answer));
	REQUIRE(answer.find("data: x") != std::string::npos);
}

TEST_CASE("an earlier refusal that is written once more on a kept connection is no answer to the next request",
	"[answer_ends]")
{
	gateway_fixture fixture(make_route(call_kind::non_idempotent, 2, false));
	auto const refusal = http_answer("503 Service Unavailable", "Attempt: r0\r\nNot-Run: 1\r\n", "");
	auto const own = http_answer("200 OK", attempt_header + mac_header, "ran");
	fixed_response_server server(fixture.loop, refusal + own, after_response::stays_silent);
	fixed_response_server other(fixture.loop, own, after_response::closes);
	fixture.add_server("a", server.address());
	fixture.add_server("b", other.address());
	fixture.shared.servers.find(server_id("b"))->load.note_full_until(daemon::monotonic_now() + seconds(100));
	REQUIRE(fixture.send_request().ends_with("ran"));
	REQUIRE(server.received().size() == 1);
	REQUIRE(other.received().empty());
}

TEST_CASE(
	"a refusal that is written once more is no answer to the same call, sent again to the same engine", "[answer_ends]")
{
	gateway_fixture fixture(make_route(call_kind::streaming, 2, false));
	auto const refusal = http_answer("503 Service Unavailable", attempt_header + "Not-Run: 1\r\n", "");
	// The engine refuses the call, since it can't fetch the KV cache, and is sent it again without one.
	scripted_http_server engine({refusal, stream_answer("id: 1\ndata: x\n\n", true)}, refusal);
	fixed_response_server prefill_engine(
		fixture.loop, http_answer("200 OK", attempt_header, "k1"), after_response::closes);
	fixture.add_server("a", http::to_string(engine.listen_address()), server_role::decode);
	fixture.add_server("p", prefill_engine.address(), server_role::prefill);
	auto const answer = fixture.send_request();
	CAPTURE(answer, engine.calls());
	REQUIRE(is_complete_stream(answer));
}

TEST_CASE("a late answer to a caller's request is no answer to a reservation", "[answer_ends]")
{
	gateway_fixture fixture(make_route(call_kind::streaming, 1, false), make_reserving_service());
	auto const late = http_answer("503 Service Unavailable", "Attempt: r0\r\nNot-Run: 1\r\n", "");
	auto const granted = http_answer("200 OK", "", "h1");
	// Answers to the reservation of the stream's memory and to that of the margin; the stream gets none.
	scripted_http_server engine({late + granted, granted});
	fixture.add_server("a", http::to_string(engine.listen_address()), server_role::decode);
	std::ignore = fixture.send_request();
	auto const calls = engine.calls();
	CAPTURE(calls);
	REQUIRE(
		std::ranges::count_if(calls, [](std::string const& each) { return each.starts_with("POST /reserve"); }) == 2);
	REQUIRE(std::ranges::count(calls, "POST /x/y") == 1);
}

TEST_CASE("the error of the next server does not get into a stream that has begun", "[answer_ends]")
{
	auto const error = GENERATE(as<std::string>{}, "500 Internal Server Error", "503 Service Unavailable");
	engine_pair engines(stream_answer("id: 1\ndata: x\n\n", false), after_response::closes,
		http_answer(error, attempt_header + mac_header, "the error's text"));
	auto const answer = engines.fixture.send_request();
	REQUIRE(engines.second.received().size() == 1);
	REQUIRE(answer.find("data: x") != std::string::npos);
	REQUIRE(answer.find("the error's text") == std::string::npos);
	REQUIRE(answer.find(error) == std::string::npos);
	REQUIRE_FALSE(is_complete_stream(answer));
}

TEST_CASE("a server that closes in the middle of its answer's head has not answered", "[answer_ends]")
{
	auto const head =
		GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\nContent-Len", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 2");
	SECTION("a call that may not be repeated")
	{
		gateway_fixture fixture(make_route(call_kind::non_idempotent, 2, false));
		fixed_response_server server(fixture.loop, head, after_response::closes);
		fixture.add_server("a", server.address());
		REQUIRE(fixture.send_request().starts_with("HTTP/1.1 502"));
	}
	SECTION("a stream")
	{
		engine_pair engines(head, after_response::closes, stream_answer("id: 1\ndata: x\n\n", true));
		auto const answer = engines.fixture.send_request();
		REQUIRE(is_complete_stream(answer));
		REQUIRE(answer.find("data: x") != std::string::npos);
	}
}
