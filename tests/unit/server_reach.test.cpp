#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	constexpr std::size_t known_servers = 16;

	server_id server(int number)
	{
		return server_id(fmt::format("s{}", number));
	}
}

TEST_CASE("a daemon is cut off when several servers have failed and it hears of none", "[server_reach]")
{
	routing::server_reach reach;
	reach.note_heard(at_ms(0));
	reach.note_failure(server(1));
	reach.note_failure(server(1));
	reach.note_failure(server(2));
	REQUIRE_FALSE(reach.is_cut_off(known_servers, at_ms(1000)));
	reach.note_failure(server(3));
	REQUIRE(reach.is_doubtful());
	REQUIRE_FALSE(reach.is_cut_off(known_servers, at_ms(200)));
	REQUIRE(reach.is_cut_off(known_servers, at_ms(400)));
	reach.note_heard(at_ms(450));
	REQUIRE_FALSE(reach.is_cut_off(known_servers, at_ms(2000)));
	REQUIRE_FALSE(reach.is_doubtful());
}

// A rack of servers ends, or all servers of one of two services, while others answer.
TEST_CASE("many servers that fail are no cut while others answer", "[server_reach]")
{
	routing::server_reach reach;
	for (int now = 0; now < 2000; now += 100)
	{
		reach.note_heard(at_ms(now));
		for (int number = 0; number < 10; ++number)
		{
			reach.note_failure(server(number));
		}
		REQUIRE_FALSE(reach.is_cut_off(known_servers, at_ms(now + 90)));
	}
}

TEST_CASE(
	"where there are few servers, all of them must have failed; without servers there is no cut", "[server_reach]")
{
	routing::server_reach reach;
	reach.note_heard(at_ms(0));
	REQUIRE_FALSE(reach.is_cut_off(0, at_ms(1000)));
	reach.note_failure(server(1));
	REQUIRE_FALSE(reach.is_cut_off(2, at_ms(1000)));
	reach.note_failure(server(2));
	REQUIRE(reach.is_cut_off(2, at_ms(1000)));
}

TEST_CASE("new connections that fail to several servers are a fault of the daemon's own path", "[server_reach]")
{
	routing::server_reach reach;
	for (int number = 0; number < 3; ++number)
	{
		REQUIRE(reach.can_connect(at_ms(100)));
		reach.note_connect(server(number), false, at_ms(100));
		// Open connections live on.
		reach.note_heard(at_ms(100));
	}
	REQUIRE_FALSE(reach.can_connect(at_ms(1000)));
	// Servers that have ended, while nothing needs a new connection to others.
	REQUIRE(reach.can_connect(at_ms(1200)));
	reach.note_connect(server(1), true, at_ms(300));
	REQUIRE(reach.can_connect(at_ms(400)));
}
