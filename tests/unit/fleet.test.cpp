#include <catch2/catch.hpp>

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
	REQUIRE(fleet.hear(member("a", 5, at_ms(0))));
	fleet.suggest(member("b", 1, at_ms(0)), at_ms(10));
	fleet.suggest(member("own", 1, at_ms(0)), at_ms(10));
	REQUIRE(fleet.size(at_ms(10)) == 3);
	REQUIRE(fleet.size(at_ms(3600)) == 1);
}

TEST_CASE("messages of an earlier start are void", "[fleet]")
{
	routing::fleet fleet(instance_id("own"), "own:1");
	REQUIRE(fleet.hear(member("a", 5, at_ms(0))));
	REQUIRE_FALSE(fleet.hear(member("a", 4, at_ms(5))));
	REQUIRE_FALSE(fleet.hear(member("own", 9, at_ms(5))));
}

TEST_CASE("a lonely daemon asks its seeds often, a settled one now and then", "[fleet]")
{
	routing::fleet fleet(instance_id("own"), "own:1");
	fleet.set_seeds({"own:1", "a:1", "stale:1"});
	auto const draw = constant_draw(0);
	REQUIRE(fleet.targets(draw, at_ms(0)) == std::vector<std::string>{"a:1", "stale:1"});
	REQUIRE(fleet.targets(draw, at_ms(100)).empty());
	REQUIRE(fleet.targets(draw, at_ms(200)).size() == 2);
	REQUIRE(fleet.hear(member("a", 1, at_ms(250))));
	REQUIRE(fleet.targets(draw, at_ms(400)) == std::vector<std::string>{"a:1"});
	REQUIRE(fleet.targets(draw, at_ms(1300)).size() == 2);
}

TEST_CASE("the messages of a daemon stay bounded as the fleet grows", "[fleet]")
{
	routing::fleet fleet(instance_id("own"), "own:1");
	for (int number = 0; number < 300; ++number)
	{
		REQUIRE(fleet.hear(member("m" + std::to_string(number), 1, at_ms(0))));
	}
	REQUIRE(fleet.targets(constant_draw(), at_ms(1)).size() <= 12);
	REQUIRE(fleet.notice_interval(at_ms(1)) == milliseconds(500));
}
