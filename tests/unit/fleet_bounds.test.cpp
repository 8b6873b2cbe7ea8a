#include <catch2/catch.hpp>

#include <vector>

#include <godwittrestle/decide/limits.hpp>
#include <godwittrestle/routing.hpp>

using namespace godwittrestle;

// Each test adds up what all daemons may do, where each of them keeps its share of a bound by itself.

namespace
{
	policy::Account make_account(std::uint32_t rate, std::uint32_t max_concurrent)
	{
		policy::Account account;
		account.set_name("crews");
		account.set_requests_per_second(rate);
		account.set_concurrent_requests(max_concurrent);
		return account;
	}

	std::size_t all_connections(std::uint32_t max_connections, std::uint32_t daemons)
	{
		return daemons * routing::connection_share(max_connections, daemons);
	}

	// Returns the requests that all daemons together let run at once.
	std::size_t all_running(std::uint32_t max_concurrent, std::size_t daemons)
	{
		constexpr std::uint32_t unlimited_rate = 1'000'000;
		auto const account = make_account(unlimited_rate, max_concurrent);
		std::size_t running = 0;
		for (std::size_t daemon = 0; daemon < daemons; ++daemon)
		{
			decide::limits accounts;
			while (!accounts.admit(account, daemons, {}))
			{
				++running;
			}
		}
		return running;
	}
}

TEST_CASE("a few daemons together open no more connections than a server accepts", "[fleet_bounds]")
{
	auto const daemons = GENERATE(1U, 6U, 8U, 30U);
	auto const max_connections = GENERATE(96U, 110U, 360U, 370U);
	CAPTURE(daemons, max_connections);
	REQUIRE(all_connections(max_connections, daemons) <= max_connections);
}

TEST_CASE("many daemons together open no more connections than a server accepts", "[.many_connections]")
{
	auto const daemons = GENERATE(90U, 1200U);
	auto const max_connections = GENERATE(110U, 370U);
	CAPTURE(daemons, max_connections);
	REQUIRE(all_connections(max_connections, daemons) <= max_connections);
}

TEST_CASE("all daemons together admit no more requests a second of an account than its rate", "[fleet_bounds]")
{
	auto const daemons = GENERATE(std::size_t{1}, std::size_t{6}, std::size_t{30});
	CAPTURE(daemons);
	constexpr std::uint32_t rate = 60;
	constexpr int measured_seconds = 10;
	auto const account = make_account(rate, 1'000'000);
	std::size_t admitted = 0;
	for (std::size_t daemon = 0; daemon < daemons; ++daemon)
	{
		decide::limits accounts;
		for (std::int64_t ms = 0; ms < 1000L * measured_seconds; ++ms)
		{
			admitted += accounts.admit(account, daemons, time_point(milliseconds(ms))) ? 0 : 1;
		}
	}
	// One second's worth may be saved up before.
	REQUIRE(admitted <= std::size_t{rate} * (measured_seconds + 1));
}

TEST_CASE(
	"all daemons together let no more requests of an account run at once than its limit", "[.account_concurrency]")
{
	auto const daemons = GENERATE(std::size_t{6}, std::size_t{30});
	constexpr std::uint32_t max_concurrent = 10;
	CAPTURE(daemons);
	REQUIRE(all_running(max_concurrent, daemons) <= max_concurrent);
}
