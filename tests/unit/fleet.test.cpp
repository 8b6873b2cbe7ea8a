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

TEST_CASE("members are learnt from messages and reports, and expire when silent", "[fleet]")
{
	routing::fleet fleet(instance_id("own"), "own:1");
	REQUIRE(fleet.note_message(member("a", 5, at_ms(0))));
	fleet.note_member_report(member("b", 1, at_ms(0)), at_ms(10));
	fleet.note_member_report(member("own", 1, at_ms(0)), at_ms(10));
	REQUIRE(fleet.size(at_ms(10)) == 3);
	REQUIRE(fleet.size(at_ms(3600)) == 1);
}

TEST_CASE("messages of an earlier incarnation are ignored", "[fleet]")
{
	routing::fleet fleet(instance_id("own"), "own:1");
	REQUIRE(fleet.note_message(member("a", 5, at_ms(0))));
	REQUIRE_FALSE(fleet.note_message(member("a", 4, at_ms(5))));
	REQUIRE_FALSE(fleet.note_message(member("own", 9, at_ms(5))));
}

TEST_CASE("a daemon without members contacts its seeds more often", "[fleet]")
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

TEST_CASE("message size and rate stay bounded as the fleet grows", "[fleet]")
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

TEST_CASE("members of a large fleet stay live although each message names only a few", "[fleet]")
{
	// A daemon in a fleet of 400 gets 24 messages a second. Each is from a random daemon and names 24 random daemons
	// that were last heard of up to two seconds before.
	constexpr int daemons = 400;
	constexpr int messages_per_second = 24;
	constexpr int named = 24;
	std::mt19937 random(3);
	auto const random_name = [&]
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
		REQUIRE(fleet.note_message(member(random_name(), 1, now)));
		for (int entry = 0; entry < named; ++entry)
		{
			fleet.note_member_report(member(random_name(), 1, now - milliseconds(random() % 2000)), now);
		}
		REQUIRE(fleet.size(now) > 0.98 * daemons);
	}
}
