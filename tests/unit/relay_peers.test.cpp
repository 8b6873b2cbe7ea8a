#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	routing::relay_peer make_peer(int number, bool is_cut_off = false)
	{
		return {instance_id(fmt::format("d{}", number)), incarnation(1), fmt::format("10.0.0.{}:80", number),
			is_cut_off, at_ms(0)};
	}

	std::vector<routing::fleet_member> make_live(int count)
	{
		std::vector<routing::fleet_member> live;
		live.reserve(static_cast<std::size_t>(count));
		for (int number = 0; number < count; ++number)
		{
			live.push_back({instance_id(fmt::format("d{}", number)), incarnation(1), "", at_ms(0)});
		}
		return live;
	}
}

// A data centre of three daemons is cut off; the other five take its requests.
TEST_CASE("requests are spread over the daemons that reach servers", "[relay_peers]")
{
	routing::relay_peers peers;
	for (int number = 0; number < 8; ++number)
	{
		peers.note(make_peer(number, number < 3));
	}
	std::map<instance_id, int> chosen;
	for (int draw = 0; draw < 1000; ++draw)
	{
		auto const peer = peers.choose(make_live(8), {}, constant_draw(draw / 1000.0), at_ms(100));
		REQUIRE(peer);
		++chosen[peer->id];
	}
	REQUIRE(chosen.size() == 5);
	for (auto const& [id, count] : chosen)
	{
		REQUIRE(count <= 220);
	}
}

TEST_CASE("a daemon that is gone, tried, silent or has no address is not chosen", "[relay_peers]")
{
	routing::relay_peers peers;
	peers.note(make_peer(0));
	auto const is_chosen =
		[&](std::vector<routing::fleet_member> const& live, std::set<instance_id> const& tried, time_point now)
	{
		return peers.choose(live, tried, constant_draw(), now).has_value();
	};
	REQUIRE(is_chosen(make_live(1), {}, at_ms(100)));
	REQUIRE_FALSE(is_chosen({}, {}, at_ms(100)));
	REQUIRE_FALSE(is_chosen(make_live(1), {instance_id("d0")}, at_ms(100)));
	REQUIRE_FALSE(is_chosen(make_live(1), {}, at_ms(4000)));
	auto restarted = make_live(1);
	restarted.front().started = incarnation(2);
	REQUIRE_FALSE(is_chosen(restarted, {}, at_ms(100)));
	auto unnamed = make_peer(0);
	unnamed.caller_address.clear();
	peers.note(unnamed);
	REQUIRE_FALSE(is_chosen(make_live(1), {}, at_ms(100)));
}
