#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "gateway_fixture.hpp"
#include "scripted_http_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::call_kind;
using routing::server_role;

namespace
{
	using after_response = fixed_response_server::after_response;
	using fixture = gateway_fixture;
}

TEST_CASE("a server's answer is passed on with its status, its MAC and its body", "[gateway]")
{
	fixture fixture(make_route(call_kind::non_idempotent, 1, false));
	fixed_response_server server(
		fixture.loop, http_answer("201 Created", attempt_header + mac_header, "done"), after_response::stays_silent);
	fixture.add_server("a", server.address());
	auto const answer = fixture.send_request();
	REQUIRE(answer.starts_with("HTTP/1.1 201"));
	REQUIRE(answer.find("Server-Mac: s1") != std::string::npos);
	REQUIRE(answer.ends_with("\r\n\r\ndone"));
	REQUIRE(server.received().front().find("For-Server: a") != std::string::npos);
}

TEST_CASE("a non-idempotent call whose answer is lost is sent once and not reported as not run", "[gateway]")
{
	std::vector<std::string> const answers{"", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", "nonsense",
		http_answer("503 Service Unavailable", attempt_header, "")};
	for (auto const& text : answers)
	{
		CAPTURE(text);
		fixture fixture(make_route(call_kind::non_idempotent, 2, false));
		fixed_response_server first(fixture.loop, text, after_response::closes);
		fixed_response_server second(fixture.loop, text, after_response::closes);
		fixture.add_server("a", first.address());
		fixture.add_server("b", second.address());
		REQUIRE(fixture.send_request().starts_with("HTTP/1.1 502"));
		REQUIRE(first.received().size() + second.received().size() == 1);
	}
}

TEST_CASE("a non-idempotent call to a server that never answers ends with 504 at the route's timeout", "[gateway]")
{
	fixture fixture(make_route(call_kind::non_idempotent, 2, false));
	fixed_response_server server(fixture.loop, "", after_response::stays_silent);
	fixture.add_server("a", server.address());
	REQUIRE(fixture.send_request().starts_with("HTTP/1.1 504"));
	REQUIRE(server.received().size() == 1);
}

TEST_CASE("a call that no server accepted is refused at once with a Retry-After header", "[gateway]")
{
	fixture fixture(make_route(call_kind::non_idempotent, 1, false));
	SECTION("no server is known")
	{
	}
	SECTION("nothing listens")
	{
		fixture.add_server("a", refused_address(fixture.loop));
	}
	fixed_response_server full(fixture.loop,
		http_answer("503 Service Unavailable", attempt_header + "Not-Run: 1\r\n", ""), after_response::closes);
	SECTION("the server reports that it did not run the call")
	{
		fixture.add_server("a", full.address());
	}
	fixed_response_server other(fixture.loop, http_answer("421 Misdirected Request", "", ""), after_response::closes);
	SECTION("another server uses the address")
	{
		fixture.add_server("a", other.address());
	}
	auto const answer = fixture.send_request();
	REQUIRE(answer.starts_with("HTTP/1.1 503"));
	REQUIRE(answer.find("Retry-After: 0.") != std::string::npos);
}

TEST_CASE("a server that announces its leaving gets no more calls, even while the registry lists it", "[gateway]")
{
	fixture fixture(make_route(call_kind::idempotent, 2, false));
	fixed_response_server leaving(fixture.loop,
		http_answer("200 OK", attempt_header + mac_header + "Leaving: 1\r\n", "last"), after_response::closes);
	fixture.add_server("a", leaving.address());
	REQUIRE(fixture.send_request("GET").ends_with("last"));
	REQUIRE(fixture.send_request("GET").starts_with("HTTP/1.1 503"));
	REQUIRE(leaving.received().size() == 1);
}

TEST_CASE(
	"a server gets no calls during the pause that it requested, and callers get a Retry-After header", "[gateway]")
{
	fixture fixture(make_route(call_kind::idempotent, 2, false));
	fixed_response_server full(fixture.loop,
		http_answer("503 Service Unavailable", attempt_header + "Not-Run: 1\r\nPause-Ms: 60000\r\n", ""),
		after_response::closes);
	fixture.add_server("a", full.address());
	for (int turn = 0; turn < 3; ++turn)
	{
		auto const answer = fixture.send_request("GET");
		REQUIRE(answer.starts_with("HTTP/1.1 503"));
		REQUIRE(answer.find("Retry-After: 0.") != std::string::npos);
	}
	REQUIRE(full.received().size() == 1);
}

TEST_CASE("an idempotent call is retried on another server when the first fails", "[gateway]")
{
	std::vector<std::string> const failures{"", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		http_answer("500 Internal Server Error", attempt_header, ""),
		http_answer("503 Service Unavailable", attempt_header, "")};
	for (auto const& text : failures)
	{
		CAPTURE(text);
		fixture fixture(make_route(call_kind::idempotent, 2, false));
		fixed_response_server bad(fixture.loop, text, after_response::closes);
		fixed_response_server good(
			fixture.loop, http_answer("200 OK", attempt_header + mac_header, "found"), after_response::closes);
		fixture.add_server("a", bad.address());
		fixture.add_server("b", good.address());
		// The gateway may choose either server first. The caller gets the good answer in both cases.
		REQUIRE(fixture.send_request("GET").ends_with("found"));
	}
}

TEST_CASE("an answer that belongs to an earlier request is skipped", "[gateway]")
{
	fixture fixture(make_route(call_kind::non_idempotent, 1, false));
	auto const stray = http_answer("200 OK", "Attempt: r0\r\n" + mac_header, "not yours");
	auto const own = http_answer("200 OK", attempt_header + mac_header, "yours");
	fixed_response_server server(fixture.loop, stray + own, after_response::stays_silent);
	fixture.add_server("a", server.address());
	REQUIRE(fixture.send_request().ends_with("\r\n\r\nyours"));
}

TEST_CASE("a resumable stream continues on another server, with each event once", "[gateway]")
{
	fixture fixture(make_route(call_kind::streaming, 2, true));
	fixed_response_server broken(
		fixture.loop, stream_answer("id: 1\ndata: x\n\nid: 2\nda", false), after_response::closes);
	fixed_response_server resuming(
		fixture.loop, stream_answer("id: 2\ndata: y\n\nid: 3\ndata: z\n\n", true), after_response::closes);
	fixture.add_server("a", broken.address(), server_role::decode);
	fixture.add_server("b", resuming.address(), server_role::decode);
	// The resuming engine is chosen second because it has more load.
	fixture.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	auto const answer = fixture.send_request();
	REQUIRE(is_complete_stream(answer));
	REQUIRE(answer.find("id: 1\ndata: x\n\n") != std::string::npos);
	REQUIRE(answer.find("id: 2\ndata: y\n\nid: 3\ndata: z\n\n") != std::string::npos);
	REQUIRE(answer.find("id: 2") == answer.rfind("id: 2"));
	REQUIRE(resuming.received().front().find("Last-Event-Id: 1\r\n") != std::string::npos);
}

TEST_CASE("a resumed stream fetches its KV cache from the engine that has prefilled the prompt", "[gateway]")
{
	fixture fixture(make_route(call_kind::streaming, 2, true));
	fixed_response_server prefill_engine(
		fixture.loop, http_answer("200 OK", attempt_header, "h1"), after_response::stays_silent);
	fixed_response_server broken(fixture.loop, stream_answer("id: 1\ndata: x\n\n", false), after_response::closes);
	fixed_response_server resuming(fixture.loop, stream_answer("id: 2\ndata: y\n\n", true), after_response::closes);
	fixture.add_server("p", prefill_engine.address(), server_role::prefill);
	fixture.add_server("a", broken.address(), server_role::decode);
	fixture.add_server("b", resuming.address(), server_role::decode);
	fixture.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	REQUIRE(is_complete_stream(fixture.send_request()));
	REQUIRE(prefill_engine.received().size() == 1);
	REQUIRE(broken.received().front().find("Take: h1\r\n") != std::string::npos);
	auto const& resumed = resuming.received().front();
	REQUIRE(resumed.find("Take: ") == std::string::npos);
	REQUIRE(resumed.find("Fetch-From: " + prefill_engine.address() + "\r\n") != std::string::npos);
}

TEST_CASE("each further prefill of a request, and each rejected one, draws on the retry budget", "[gateway]")
{
	// A stream that is broken off before its first event.
	auto const broken_answer = "HTTP/1.1 200 OK\r\n" + attempt_header + "Transfer-Encoding: chunked\r\n\r\n";
	auto const accepted = http_answer("200 OK", attempt_header, "h1");
	auto const rejected = http_answer("503 Service Unavailable", attempt_header + "Not-Run: 1\r\n", "");
	auto const misdirected = http_answer("421 Misdirected Request", attempt_header + "Answered-By: other\r\n", "");
	struct budget_case
	{
		// Retries that the budget allows.
		int retries;
		std::string prefill_answer;
		std::size_t prefills;
		bool is_served;
	};
	auto const expected = GENERATE_COPY(budget_case{1, accepted, 1, true}, budget_case{2, accepted, 2, true},
		budget_case{1, rejected, 1, false}, budget_case{2, rejected, 1, true}, budget_case{1, misdirected, 1, false},
		budget_case{2, misdirected, 1, true},
		// A prefill may be rejected, and that would be a retry.
		budget_case{0, rejected, 0, false});
	fixture fixture(make_route(call_kind::streaming, 2, true));
	// A daemon uses 0.8 of the budget.
	constexpr double slack_per_retry = 1.3;
	fixture.shared.retries = {0, seconds(10), slack_per_retry * expected.retries};
	fixed_response_server prefill_engine(fixture.loop, expected.prefill_answer, after_response::closes);
	fixed_response_server cut(fixture.loop, broken_answer, after_response::closes);
	fixed_response_server second(fixture.loop, stream_answer("id: 1\ndata: y\n\n", true), after_response::closes);
	fixture.add_server("p", prefill_engine.address(), server_role::prefill);
	fixture.add_server("a", cut.address(), server_role::decode);
	fixture.add_server("b", second.address(), server_role::decode);
	fixture.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	CAPTURE(expected.retries, expected.prefills, expected.is_served);
	REQUIRE(is_complete_stream(fixture.send_request()) == expected.is_served);
	REQUIRE(prefill_engine.received().size() == expected.prefills);
}

TEST_CASE("an engine without a memory margin beyond the stream's own need gets no stream", "[gateway]")
{
	auto route = make_route(call_kind::streaming, 2, true);
	// A stream that is already late must leave a larger margin of free memory.
	auto const is_late = GENERATE(false, true);
	route.objective = is_late ? milliseconds(0) : milliseconds(1000);
	fixture fixture(route, make_reserving_service());
	auto const granted = [](std::string const& name)
	{
		return http_answer("200 OK", "", name);
	};
	auto const full = http_answer("503 Service Unavailable", "", "");
	scripted_http_server engine({granted("h1"), full, granted("dropped"), full, full});
	fixture.add_server("a", http::to_string(engine.listen_address()), server_role::decode);
	REQUIRE(fixture.send_request().starts_with("HTTP/1.1 503"));
	auto const calls = engine.calls();
	REQUIRE(calls.size() >= 3);
	REQUIRE(calls[0] == "POST /reserve/0");
	REQUIRE(calls[1] == (is_late ? "POST /reserve/6" : "POST /reserve/3"));
	REQUIRE(calls[2] == "DELETE /reserved/h1");
	// The gateway only made and cancelled reservations; it did not send the stream.
	REQUIRE(
		std::ranges::none_of(calls, [](std::string const& each) { return each.find("/x/y") != std::string::npos; }));
}

TEST_CASE("a draining daemon refuses a stream that it can't finish if other daemons can take it at once", "[gateway]")
{
	// Streams of this service take 4 s. The daemon has 6.9 s or 3.9 s left of the 7 s between the
	// start of its drain and its shutdown deadline.
	auto const remaining_time = GENERATE(milliseconds(6900), milliseconds(3900));
	auto const has_others = GENERATE(true, false);
	fixture fixture(make_route(call_kind::streaming, 2, true));
	fixed_response_server server(fixture.loop, stream_answer("id: 1\n\n", true), after_response::closes);
	fixture.add_server("a", server.address(), server_role::decode);
	auto& observations = fixture.shared.observed[service_id("s")];
	for (int stream = 0; stream < 8; ++stream)
	{
		observations.demand.note_duration(token_count(1), milliseconds(4000));
	}
	fixture.shared.daemon_count = has_others ? 8 : 1;
	fixture.shared.shutdown_deadline = daemon::monotonic_now() + remaining_time;
	auto const answer = fixture.send_request();
	if (has_others && remaining_time < seconds(5))
	{
		REQUIRE(answer.starts_with("HTTP/1.1 503"));
		REQUIRE(answer.find("Retry-After: 0.020\r\n") != std::string::npos);
		REQUIRE(server.received().empty());
	}
	else
	{
		REQUIRE(answer.starts_with("HTTP/1.1 200"));
		REQUIRE(is_complete_stream(answer));
	}
}

TEST_CASE("an engine that grants a reservation but rejects the stream is assumed to change its role", "[gateway]")
{
	// Whether another engine has prefilled the prompt. If so, a missing KV cache may be the reason for the rejection.
	auto const is_prefilled_elsewhere = GENERATE(false, true);
	fixture fixture(make_route(call_kind::streaming, 1, false), make_reserving_service());
	auto const granted = http_answer("200 OK", "", "h1");
	auto const rejected = http_answer("503 Service Unavailable", attempt_header + "Not-Run: 1\r\n", "");
	scripted_http_server engine({granted, granted, rejected, rejected, rejected, rejected});
	fixed_response_server prefill_server(
		fixture.loop, http_answer("200 OK", attempt_header, "k1"), after_response::stays_silent);
	fixture.add_server("a", http::to_string(engine.listen_address()), server_role::decode);
	if (is_prefilled_elsewhere)
	{
		fixture.add_server("p", prefill_server.address(), server_role::prefill);
	}
	auto const answer = fixture.send_request();
	CAPTURE(is_prefilled_elsewhere, answer, engine.calls());
	REQUIRE(answer.starts_with("HTTP/1.1 503"));
	auto const first = fixture.shared.servers.find(server_id("a"));
	REQUIRE(first->is_changing_role(daemon::monotonic_now()) != is_prefilled_elsewhere);
}

TEST_CASE("a server that rejects a call under its own id because of its role is not treated as replaced", "[gateway]")
{
	fixture fixture(make_route(call_kind::non_idempotent, 1, false));
	fixed_response_server server(
		fixture.loop, http_answer("421 Misdirected Request", "Answered-By: a\r\n", ""), after_response::closes);
	fixture.add_server("a", server.address());
	REQUIRE(fixture.send_request().starts_with("HTTP/1.1 503"));
	REQUIRE_FALSE(fixture.shared.servers.find(server_id("a"))->is_replaced);
}

TEST_CASE("an endless or invalid answer ends the connection, and the call is retried on another server", "[gateway]")
{
	constexpr std::size_t excess_bytes = 8'000'000;
	auto const invalid_answer = GENERATE_COPY(
		// An endless header, chunk size line and event, and interim answers without a final answer.
		"HTTP/1.1 200 OK\r\nX-Long: " + std::string(excess_bytes, 'x'),
		"HTTP/1.1 200 OK\r\n" + attempt_header +
			"Transfer-Encoding: chunked\r\n\r\n5;e=" + std::string(excess_bytes, 'x'),
		"HTTP/1.1 200 OK\r\n" + attempt_header + fmt::format("Content-Length: {}\r\n\r\n", excess_bytes) +
			std::string(excess_bytes, 'x'),
		[]
		{
			std::string interim;
			for (int answer = 0; answer < 10'000; ++answer)
			{
				interim += "HTTP/1.1 102 Processing\r\n\r\n";
			}
			return interim;
		}());
	auto route = make_route(call_kind::streaming, 2, true);
	// Both limits are longer than the test waits, so that only the invalid bytes can end the first attempt.
	route.timeout = seconds(1000);
	route.longest_gap = seconds(1000);
	fixture fixture(route);
	fixed_response_server bad(fixture.loop, invalid_answer, after_response::stays_silent);
	fixed_response_server good(fixture.loop, stream_answer("id: 1\ndata: x\n\n", true), after_response::closes);
	fixture.add_server("a", bad.address(), server_role::decode);
	fixture.add_server("b", good.address(), server_role::decode);
	fixture.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	auto const answer = fixture.send_request("POST", seconds(1000));
	REQUIRE(is_complete_stream(answer));
	REQUIRE(answer.find("data: x") != std::string::npos);
	REQUIRE(bad.received().size() == 1);
}

TEST_CASE("a stream that sends comments but no events is moved to another server", "[gateway]")
{
	auto route = make_route(call_kind::streaming, 2, true);
	route.timeout = seconds(1000);
	fixture fixture(route);
	// After its first event, this server sends only comments.
	repeating_server repeating(fixture.loop,
		"HTTP/1.1 200 OK\r\n" + attempt_header + "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x\n\n\r\n",
		"5\r\n: y\n\n\r\n", milliseconds(100));
	fixed_response_server good(fixture.loop, stream_answer("id: 2\ndata: z\n\n", true), after_response::closes);
	fixture.add_server("a", repeating.address(), server_role::decode);
	fixture.add_server("b", good.address(), server_role::decode);
	fixture.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	REQUIRE(is_complete_stream(fixture.send_request("POST", seconds(1000))));
	REQUIRE(good.received().size() == 1);
}

TEST_CASE("the backend call is cancelled when the caller disconnects", "[gateway]")
{
	auto const kind = GENERATE(call_kind::idempotent, call_kind::streaming);
	auto route = make_route(kind, 1, true);
	// The timeout is longer than the test waits, so that only the caller's disconnect can end the call.
	route.timeout = seconds(1000);
	fixture fixture(route);
	scripted_http_server server({});
	fixture.add_server("a", http::to_string(server.listen_address()),
		kind == call_kind::streaming ? server_role::decode : server_role::plain);
	fixture.send_request_and_disconnect([&] { return !server.calls().empty(); });
	fixture.run_until([&] { return server.closed_connections() > 0 && fixture.request_forwarder.running() == 0; });
	REQUIRE(server.calls().size() == 1);
}

TEST_CASE("a stream that has begun and can't continue gets no second answer", "[gateway]")
{
	fixture fixture(make_route(call_kind::streaming, 2, true));
	fixed_response_server broken(fixture.loop, stream_answer("id: 1\ndata: x\n\n", false), after_response::closes);
	fixed_response_server refuses(
		fixture.loop, http_answer("404 Not Found", attempt_header + mac_header, "gone"), after_response::closes);
	fixture.add_server("a", broken.address(), server_role::decode);
	fixture.add_server("b", refuses.address(), server_role::decode);
	fixture.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	auto const answer = fixture.send_request();
	REQUIRE(answer.find("id: 1\ndata: x\n\n") != std::string::npos);
	CAPTURE(answer);
	REQUIRE_FALSE(is_complete_stream(answer));
	REQUIRE(answer.find("404") == std::string::npos);
}

TEST_CASE("a non-repeatable stream is cut off after a failure, not retried", "[gateway]")
{
	fixture fixture(make_route(call_kind::streaming, 2, false));
	fixed_response_server first(fixture.loop, stream_answer("id: 1\ndata: x\n\n", false), after_response::closes);
	fixed_response_server second(fixture.loop, stream_answer("id: 1\ndata: x\n\n", false), after_response::closes);
	fixture.add_server("a", first.address(), server_role::decode);
	fixture.add_server("b", second.address(), server_role::decode);
	REQUIRE_FALSE(is_complete_stream(fixture.send_request()));
	REQUIRE(first.received().size() + second.received().size() == 1);
}

TEST_CASE("a stream is refused at once when no engine is known", "[gateway]")
{
	fixture fixture(make_route(call_kind::streaming, 2, true));
	REQUIRE(fixture.send_request().starts_with("HTTP/1.1 503"));
}

TEST_CASE("a request that matches no route gets 404, and before the first configuration 503", "[gateway]")
{
	fixture fixture(make_route(call_kind::idempotent, 1, false));
	fixture.shared.routes = std::make_shared<routing::route_table const>(routing::configuration{});
	REQUIRE(fixture.send_request().starts_with("HTTP/1.1 404"));
	fixture.shared.routes.reset();
	REQUIRE(fixture.send_request().starts_with("HTTP/1.1 503"));
}
