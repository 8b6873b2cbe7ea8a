#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "gateway_fixture.hpp"
#include "slow_engine.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// Engines whose answers take long, or that are far away.
namespace
{
	constexpr std::chrono::milliseconds slow_reservation{400};
	constexpr duration caller_time = seconds(20);
	constexpr int streams = 3;

	routing::route make_patient_route()
	{
		auto route = make_route(routing::call_kind::streaming, 2, true);
		route.timeout = seconds(20);
		route.caller_patience = seconds(8);
		return route;
	}
}

// Guards against a time-out that no answer of a far engine ever meets (LOST).
TEST_CASE("an engine that is slow to grant reservations serves streams", "[slow_engines]")
{
	slow_engine engine(slow_reservation);
	gateway_fixture fixture(make_patient_route(), make_reserving_service());
	fixture.add_server("a", engine.address(), routing::server_role::decode);
	for (int number = 0; number < streams; ++number)
	{
		auto const answer = fixture.send_request("POST", caller_time);
		CAPTURE(number, answer);
		REQUIRE(answer.starts_with("HTTP/1.1 200"));
		REQUIRE(answer.find("id: 1\n") != std::string::npos);
	}
	REQUIRE(engine.streams() == streams);
}

// Guards against memory that stays reserved at an engine for a stream that has long gone elsewhere.
TEST_CASE("a reservation that is granted late is given back", "[slow_engines]")
{
	slow_engine slow(slow_reservation);
	slow_engine other(std::chrono::milliseconds(0));
	gateway_fixture fixture(make_patient_route(), make_reserving_service());
	fixture.add_server("a", slow.address(), routing::server_role::decode);
	fixture.add_server("b", other.address(), routing::server_role::decode);
	auto& other_load = fixture.shared.servers.find(server_id("b"))->load;
	// The slow engine is tried first.
	other_load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	auto const answer = fixture.send_request("POST", caller_time);
	CAPTURE(answer);
	REQUIRE(answer.starts_with("HTTP/1.1 200"));
	REQUIRE(slow.streams() == 0);
	REQUIRE(other.streams() == 1);
	fixture.run_until([&] { return slow.granted() == 1; });
	fixture.run_until([&] { return slow.kept() == 0; });
	// It was asked once, and the late answer counts.
	REQUIRE(slow.granted() == 1);
	REQUIRE(fixture.shared.servers.find(server_id("a"))->answers.expected() >= slow_reservation);
}
