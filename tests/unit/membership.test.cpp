#include <algorithm>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <godwittrestle/decide/event_context.hpp>
#include <godwittrestle/decide/membership.hpp>

#include "support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::decide;
using namespace godwittrestle::testing;

namespace
{
	instance_list make_list(int daemons)
	{
		instance_list list;
		list.version = platform_version(1);
		for (auto index = 0; index < daemons; ++index)
		{
			auto const id = fmt::format("d{}", index);
			list.daemons.push_back({instance_id(id), data_centre_id("a"), id, false});
		}
		list.servers.push_back({server_id("s"), data_centre_id("a"), pool_id("p"), "s", incarnation(3), false});
		return list;
	}

	context_fixture make_fixture()
	{
		context_fixture fixture;
		fixture.settings.instance = instance_id("d0");
		fixture.settings.started = incarnation(1);
		return fixture;
	}
}

TEST_CASE(
	"heartbeats use a full mesh up to the limit and a ring with distances of powers of two above it", "[membership]")
{
	auto fixture = make_fixture();
	mechanism_set const mechanisms;
	for (auto const& [daemons, targets] : {std::pair(32, 31), std::pair(33, 6), std::pair(1200, 11)})
	{
		membership members(fixture.settings, mechanisms);
		auto context = fixture.at({});
		members.apply(make_list(daemons), context);
		REQUIRE(members.targets().size() == static_cast<std::size_t>(targets));
	}
}

TEST_CASE("a daemon is proved gone by a refused probe or a newer incarnation, but not by silence", "[membership]")
{
	auto fixture = make_fixture();
	mechanism_set const mechanisms;
	membership members(fixture.settings, mechanisms);
	auto start = fixture.at({});
	members.apply(make_list(2), start);
	instance_id const peer("d1");
	REQUIRE(members.record_contact(peer, incarnation(5), start));
	REQUIRE(members.is_eligible(peer, {}));
	auto const later = time_point(seconds(10));
	REQUIRE_FALSE(members.is_eligible(peer, later));
	REQUIRE_FALSE(members.is_proved_gone(peer, incarnation(5), later));
	auto context = fixture.at(later);
	members.handle(peer_probed{peer, incarnation(5), probe_outcome::connected}, context);
	REQUIRE_FALSE(members.is_proved_gone(peer, incarnation(5), later));
	members.handle(peer_probed{peer, incarnation(5), probe_outcome::refused}, context);
	REQUIRE(members.is_proved_gone(peer, incarnation(5), later));
	REQUIRE(members.record_contact(peer, incarnation(6), context));
	REQUIRE(members.is_proved_gone(peer, incarnation(5), later));
	REQUIRE_FALSE(members.is_proved_gone(peer, incarnation(6), later));
	REQUIRE_FALSE(members.record_contact(peer, incarnation(5), context));
}

TEST_CASE("a leaving server gets no work until a newer incarnation of it is listed", "[membership]")
{
	auto fixture = make_fixture();
	mechanism_set const mechanisms;
	membership members(fixture.settings, mechanisms);
	auto context = fixture.at({});
	auto list = make_list(2);
	members.apply(list, context);
	REQUIRE(members.accepts_work(server_id("s")));
	members.mark_leaving(server_id("s"), context);
	REQUIRE_FALSE(members.accepts_work(server_id("s")));
	list.version = platform_version(2);
	list.servers.front().started = incarnation(4);
	members.apply(list, context);
	REQUIRE(members.accepts_work(server_id("s")));
	REQUIRE_FALSE(members.accepts_work(server_id("unknown")));
}

TEST_CASE("a daemon removed from the platform's list is proved gone once it is silent, and its record is erased later",
	"[membership]")
{
	auto fixture = make_fixture();
	mechanism_set const mechanisms;
	membership members(fixture.settings, mechanisms);
	auto start = fixture.at({});
	members.apply(make_list(2), start);
	instance_id const peer("d1");
	REQUIRE(members.record_contact(peer, incarnation(5), start));
	auto list = make_list(1);
	list.version = platform_version(2);
	members.apply(list, start);
	REQUIRE_FALSE(members.is_proved_gone(peer, incarnation(5), {}));
	REQUIRE(members.is_proved_gone(peer, incarnation(5), time_point(seconds(10))));
	auto later = fixture.at(time_point(std::chrono::minutes(11)));
	list.version = platform_version(3);
	members.apply(list, later);
	REQUIRE(members.address_of(peer).empty());
}
