#include <catch2/catch.hpp>

#include <algorithm>

#include <fmt/format.h>

#include <godwittrestle/decide/rendezvous.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	service_id const digests{"digests"};
	routing::stream_origin const old_origin{digests, software_version("v1")};
	routing::stream_origin const new_origin{digests, software_version("v1.1")};
	instance_id const own{"d0"};

	routing::stream_origins make_origins()
	{
		return routing::stream_origins(own, decide::rank);
	}

	std::vector<routing::fleet_member> make_others(std::size_t count)
	{
		std::vector<routing::fleet_member> others;
		for (std::size_t number = 1; number <= count; ++number)
		{
			others.push_back({instance_id(fmt::format("d{}", number)), incarnation(1), fmt::format("a{}", number), {}});
		}
		return others;
	}

}

TEST_CASE("the record of an attempt can't be changed by a later stream with the same id", "[stream_origins]")
{
	auto origins = make_origins();
	fingerprint const attempt(7);
	origins.note(attempt, {old_origin, at_ms(100), instance_id("d1")});
	origins.note(attempt, {new_origin, at_ms(200), own});
	REQUIRE(origins.find(attempt)->origin == old_origin);
	// The daemon that began the stream tells it late.
	origins.note(attempt, {new_origin, at_ms(50), instance_id("d2")});
	REQUIRE(origins.find(attempt)->origin == new_origin);
	REQUIRE(origins.find(fingerprint(8)) == nullptr);
}

TEST_CASE("a record is told to each keeper once, and to those that start later", "[stream_origins]")
{
	auto origins = make_origins();
	origins.note(fingerprint(1), {old_origin, at_ms(0), own});
	origins.note(fingerprint(2), {old_origin, at_ms(0), instance_id("d1")});
	auto others = make_others(5);
	REQUIRE(origins.take_untold(others, {}).empty());
	REQUIRE(origins.take_untold(others, {service_id("other")}).empty());
	auto const told = origins.take_untold(others, {digests});
	REQUIRE(told.size() == 1);
	REQUIRE(told.front().attempt == fingerprint(1));
	REQUIRE(told.front().recipients.size() == 5);
	REQUIRE(origins.take_untold(others, {digests}).empty());
	others[2].started = incarnation(2);
	auto const again = origins.take_untold(others, {digests});
	REQUIRE(again.size() == 1);
	REQUIRE(again.front().recipients.size() == 1);
	REQUIRE(again.front().recipients.front().id == others[2].id);
}

TEST_CASE(
	"a stream that this daemon takes up is told again, since the daemon that began it may be gone", "[stream_origins]")
{
	auto origins = make_origins();
	origins.note(fingerprint(2), {old_origin, at_ms(0), instance_id("d1")});
	REQUIRE(origins.take_untold(make_others(3), {digests}).empty());
	origins.note(fingerprint(2), {old_origin, at_ms(500), own});
	REQUIRE(origins.take_untold(make_others(3), {digests}).size() == 1);
	REQUIRE(origins.find(fingerprint(2))->begun_at == at_ms(0));
}

TEST_CASE("in a large fleet all daemons choose the same few keepers, whichever began the stream", "[stream_origins]")
{
	constexpr std::size_t fleet_size = 1200;
	auto const others = make_others(fleet_size);
	auto const chosen = make_origins().keepers(fingerprint(99), others);
	REQUIRE(chosen.size() == routing::stream_origins::keepers_of_large_fleet);
	auto const elsewhere = routing::stream_origins(instance_id("d7"), decide::rank).keepers(fingerprint(99), others);
	auto const ids = [](std::vector<routing::fleet_member> const& members)
	{
		std::set<instance_id> names;
		std::ranges::for_each(members, [&](routing::fleet_member const& each) { names.insert(each.id); });
		return names;
	};
	REQUIRE(ids(chosen) == ids(elsewhere));
	REQUIRE(make_origins().keepers(fingerprint(99), make_others(7)).size() == 7);
}

TEST_CASE("a flood of records is bounded, and the newest ones stay", "[stream_origins]")
{
	auto origins = make_origins();
	constexpr std::uint64_t count = 3 * routing::stream_origins::max_records;
	for (std::uint64_t number = 0; number < count; ++number)
	{
		origins.note(fingerprint(number), {old_origin, at_ms(static_cast<std::int64_t>(number)), own});
	}
	REQUIRE(origins.size() <= routing::stream_origins::max_records);
	for (auto number = count - routing::stream_origins::max_records / 2; number < count; ++number)
	{
		REQUIRE(origins.find(fingerprint(number)) != nullptr);
	}
	origins.expire(at_ms(static_cast<std::int64_t>(count)));
	REQUIRE(origins.size() == 0);
}

TEST_CASE("the version of a stream is set when the entry of its process has been read", "[stream_origins]")
{
	auto origins = make_origins();
	routing::server_process const process{server_id("s1"), incarnation(2)};
	routing::known_stream stream{{digests, software_version()}, at_ms(100), own};
	stream.process = process;
	stream.is_version_known = false;
	origins.note(fingerprint(1), stream);
	stream.learnt_from = instance_id("d1");
	origins.note(fingerprint(2), stream);
	REQUIRE(origins.take_untold(make_others(3), {digests}).size() == 1);
	REQUIRE(origins.unversioned_processes() == std::set{process});
	REQUIRE(origins.set_version({process.server, incarnation(1)}, software_version("v1")) == 0);
	REQUIRE(origins.set_version(process, new_origin.version) == 2);
	REQUIRE(origins.unversioned_processes().empty());
	REQUIRE(origins.find(fingerprint(1))->origin == new_origin);
	REQUIRE(origins.find(fingerprint(2))->origin == new_origin);
	REQUIRE(origins.find(fingerprint(2))->is_version_known);
	// Keepers may not have read the entry.
	REQUIRE(origins.take_untold(make_others(3), {digests}).size() == 1);
}

TEST_CASE("a correction by the daemon that began a stream reaches those that were told before", "[stream_origins]")
{
	auto origins = make_origins();
	auto keeper = routing::stream_origins(instance_id("d1"), decide::rank);
	fingerprint const attempt(1);
	routing::known_stream const believed{old_origin, at_ms(100), own};
	origins.note(attempt, believed);
	REQUIRE(origins.take_untold(make_others(1), {digests}).size() == 1);
	keeper.note(attempt, believed);
	routing::known_stream const learnt{new_origin, at_ms(100), own};
	origins.correct(attempt, learnt);
	REQUIRE(origins.find(attempt)->origin == new_origin);
	auto const told = origins.take_untold(make_others(1), {digests});
	REQUIRE(told.size() == 1);
	// The keeper's clock may show a later time for the same first event.
	auto received = told.front().stream;
	received.begun_at = at_ms(130);
	keeper.note(attempt, received);
	REQUIRE(keeper.find(attempt)->origin == new_origin);
	// What was told before and arrives late changes nothing.
	keeper.note(attempt, believed);
	REQUIRE(keeper.find(attempt)->origin == new_origin);
}
