#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>

#include "gateway_fixture.hpp"
#include "scripted_http_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::call_kind;
using routing::server_role;

namespace
{
	using after_response = fixed_response_server::after_response;

	// A limit whose next permit is far away.
	constexpr routing::request_rate low_limit{0.2};

	// Makes the daemon the issuer of all permits, or the given daemon the issuer of most.
	void set_daemons(gateway_fixture& fixture, std::vector<routing::fleet_member> const& others = {})
	{
		constexpr duration known_for = seconds(10);
		fixture.shared.permits = routing::permit_issuer(
			instance_id("d1"), [](std::string_view, std::string_view member) { return member == "d1" ? 1U : 2U; });
		fixture.shared.permits.set_daemons(others, daemon::monotonic_now() - known_for);
	}

	void state_limit(gateway_fixture& fixture, std::string const& server, routing::request_rate rate)
	{
		auto const now = daemon::monotonic_now();
		auto& limit = fixture.shared.servers.find(server_id(server))->limit;
		std::ignore = limit.note({rate, now, instance_id("d2")}, now);
	}

	std::string whole_answer(std::string const& headers = "")
	{
		return http_answer("200 OK", attempt_header + headers, "done");
	}

	// Returns the value of a field of the first logged event with this name; empty when there is none.
	std::string logged(gateway_fixture const& fixture, std::string const& event, std::string const& field)
	{
		auto const found = std::ranges::find(fixture.events, event, &decide::record_event::name);
		if (found == fixture.events.end())
		{
			return "";
		}
		auto const value = std::ranges::find(found->fields, field, &decide::event_field::name);
		return value == found->fields.end() ? "" : value->value;
	}

	double retry_after_seconds(std::string const& answer)
	{
		std::string const name = "Retry-After: ";
		auto const begin = answer.find(name);
		return begin == std::string::npos ? 0 : std::stod(answer.substr(begin + name.size()));
	}
}

TEST_CASE("a server at its limit gets nothing while another server has room, and callers lose nothing", "[gateway]")
{
	gateway_fixture fixture(make_route(call_kind::non_idempotent, 1, false));
	set_daemons(fixture);
	fixed_response_server limited(fixture.loop, whole_answer("Limit: 0.2\r\n"), after_response::closes);
	fixed_response_server open(fixture.loop, whole_answer(), after_response::closes);
	fixture.add_server("a", limited.address());
	fixture.add_server("b", open.address());
	state_limit(fixture, "a", low_limit);
	for (int request = 0; request < 20; ++request)
	{
		REQUIRE(fixture.send_request().starts_with("HTTP/1.1 200"));
	}
	REQUIRE(limited.received().empty());
	REQUIRE(open.received().size() == 20);
	REQUIRE(
		fixture.totals.render().find("godwittrestle_limited_requests_total{outcome=\"moved\"} 1") != std::string::npos);
}

TEST_CASE("a request that every server's limit refuses is refused at once, and callers return at different times",
	"[gateway]")
{
	auto route = make_route(call_kind::idempotent, 2, false);
	route.timeout = seconds(100);
	gateway_fixture fixture(route);
	set_daemons(fixture);
	fixed_response_server server(fixture.loop, whole_answer(), after_response::closes);
	for (auto const* const name : {"a", "b", "c"})
	{
		fixture.add_server(name, server.address());
		state_limit(fixture, name, low_limit);
	}
	std::set<double> delays;
	for (int request = 0; request < 10; ++request)
	{
		auto const answer = fixture.send_request("POST", seconds(100));
		REQUIRE(answer.starts_with("HTTP/1.1 503"));
		delays.insert(retry_after_seconds(answer));
	}
	// The next permit of any server is more than a second away.
	REQUIRE(*delays.begin() > 1);
	REQUIRE(delays.size() > 5);
	REQUIRE(logged(fixture, "request_refused", "reason") == "server_limits");
	REQUIRE(logged(fixture, "request_refused", "limit_per_s") == "0.200");
	REQUIRE(logged(fixture, "request_refused", "limit_heard_by") == "d2");
	REQUIRE(logged(fixture, "request_refused", "limit_share") == "1.00");
	REQUIRE(logged(fixture, "request_refused", "permit") == "limit_reached");
	REQUIRE_FALSE(logged(fixture, "request_refused", "limited_by").empty());
	REQUIRE_FALSE(logged(fixture, "request_refused", "limit_age_ms").empty());
	REQUIRE(server.received().empty());
}

TEST_CASE("a request that is repeated after a failure needs a permit like the first", "[gateway]")
{
	gateway_fixture fixture(make_route(call_kind::idempotent, 3, false));
	set_daemons(fixture);
	fixed_response_server failing(fixture.loop, "", after_response::closes);
	fixed_response_server limited(fixture.loop, whole_answer(), after_response::closes);
	fixture.add_server("a", failing.address());
	fixture.add_server("b", limited.address());
	state_limit(fixture, "b", low_limit);
	REQUIRE_FALSE(fixture.send_request().starts_with("HTTP/1.1 200"));
	REQUIRE(failing.received().size() == 1);
	REQUIRE(limited.received().empty());
}

TEST_CASE("a stream whose decode engine is at its limit is not prefilled in vain", "[gateway]")
{
	auto route = make_route(call_kind::streaming, 2, true);
	// The stream could wait for a permit, but it would be late: it is refused at once.
	route.caller_patience = seconds(100);
	route.timeout = seconds(200);
	gateway_fixture fixture(route);
	set_daemons(fixture);
	fixed_response_server prefill_engine(
		fixture.loop, http_answer("200 OK", attempt_header, "h1"), after_response::closes);
	fixed_response_server decode_engine(
		fixture.loop, stream_answer("id: 1\ndata: x\n\n", true), after_response::closes);
	fixture.add_server("p", prefill_engine.address(), server_role::prefill);
	fixture.add_server("a", decode_engine.address(), server_role::decode);
	state_limit(fixture, "a", low_limit);
	auto const answer = fixture.send_request("POST", seconds(200));
	REQUIRE(answer.starts_with("HTTP/1.1 503"));
	REQUIRE(retry_after_seconds(answer) > 1);
	REQUIRE(logged(fixture, "request_refused", "reason") == "server_limits");
	REQUIRE(prefill_engine.received().empty());
	REQUIRE(decode_engine.received().empty());
}

TEST_CASE("a prefill engine at its limit is left out: the decode engine prefills the prompt", "[gateway]")
{
	gateway_fixture fixture(make_route(call_kind::streaming, 2, true));
	set_daemons(fixture);
	fixed_response_server prefill_engine(
		fixture.loop, http_answer("200 OK", attempt_header, "h1"), after_response::closes);
	fixed_response_server decode_engine(
		fixture.loop, stream_answer("id: 1\ndata: x\n\n", true), after_response::closes);
	fixture.add_server("p", prefill_engine.address(), server_role::prefill);
	fixture.add_server("a", decode_engine.address(), server_role::decode);
	state_limit(fixture, "p", low_limit);
	REQUIRE(is_complete_stream(fixture.send_request()));
	REQUIRE(prefill_engine.received().empty());
	REQUIRE(decode_engine.received().size() == 1);
}

TEST_CASE("a server whose permits come from a daemon that doesn't answer gets nothing, others are used", "[gateway]")
{
	gateway_fixture fixture(make_route(call_kind::non_idempotent, 1, false));
	// The other daemon never answers: the fixture drops the messages.
	set_daemons(fixture, {{instance_id("d2"), incarnation(1), "d2:1", daemon::monotonic_now()}});
	fixed_response_server limited(fixture.loop, whole_answer(), after_response::closes);
	fixed_response_server open(fixture.loop, whole_answer(), after_response::closes);
	fixture.add_server("a", limited.address());
	state_limit(fixture, "a", routing::request_rate(1000));
	auto const refused = fixture.send_request();
	REQUIRE(refused.starts_with("HTTP/1.1 503"));
	REQUIRE(retry_after_seconds(refused) > 0);
	REQUIRE(logged(fixture, "request_not_permitted", "permit") == "no_answer");
	fixture.add_server("b", open.address());
	REQUIRE(fixture.send_request().starts_with("HTTP/1.1 200"));
	REQUIRE(limited.received().empty());
}

TEST_CASE("a limit that another server at the same address states is not taken for the server's own", "[gateway]")
{
	gateway_fixture fixture(make_route(call_kind::idempotent, 1, false));
	set_daemons(fixture);
	fixed_response_server other(fixture.loop,
		http_answer("421 Misdirected Request", attempt_header + "Answered-By: b\r\nLimit: 5\r\n", ""),
		after_response::closes);
	fixture.add_server("a", other.address());
	std::ignore = fixture.send_request();
	REQUIRE(other.received().size() == 1);
	REQUIRE_FALSE(fixture.shared.servers.find(server_id("a"))->limit.rate());
}

TEST_CASE("a server states a limit in any answer, and ends it with a successful answer only", "[gateway]")
{
	gateway_fixture fixture(make_route(call_kind::idempotent, 1, false));
	set_daemons(fixture);
	scripted_http_server server({http_answer("503 Service Unavailable", attempt_header + "Limit: 1000\r\n", ""),
		http_answer("500 Internal Server Error", attempt_header, ""), whole_answer(), whole_answer()});
	fixture.add_server("a", http::to_string(server.listen_address()));
	auto const rate = [&]
	{
		return fixture.shared.servers.find(server_id("a"))->limit.rate();
	};
	std::ignore = fixture.send_request();
	REQUIRE(rate() == routing::request_rate(1000));
	// The first permit of a limit becomes available after a moment.
	while (server.calls().size() < 2)
	{
		std::ignore = fixture.send_request();
	}
	REQUIRE(rate() == routing::request_rate(1000));
	while (server.calls().size() < 3)
	{
		std::ignore = fixture.send_request();
	}
	REQUIRE_FALSE(rate());
	REQUIRE(fixture.send_request().starts_with("HTTP/1.1 200"));
}
