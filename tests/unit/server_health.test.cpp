#include <catch2/catch.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::call_outcome;

TEST_CASE("each further broken call makes a server suspect for longer, and an answer resets this", "[health]")
{
	routing::server_health health;
	health.note(call_outcome::broken, at_ms(0));
	REQUIRE(health.is_suspect(at_ms(399)));
	REQUIRE_FALSE(health.is_suspect(at_ms(401)));
	health.note(call_outcome::silent, at_ms(500));
	REQUIRE(health.is_suspect(at_ms(1299)));
	REQUIRE_FALSE(health.is_suspect(at_ms(1301)));
	health.note(call_outcome::served, at_ms(1400));
	health.note(call_outcome::broken, at_ms(1500));
	REQUIRE_FALSE(health.is_suspect(at_ms(1901)));
}

TEST_CASE("occasional errors do not make a server suspect, but frequent errors do", "[health]")
{
	routing::server_health health;
	for (int call = 0; call < 70; ++call)
	{
		health.note(call % 7 == 0 ? call_outcome::failed : call_outcome::served, at_ms(call));
	}
	REQUIRE_FALSE(health.is_suspect(at_ms(71)));
	for (int call = 0; call < 10; ++call)
	{
		health.note(call_outcome::failed, at_ms(100 + call));
	}
	REQUIRE(health.is_suspect(at_ms(111)));
}

TEST_CASE("rejected calls do not make a server suspect", "[health]")
{
	routing::server_health health;
	for (int call = 0; call < 20; ++call)
	{
		health.note(call_outcome::rejected, at_ms(call));
	}
	REQUIRE_FALSE(health.is_suspect(at_ms(21)));
}
