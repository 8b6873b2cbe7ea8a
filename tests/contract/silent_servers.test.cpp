#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway_fixture.hpp"
#include "pausing_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// Sound servers that fall silent for a moment while no other server can take their requests.
namespace
{
	namespace asio = boost::asio;
	using routing::call_kind;
	using routing::server_role;

	constexpr duration stream_timeout = seconds(14);

	std::string const events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

	routing::route make_stream_route(std::uint32_t max_servers)
	{
		auto route = make_route(call_kind::streaming, max_servers, true);
		route.timeout = stream_timeout;
		route.caller_patience = seconds(4);
		return route;
	}

	// Returns a stream's answer up to and including its first event, and the rest.
	std::pair<std::string, std::string> stream_parts()
	{
		auto const first = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + attempt_header + mac_header +
						   "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n";
		return {first, "f\r\nid: 2\ndata: y\n\n\r\n0\r\n\r\n"};
	}

	// Adds servers of which each has more work of others than the one before, so that they are tried in this order.
	void add_in_order(gateway_fixture& fixture, std::vector<pausing_server const*> const& servers, server_role role)
	{
		constexpr std::uint32_t work_step = 100;
		std::uint32_t work = 0;
		for (auto const* const each : servers)
		{
			std::string const name(1, static_cast<char>('a' + work / work_step));
			fixture.add_server(name, each->address(), role);
			fixture.shared.servers.find(server_id(name))
				->load.set_share(instance_id("o"), {1, 0, work}, daemon::monotonic_now());
			work += work_step;
		}
	}
}

// Guards against silent_only_engine: a time limit that lets another engine take the stream although there is none.
TEST_CASE("a stream waits for its only engine that is silent before its head", "[silent_servers]")
{
	gateway_fixture fixture(make_stream_route(2));
	pausing_server engine(fixture.loop, "", stream_answer(events, true), milliseconds(1000));
	fixture.add_server("a", engine.address(), server_role::decode);
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_complete_stream(answer));
	CHECK(engine.calls() == 1);
}

TEST_CASE("a stream that may go to one engine waits for it though there are two", "[silent_servers]")
{
	gateway_fixture fixture(make_stream_route(1));
	pausing_server first(fixture.loop, "", stream_answer(events, true), milliseconds(1000));
	pausing_server second(fixture.loop, "", stream_answer(events, true), milliseconds(1000));
	fixture.add_server("a", first.address(), server_role::decode);
	fixture.add_server("b", second.address(), server_role::decode);
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_complete_stream(answer));
	CHECK(first.calls() + second.calls() == 1);
}

TEST_CASE("a stream waits for its only engine that is silent between two events", "[silent_servers]")
{
	auto const silence = GENERATE(milliseconds(1000), milliseconds(2000));
	gateway_fixture fixture(make_stream_route(2));
	auto const [first, second] = stream_parts();
	pausing_server engine(fixture.loop, first, second, silence);
	fixture.add_server("a", engine.address(), server_role::decode);
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_complete_stream(answer));
	CHECK(answer.find("id: 2\n") != std::string::npos);
	CHECK(engine.calls() == 1);
}

TEST_CASE("a plain call waits for its only server that is silent before its head", "[silent_servers]")
{
	auto const kind = GENERATE(call_kind::idempotent, call_kind::non_idempotent);
	gateway_fixture fixture(make_route(kind, 2, false));
	pausing_server server(
		fixture.loop, "", http_answer("200 OK", attempt_header + mac_header, "whole"), milliseconds(1000));
	fixture.add_server("a", server.address());
	auto const answer = fixture.send_request();
	CAPTURE(answer);
	CHECK(answer.starts_with("HTTP/1.1 200"));
	CHECK(answer.ends_with("whole"));
	CHECK(server.calls() == 1);
}

TEST_CASE("requests go to another server, if there is one, before a silent one answers", "[silent_servers]")
{
	auto const kind = GENERATE(call_kind::idempotent, call_kind::streaming);
	auto const is_stream = kind == call_kind::streaming;
	gateway_fixture fixture(is_stream ? make_stream_route(2) : make_route(kind, 2, false));
	auto const text =
		is_stream ? stream_answer(events, true) : http_answer("200 OK", attempt_header + mac_header, "whole");
	pausing_server silent(fixture.loop, "", text, stream_timeout);
	pausing_server sound(fixture.loop, text, "", milliseconds(1));
	auto const role = is_stream ? server_role::decode : server_role::plain;
	fixture.add_server("a", silent.address(), role);
	fixture.add_server("b", sound.address(), role);
	// More work of others at the sound server makes the silent one the first choice.
	fixture.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	auto const answer = fixture.send_request("POST", is_stream ? stream_timeout : milliseconds(1400));
	CAPTURE(answer);
	CHECK(answer.starts_with("HTTP/1.1 200"));
	CHECK(silent.calls() == 1);
	CHECK(sound.calls() == 1);
}

// Guards against a sound stream that is broken off although nothing is gained by that: its caller has to begin again.
TEST_CASE("a stream with no further try waits for its second engine that is silent", "[silent_servers]")
{
	auto const silence = GENERATE(milliseconds(1200), milliseconds(2000));
	auto const is_silent_before_head = GENERATE(false, true);
	gateway_fixture fixture(make_stream_route(2));
	auto const [first, second] = stream_parts();
	pausing_server silent(fixture.loop, "", first + second, stream_timeout);
	pausing_server pausing(
		fixture.loop, is_silent_before_head ? "" : first, is_silent_before_head ? first + second : second, silence);
	pausing_server sound(fixture.loop, first + second, "", milliseconds(1));
	add_in_order(fixture, {&silent, &pausing, &sound}, server_role::decode);
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_complete_stream(answer));
	CHECK(silent.calls() == 1);
	CHECK(pausing.calls() == 1);
	CHECK(sound.calls() == 0);
}

TEST_CASE("requests without a retry left wait for their silent server though there is another", "[silent_servers]")
{
	auto const kind = GENERATE(call_kind::idempotent, call_kind::streaming);
	auto const is_silent_before_head = GENERATE(true, false);
	auto const is_stream = kind == call_kind::streaming;
	if (!is_stream && !is_silent_before_head)
	{
		return;
	}
	gateway_fixture fixture(is_stream ? make_stream_route(3) : make_route(kind, 3, false));
	fixture.shared.retries = {0, seconds(10), 0};
	auto const [first, second] = stream_parts();
	auto const whole = is_stream ? first + second : http_answer("200 OK", attempt_header + mac_header, "whole");
	auto const silence = is_stream ? milliseconds(2000) : milliseconds(1000);
	pausing_server pausing(
		fixture.loop, is_silent_before_head ? "" : first, is_silent_before_head ? whole : second, silence);
	pausing_server sound(fixture.loop, whole, "", milliseconds(1));
	add_in_order(fixture, {&pausing, &sound}, is_stream ? server_role::decode : server_role::plain);
	auto const answer = fixture.send_request("POST", is_stream ? stream_timeout : milliseconds(1400));
	CAPTURE(answer);
	CHECK(answer.starts_with("HTTP/1.1 200"));
	CHECK((is_stream ? is_complete_stream(answer) : answer.ends_with("whole")));
	CHECK(pausing.calls() == 1);
	CHECK(sound.calls() == 0);
}

// The silence begins while a retry is left; another request spends it before the silence has lasted long enough.
TEST_CASE("a stream whose last retry is spent meanwhile waits for its silent engine", "[silent_servers]")
{
	gateway_fixture fixture(make_stream_route(3));
	// Four fifths of the budget are used: one retry.
	fixture.shared.retries = {0, seconds(10), 1.5};
	auto const [first, second] = stream_parts();
	pausing_server pausing(fixture.loop, first, second, milliseconds(2000));
	pausing_server sound(fixture.loop, first + second, "", milliseconds(1));
	add_in_order(fixture, {&pausing, &sound}, server_role::decode);
	boost::asio::steady_timer other_request(fixture.loop, milliseconds(700));
	auto is_spent = false;
	other_request.async_wait(
		[&](boost::system::error_code const& /*error*/)
		{
			auto& budget = fixture.shared.retry_budgets[service_id("s")];
			is_spent = budget.try_spend(fixture.shared.retries, fixture.shared.daemon_count, daemon::monotonic_now());
		});
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_spent);
	CHECK(is_complete_stream(answer));
	CHECK(pausing.calls() == 1);
	CHECK(sound.calls() == 0);
}

TEST_CASE("of two silent streams with one retry left, one goes to another engine and one waits", "[silent_servers]")
{
	gateway_fixture fixture(make_stream_route(3));
	fixture.shared.retries = {0, seconds(10), 1.5};
	auto const [first, second] = stream_parts();
	pausing_server pausing(fixture.loop, first, second, milliseconds(2500));
	pausing_server sound(fixture.loop, first + second, "", milliseconds(1));
	add_in_order(fixture, {&pausing, &sound}, server_role::decode);
	auto one = fixture.begin_request();
	auto other = fixture.begin_request();
	std::string one_answer;
	std::string other_answer;
	int ended = 0;
	auto const note_end = [&](boost::system::error_code const& /*error*/, std::size_t /*size*/)
	{
		++ended;
	};
	asio::async_read(one, asio::dynamic_buffer(one_answer), note_end);
	asio::async_read(other, asio::dynamic_buffer(other_answer), note_end);
	fixture.run_until([&] { return ended == 2; });
	CAPTURE(one_answer, other_answer);
	CHECK(is_complete_stream(one_answer));
	CHECK(is_complete_stream(other_answer));
	CHECK(pausing.calls() == 2);
	CHECK(sound.calls() == 1);
}

TEST_CASE("a stream goes to an engine that joins while its only engine is silent", "[silent_servers]")
{
	gateway_fixture fixture(make_stream_route(2));
	auto const [first, second] = stream_parts();
	pausing_server silent(fixture.loop, "", first + second, stream_timeout);
	pausing_server sound(fixture.loop, first + second, "", milliseconds(1));
	fixture.add_server("a", silent.address(), server_role::decode);
	boost::asio::steady_timer joins(fixture.loop, milliseconds(1500));
	joins.async_wait([&](boost::system::error_code const& /*error*/)
		{ fixture.add_server("b", sound.address(), server_role::decode); });
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_complete_stream(answer));
	CHECK(silent.calls() == 1);
	CHECK(sound.calls() == 1);
}

TEST_CASE("a stream whose events have no ids waits for its silent engine though there is another", "[silent_servers]")
{
	gateway_fixture fixture(make_stream_route(2));
	auto const first = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + attempt_header + mac_header +
					   "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n";
	std::string const second = "9\r\ndata: y\n\n\r\n0\r\n\r\n";
	pausing_server pausing(fixture.loop, first, second, milliseconds(2000));
	pausing_server sound(fixture.loop, first + second, "", milliseconds(1));
	add_in_order(fixture, {&pausing, &sound}, server_role::decode);
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_complete_stream(answer));
	CHECK(pausing.calls() == 1);
	CHECK(sound.calls() == 0);
}

// A daemon that is about to stop begins no stream at another engine.
TEST_CASE("a stream waits for its silent engine when its daemon stops before it could go on", "[silent_servers]")
{
	gateway_fixture fixture(make_stream_route(2));
	fixture.shared.daemon_count = 2;
	pausing_server pausing(fixture.loop, "", stream_answer(events, true), milliseconds(1200));
	pausing_server sound(fixture.loop, stream_answer(events, true), "", milliseconds(1));
	add_in_order(fixture, {&pausing, &sound}, server_role::decode);
	boost::asio::steady_timer stop(fixture.loop, milliseconds(200));
	stop.async_wait([&](boost::system::error_code const& /*error*/)
		{ fixture.shared.shutdown_deadline = daemon::monotonic_now() + milliseconds(1); });
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_complete_stream(answer));
	CHECK(pausing.calls() == 1);
	CHECK(sound.calls() == 0);
}
