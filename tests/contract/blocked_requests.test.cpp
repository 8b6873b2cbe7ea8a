#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

#include <boost/asio/steady_timer.hpp>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/gateway/fingerprints.hpp>

#include "crashing_server.hpp"
#include "gateway_fixture.hpp"
#include "scripted_http_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::call_kind;
using routing::server_role;
using after_response = fixed_response_server::after_response;

namespace
{
	constexpr int ends_that_block = 3;

	// The identity of the request that gateway_fixture sends.
	routing::request_identity fixture_request(std::string const& method = "POST")
	{
		return gateway::identify({method, "/x/y", {{"Host", "a.example"}}, "hi"}, {});
	}

	// Reports that servers have ended while they had the fixture's request.
	void end_servers(gateway_fixture& fixture, int count)
	{
		auto const now = daemon::monotonic_now();
		for (int number = 0; number < count; ++number)
		{
			auto const server = server_id(fmt::format("ended-{}", number));
			fixture.shared.crashes.note_crash(
				fixture.shared.crashes.make_report(server, incarnation(1), fixture_request(), instance_id("d2"), now),
				now);
		}
	}

	bool has_event(gateway_fixture const& fixture, std::string const& name)
	{
		return std::ranges::any_of(fixture.events, [&](decide::record_event const& each) { return each.name == name; });
	}

	std::string const whole_answer = http_answer("200 OK", attempt_header + mac_header, "ran");
}

TEST_CASE("a caller of a blocked request learns at once that it did not run, when to come back and the remedy",
	"[blocked_requests]")
{
	auto const kind = GENERATE(call_kind::idempotent, call_kind::non_idempotent, call_kind::streaming);
	gateway_fixture fixture(make_route(kind, 2, true));
	fixed_response_server server(fixture.loop, whole_answer, after_response::closes);
	fixture.add_server("a", server.address(), kind == call_kind::streaming ? server_role::decode : server_role::plain);
	end_servers(fixture, ends_that_block);
	auto const answer = fixture.send_request();
	CAPTURE(answer);
	REQUIRE(answer.starts_with("HTTP/1.1 503"));
	REQUIRE(answer.find("Retry-After: ") != std::string::npos);
	REQUIRE(answer.find("allow fingerprint " + gateway::to_text(fixture_request().request)) != std::string::npos);
	REQUIRE(server.received().empty());
	REQUIRE(has_event(fixture, "request_blocked"));
	REQUIRE(has_event(fixture, "request_refused"));
}

TEST_CASE("a request that waits for an engine when it becomes blocked is refused at once", "[blocked_requests]")
{
	gateway_fixture fixture(make_route(call_kind::streaming, 2, true), make_reserving_service());
	auto const full = http_answer("503 Service Unavailable", "", "");
	constexpr std::size_t refused_reservations = 200;
	scripted_http_server engine(std::deque<std::string>(refused_reservations, full));
	fixture.add_server("a", http::to_string(engine.listen_address()), server_role::decode);
	boost::asio::steady_timer later(fixture.loop, milliseconds(100));
	later.async_wait([&](boost::system::error_code const&) { end_servers(fixture, ends_that_block); });
	auto const answer = fixture.send_request();
	CAPTURE(answer);
	REQUIRE(answer.starts_with("HTTP/1.1 503"));
	REQUIRE(has_event(fixture, "request_blocked"));
	auto const calls = engine.calls();
	REQUIRE_FALSE(calls.empty());
	REQUIRE(std::ranges::count(calls, "POST /x/y") == 0);
}

TEST_CASE("a request that is blocked after it reached servers is not said to be not run", "[blocked_requests]")
{
	auto const kind = GENERATE(call_kind::idempotent, call_kind::streaming);
	auto const role = kind == call_kind::streaming ? server_role::decode : server_role::plain;
	gateway_fixture fixture(make_route(kind, 3, true));
	auto const always = [](std::string const&)
	{
		return true;
	};
	crashing_server first(always);
	crashing_server second(always);
	fixture.add_server("a", first.address(), role);
	fixture.add_server("b", second.address(), role);
	end_servers(fixture, ends_that_block - 1);
	auto const answer = fixture.send_request();
	CAPTURE(answer);
	REQUIRE(answer.starts_with("HTTP/1.1 502"));
	REQUIRE(answer.find("Retry-After: ") == std::string::npos);
}
