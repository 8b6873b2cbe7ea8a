#include <catch2/catch.hpp>

#include <algorithm>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	std::size_t spend_all(routing::retry_budget& budget, std::uint32_t daemons, time_point now)
	{
		routing::retry_budget_settings const terms{0.2, seconds(10), 52};
		std::size_t spent = 0;
		while (budget.try_spend(terms, daemons, now))
		{
			++spent;
		}
		return spent;
	}
}

TEST_CASE("all daemons together stay within the budget when all servers fail", "[budget]")
{
	constexpr std::uint32_t daemons = 6;
	std::size_t retries = 0;
	std::size_t requests = 0;
	for (std::uint32_t daemon = 0; daemon < daemons; ++daemon)
	{
		routing::retry_budget budget;
		// The load balancer spreads connections unevenly: each daemon gets 20 requests more than the previous one.
		for (std::uint32_t request = 0; request < 20 * daemon; ++request, ++requests)
		{
			budget.note_request(seconds(10), at_ms(request));
		}
		retries += spend_all(budget, daemons, at_ms(5000));
	}
	REQUIRE(static_cast<double>(retries) <= 0.2 * static_cast<double>(requests) + 52);
	REQUIRE(retries > 0);
}

TEST_CASE("the budget is available again after its window", "[budget]")
{
	routing::retry_budget budget;
	auto const first = spend_all(budget, 1, at_ms(0));
	REQUIRE(first > 0);
	REQUIRE(spend_all(budget, 1, at_ms(9'000)) == 0);
	REQUIRE(spend_all(budget, 1, at_ms(10'100)) == first);
}

TEST_CASE("requests without a retry take no more memory as time goes on, and each still counts", "[budget]")
{
	// A daemon's requests of an hour, 278 a second.
	routing::retry_budget budget;
	constexpr long requests = 1'000'000;
	constexpr long ms_per_hour = 3'600'000;
	constexpr std::size_t max_stored = 128;
	std::size_t most = 0;
	for (long request = 0; request < requests; ++request)
	{
		budget.note_request(seconds(10), at_ms(request * ms_per_hour / requests));
		most = std::max(most, budget.stored_periods());
	}
	REQUIRE(most <= max_stored);
	// 2778 requests are in the window of 10 s. A period counts no longer than its first request.
	routing::retry_budget_settings const terms{0.2, seconds(10), 0};
	std::size_t spent = 0;
	while (budget.try_spend(terms, 1, at_ms(ms_per_hour)))
	{
		++spent;
	}
	REQUIRE(spent <= 0.8 * 0.2 * 2778);
	REQUIRE(spent >= 0.8 * 0.2 * 2778 * 0.98);
}
