#include <catch2/catch.hpp>

#include <random>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	routing::fleet_member member(std::string name, std::uint64_t started, time_point heard_at)
	{
		return {instance_id(name), incarnation(started), name + ":1", heard_at};
	}
}

TEST_CASE("members are learnt from messages and from each other, and forgotten when silent", "[fleet]")
{
	routing::fleet fleet(instance_id("own"), "own:1");
	REQUIRE(fleet.note_message(member("a", 5, at_ms(0))));
	fleet.note_member_report(member("b", 1, at_ms(0)), at_ms(10));
	fleet.note_member_report(member("own", 1, at_ms(0)), at_ms(10));
	REQUIRE(fleet.size(at_ms(10)) == 3);
	REQUIRE(fleet.size(at_ms(3600)) == 1);
}

TEST_CASE("messages of an earlier start are void", "[fleet]")
{
	routing::fleet fleet(instance_id("own"), "own:1");
	REQUIRE(fleet.note_message(member("a", 5, at_ms(0))));
	REQUIRE_FALSE(fleet.note_message(member("a", 4, at_ms(5))));
	REQUIRE_FALSE(fleet.note_message(member("own", 9, at_ms(5))));
}

TEST_CASE("a lonely daemon asks its seeds often, a settled one now and then", "[fleet]")
{
	routing::fleet fleet(instance_id("own"), "own:1");
	fleet.set_seeds({"own:1", "a:1", "stale:1"});
	auto const draw = constant_draw(0);
	REQUIRE(fleet.next_recipients(draw, at_ms(0)) == std::vector<std::string>{"a:1", "stale:1"});
	REQUIRE(fleet.next_recipients(draw, at_ms(100)).empty());
	REQUIRE(fleet.next_recipients(draw, at_ms(200)).size() == 2);
	REQUIRE(fleet.note_message(member("a", 1, at_ms(250))));
	REQUIRE(fleet.next_recipients(draw, at_ms(400)) == std::vector<std::string>{"a:1"});
	REQUIRE(fleet.next_recipients(draw, at_ms(1300)).size() == 2);
}

TEST_CASE("the messages of a daemon stay bounded as the fleet grows", "[fleet]")
{
	routing::fleet fleet(instance_id("own"), "own:1");
	for (int number = 0; number < 300; ++number)
	{
		REQUIRE(fleet.note_message(member("m" + std::to_string(number), 1, at_ms(0))));
	}
	REQUIRE(fleet.next_recipients(constant_draw(), at_ms(1)).size() <= 12);
	REQUIRE(fleet.members_to_share(constant_draw(), at_ms(1)).size() <= 24);
	REQUIRE(fleet.notice_interval(at_ms(1)) == milliseconds(500));
}

TEST_CASE("members of a large fleet stay known though each message names a few", "[fleet]")
{
	// One of 400 daemons: it gets 24 messages a second, each of a random daemon that names 24 others as old as two
	// seconds.
	constexpr int daemons = 400;
	constexpr int messages_per_second = 24;
	constexpr int named = 24;
	std::mt19937 random(3);
	auto const any = [&]
	{
		return "m" + std::to_string(random() % daemons);
	};
	routing::fleet fleet(instance_id("own"), "own:1");
	for (int number = 0; number < daemons; ++number)
	{
		REQUIRE(fleet.note_message(member("m" + std::to_string(number), 1, at_ms(0))));
	}
	for (int message = 0; message < 30 * messages_per_second; ++message)
	{
		auto const now = at_ms(1000L * message / messages_per_second);
		REQUIRE(fleet.note_message(member(any(), 1, now)));
		for (int told = 0; told < named; ++told)
		{
			fleet.note_member_report(member(any(), 1, now - milliseconds(random() % 2000)), now);
		}
		REQUIRE(fleet.size(now) > 0.98 * daemons);
	}
}
