#include <catch2/catch.hpp>

#include <numeric>

#include "limited_fleet.hpp"

using namespace godwittrestle;
using godwittrestle::testing::limited_fleet;

namespace
{
	// The users' rule: in any 4 s, one and a half times what the limit allows, and 5 requests.
	constexpr duration window = seconds(4);

	double allowed_arrivals(double limit)
	{
		return 1.5 * limit * 4 + 5;
	}

	void start_all(limited_fleet& fleet)
	{
		for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon)
		{
			fleet.start(daemon);
		}
	}

	// Returns the load of each daemon when all have the same.
	std::vector<double> even_load(std::size_t daemons, double total)
	{
		return std::vector<double>(daemons, total / static_cast<double>(daemons));
	}

	// Returns the load of each daemon when one has all of it.
	std::vector<double> load_on_one(std::size_t daemons, double total, std::size_t busy)
	{
		std::vector<double> load(daemons);
		load[busy] = total;
		return load;
	}
}

TEST_CASE("a server's limit is kept and used, however callers spread over the daemons", "[fleet_limits]")
{
	auto const daemons = GENERATE(std::size_t{1}, std::size_t{6}, std::size_t{30});
	auto const limit = GENERATE(50.0, 5.0, 1.0, 0.2);
	auto const pattern = GENERATE(as<std::string>{}, "even", "on one", "moving");
	constexpr duration measured_time = seconds(30);
	// The rule binds from contact-ms after the first naming, here 3 s.
	constexpr duration contact_time = seconds(3);
	CAPTURE(daemons, limit, pattern);
	limited_fleet fleet(daemons, 7);
	auto const total = std::max(3 * limit, 20.0);
	fleet.set_load(pattern == "even" ? even_load(daemons, total) : load_on_one(daemons, total, 0));
	start_all(fleet);
	fleet.run_for(seconds(5));
	fleet.set_limit(limit);
	auto const measured_from = fleet.now() + contact_time;
	fleet.run_for(contact_time);
	for (std::size_t second = 0; second < 30; ++second)
	{
		if (pattern == "moving")
		{
			fleet.set_load(load_on_one(daemons, total, second % daemons));
		}
		fleet.run_for(seconds(1));
	}
	auto const most = static_cast<double>(fleet.most_arrivals(measured_from, window));
	REQUIRE(most <= allowed_arrivals(limit));
	// Two thirds of what the limit allows, except one request at the edge, reach the server.
	auto const expected = limit * std::chrono::duration<double>(measured_time).count() * 2 / 3 - 1;
	REQUIRE(static_cast<double>(fleet.arrivals_since(measured_from)) >= expected);
}

TEST_CASE("a limit that falls, rises, ends and is named again is followed", "[fleet_limits]")
{
	auto const daemons = GENERATE(std::size_t{1}, std::size_t{6}, std::size_t{30});
	CAPTURE(daemons);
	constexpr double total = 120;
	limited_fleet fleet(daemons, 11);
	fleet.set_load(even_load(daemons, total));
	start_all(fleet);
	fleet.set_limit(50);
	fleet.run_for(seconds(10));
	fleet.set_limit(5);
	fleet.run_for(seconds(10));
	REQUIRE(static_cast<double>(fleet.most_arrivals(fleet.now() - seconds(8), window)) <= allowed_arrivals(5));
	fleet.set_limit(50);
	fleet.run_for(seconds(10));
	REQUIRE(fleet.arrivals_since(fleet.now() - seconds(4)) > 100);
	fleet.set_limit(std::nullopt);
	fleet.run_for(seconds(10));
	REQUIRE(static_cast<double>(fleet.arrivals_since(fleet.now() - seconds(4))) > 0.9 * total * 4);
	fleet.set_limit(5);
	fleet.run_for(seconds(10));
	REQUIRE(static_cast<double>(fleet.most_arrivals(fleet.now() - seconds(7), window)) <= allowed_arrivals(5));
}

TEST_CASE(
	"a server with a limit of 0 gets a request now and then, so that the end of its limit is noticed", "[fleet_limits]")
{
	limited_fleet fleet(6, 3);
	fleet.set_load(even_load(6, 30));
	start_all(fleet);
	fleet.run_for(seconds(5));
	fleet.set_limit(0);
	fleet.run_for(seconds(60));
	REQUIRE(fleet.most_arrivals(seconds(8), window) <= 1);
	fleet.set_limit(std::nullopt);
	fleet.run_for(seconds(20));
	REQUIRE(fleet.arrivals_since(fleet.now() - seconds(4)) > 100);
}

TEST_CASE("the daemons keep a limit while others come, go, stand still or are cut off", "[fleet_limits]")
{
	auto const daemons = GENERATE(std::size_t{6}, std::size_t{30});
	auto const limit = GENERATE(50.0, 5.0, 0.2);
	auto const seed = GENERATE(range(1, 9));
	CAPTURE(daemons, limit, seed);
	limited_fleet fleet(daemons, static_cast<std::uint64_t>(seed));
	std::mt19937_64 random(static_cast<std::uint64_t>(seed));
	auto const draw = [&](std::size_t count)
	{
		return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
	};
	// Each daemon alone could use the whole limit.
	fleet.set_load(std::vector<double>(daemons, std::max(2 * limit, 2.0)));
	start_all(fleet);
	fleet.set_limit(limit);
	fleet.run_for(seconds(8));
	for (int event = 0; event < 12; ++event)
	{
		auto const daemon = draw(daemons);
		auto const time = milliseconds(static_cast<std::int64_t>(500 + draw(8000)));
		CAPTURE(event, daemon);
		switch (draw(5))
		{
			case 0:
				fleet.kill(daemon);
				fleet.run_for(time);
				fleet.start(daemon);
				break;
			case 1:
				fleet.announce_leaving(daemon);
				fleet.run_for(seconds(1));
				fleet.kill(daemon);
				fleet.run_for(time);
				fleet.start(daemon);
				break;
			case 2:
				fleet.freeze(daemon, time);
				fleet.run_for(time);
				break;
			case 3:
				fleet.cut(daemon, time);
				fleet.run_for(time);
				break;
			default:
				fleet.start(daemon);
				fleet.run_for(milliseconds(500));
				break;
		}
		fleet.run_for(seconds(1));
		auto const most = static_cast<double>(fleet.most_arrivals(seconds(3), window));
		REQUIRE(most <= allowed_arrivals(limit));
	}
}

TEST_CASE("without a limit no message is sent for it, and all requests reach the server", "[fleet_limits]")
{
	constexpr double total = 120;
	limited_fleet fleet(6, 3);
	fleet.set_load(even_load(6, total));
	start_all(fleet);
	fleet.run_for(seconds(10));
	fleet.start(3);
	fleet.run_for(seconds(10));
	REQUIRE(fleet.messages_about_limits() == 0);
	REQUIRE(static_cast<double>(fleet.arrivals_since(seconds(2))) > 0.9 * total * 18);
}

TEST_CASE("daemons that start learn of a limit before they have sent many requests", "[fleet_limits]")
{
	constexpr std::size_t running = 30;
	constexpr std::size_t joining = 20;
	constexpr double limit = 1;
	limited_fleet fleet(running + joining, 3);
	fleet.set_load(std::vector<double>(running + joining, 1));
	for (std::size_t daemon = 0; daemon < running; ++daemon)
	{
		fleet.start(daemon);
	}
	fleet.set_limit(limit);
	fleet.run_for(seconds(10));
	auto const joined_at = fleet.now();
	for (std::size_t daemon = running; daemon < running + joining; ++daemon)
	{
		fleet.start(daemon);
	}
	fleet.run_for(seconds(8));
	REQUIRE(static_cast<double>(fleet.most_arrivals(joined_at, window)) <= allowed_arrivals(limit));
}

TEST_CASE("the part of a lost daemon stays unused for 15 s and is used afterwards", "[fleet_limits]")
{
	constexpr std::size_t daemons = 6;
	constexpr double limit = 20;
	limited_fleet fleet(daemons, 5);
	fleet.set_load(even_load(daemons, 120));
	start_all(fleet);
	fleet.set_limit(limit);
	fleet.run_for(seconds(10));
	for (std::size_t daemon = 3; daemon < daemons; ++daemon)
	{
		fleet.kill(daemon);
	}
	// Half of the daemons are lost; the others find out within 4 s, and a new issuer needs one more second.
	fleet.run_for(seconds(6));
	auto const after_loss = fleet.now();
	fleet.run_for(seconds(8));
	auto const rate_after_loss = static_cast<double>(fleet.arrivals_since(after_loss)) / 8;
	REQUIRE(rate_after_loss <= 0.55 * limit);
	REQUIRE(rate_after_loss >= 0.4 * limit);
	fleet.run_for(seconds(10));
	auto const later = fleet.now();
	fleet.run_for(seconds(8));
	REQUIRE(static_cast<double>(fleet.arrivals_since(later)) / 8 >= 0.8 * limit);
}
