#include <catch2/catch.hpp>

#include <godwittrestle/decide/rendezvous.hpp>
#include <godwittrestle/routing.hpp>

using namespace godwittrestle;
using routing::permit_outcome;
using routing::request_rate;

namespace
{
	server_id const server{"a"};

	time_point at_ms(std::int64_t count)
	{
		return time_point(seconds(1000)) + milliseconds(count);
	}

	routing::fleet_member member(std::string name)
	{
		return {instance_id(name), incarnation(1), name + ":1", at_ms(0)};
	}

	// Ranks members by their names: the last name is the issuer for every server.
	std::uint64_t rank_by_name(std::string_view /*key*/, std::string_view name)
	{
		return static_cast<std::uint64_t>(name.back());
	}

	routing::permit_issuer make_issuer(std::string const& own)
	{
		return {instance_id(own), rank_by_name};
	}

	// Requests permits at an interval and returns the number of those granted.
	int grants(routing::permit_issuer& issuer, request_rate limit, std::int64_t from_ms, std::int64_t until_ms)
	{
		int granted = 0;
		for (auto now = from_ms; now < until_ms; now += 5)
		{
			granted += issuer.request(server, limit, at_ms(now)).outcome == permit_outcome::granted ? 1 : 0;
		}
		return granted;
	}
}

TEST_CASE("permits are issued at the rate of the limit, without a burst after a pause", "[permit_issuer]")
{
	auto issuer = make_issuer("d5");
	issuer.set_daemons({}, at_ms(0));
	REQUIRE(grants(issuer, request_rate(10), 2000, 12'000) == Approx(100).margin(2));
	// After a minute without requests, a quarter of a second's permits are left.
	REQUIRE(grants(issuer, request_rate(10), 72'000, 73'000) <= 13);
	// A limit below four a second keeps one permit.
	REQUIRE(grants(issuer, request_rate(0.2), 140'000, 144'000) == 1);
}

TEST_CASE("a lower limit holds at once", "[permit_issuer]")
{
	auto issuer = make_issuer("d5");
	issuer.set_daemons({}, at_ms(0));
	REQUIRE(grants(issuer, request_rate(100), 2000, 4000) > 150);
	REQUIRE(grants(issuer, request_rate(1), 4000, 8000) <= 5);
}

TEST_CASE("only the highest ranked daemon issues permits, once all others can know it", "[permit_issuer]")
{
	auto issuer = make_issuer("d5");
	issuer.set_daemons({member("d1"), member("d9")}, at_ms(0));
	REQUIRE(issuer.issuer_of(server)->id == instance_id("d9"));
	REQUIRE(issuer.request(server, request_rate(10), at_ms(5000)).outcome == permit_outcome::not_issuer);
	// The issuer leaves; this daemon takes over a moment later.
	issuer.note_leaving(instance_id("d9"));
	issuer.set_daemons({member("d1")}, at_ms(6000));
	REQUIRE(issuer.issuer_of(server) == nullptr);
	auto const early = issuer.request(server, request_rate(10), at_ms(6500));
	REQUIRE(early.outcome == permit_outcome::fleet_changed);
	REQUIRE(early.retry_after > duration{});
	REQUIRE(early.share == Approx(1));
	REQUIRE(grants(issuer, request_rate(10), 7100, 9100) > 10);
	// A change that leaves the issuer as it was does not interrupt it.
	issuer.set_daemons({member("d1"), member("d2")}, at_ms(9200));
	REQUIRE(grants(issuer, request_rate(10), 9200, 9800) > 3);
}

TEST_CASE("a daemon that has just started issues no permits: another may still do so", "[permit_issuer]")
{
	auto issuer = make_issuer("d5");
	REQUIRE(issuer.request(server, request_rate(10), at_ms(0)).outcome == permit_outcome::fleet_changed);
	issuer.set_daemons({}, at_ms(0));
	REQUIRE(issuer.request(server, request_rate(10), at_ms(900)).outcome == permit_outcome::fleet_changed);
	REQUIRE(grants(issuer, request_rate(10), 1100, 2100) > 5);
}

TEST_CASE("a leaving daemon issues permits only while no other daemon is live", "[permit_issuer]")
{
	auto issuer = make_issuer("d5");
	issuer.set_daemons({member("d1")}, at_ms(0));
	REQUIRE(issuer.issuer_of(server) == nullptr);
	issuer.note_leaving(instance_id("d5"));
	issuer.set_daemons({member("d1")}, at_ms(2000));
	REQUIRE(issuer.issuer_of(server)->id == instance_id("d1"));
	issuer.note_leaving(instance_id("d1"));
	issuer.set_daemons({}, at_ms(3000));
	REQUIRE(grants(issuer, request_rate(10), 5000, 6000) > 5);
}

TEST_CASE("the part of a daemon that is lost without a word is not issued for 15 s", "[permit_issuer]")
{
	auto issuer = make_issuer("d5");
	issuer.set_daemons({member("d1"), member("d2"), member("d3")}, at_ms(0));
	issuer.set_daemons({member("d1")}, at_ms(2000));
	REQUIRE(issuer.request(server, request_rate(10), at_ms(3000)).share == Approx(0.5));
	// A daemon that comes back gets its part back at once.
	issuer.set_daemons({member("d1"), member("d2")}, at_ms(4000));
	REQUIRE(issuer.request(server, request_rate(10), at_ms(4000)).share == Approx(0.75));
	issuer.set_daemons({member("d1"), member("d2")}, at_ms(17'100));
	REQUIRE(issuer.request(server, request_rate(10), at_ms(17'100)).share == Approx(1));
}

TEST_CASE("daemons that are refused are told different times, none of them far away", "[permit_issuer]")
{
	auto issuer = make_issuer("d5");
	issuer.set_daemons({}, at_ms(0));
	std::set<duration> waits;
	for (int daemon = 0; daemon < 30; ++daemon)
	{
		waits.insert(issuer.request(server, request_rate(5), at_ms(2000)).retry_after);
	}
	REQUIRE(waits.size() > 10);
	REQUIRE(*waits.rbegin() <= seconds(2));
}

TEST_CASE(
	"each daemon issues the permits of about as many servers, and a lost daemon moves only its own", "[permit_issuer]")
{
	constexpr int servers = 600;
	routing::permit_issuer issuer(instance_id("d0"), decide::rank);
	std::vector<routing::fleet_member> others;
	for (int number = 1; number < 6; ++number)
	{
		others.push_back(member("d" + std::to_string(number)));
	}
	issuer.set_daemons(others, at_ms(0));
	std::map<instance_id, int> counts;
	std::map<int, instance_id> before;
	for (int number = 0; number < servers; ++number)
	{
		auto const* const chosen = issuer.issuer_of(server_id(std::to_string(number)));
		before[number] = chosen == nullptr ? instance_id("d0") : chosen->id;
		++counts[before[number]];
	}
	REQUIRE(counts.size() == 6);
	REQUIRE(std::ranges::all_of(counts, [](auto const& item) { return item.second > 60 && item.second < 150; }));
	others.pop_back();
	issuer.set_daemons(others, at_ms(1000));
	for (int number = 0; number < servers; ++number)
	{
		auto const* const chosen = issuer.issuer_of(server_id(std::to_string(number)));
		auto const now = chosen == nullptr ? instance_id("d0") : chosen->id;
		REQUIRE((before[number] == instance_id("d5") || before[number] == now));
	}
}
