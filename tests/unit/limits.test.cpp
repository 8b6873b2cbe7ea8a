#include <catch2/catch.hpp>

#include <godwittrestle/decide/limits.hpp>

using namespace godwittrestle;
using namespace godwittrestle::decide;

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
}

TEST_CASE("each daemon admits its share of the rate limit and returns the time after which to retry", "[limits]")
{
	limits accounts;
	auto const account = make_account(20, 1000);
	auto admitted = 0;
	while (!accounts.admit(account, 2, {}))
	{
		++admitted;
	}
	REQUIRE(admitted == 10);
	auto const wait = accounts.admit(account, 2, {});
	REQUIRE(wait);
	REQUIRE_FALSE(accounts.admit(account, 2, time_point(*wait)));
}

TEST_CASE("the concurrency limit holds until running requests finish", "[limits]")
{
	limits accounts;
	auto const account = make_account(1000, 2);
	REQUIRE_FALSE(accounts.admit(account, 1, {}));
	REQUIRE_FALSE(accounts.admit(account, 1, {}));
	REQUIRE(accounts.admit(account, 1, {}));
	accounts.finish(account_id("crews"));
	REQUIRE_FALSE(accounts.admit(account, 1, {}));
}

TEST_CASE("retries are limited to a tenth of the calls", "[limits]")
{
	limits accounts;
	while (accounts.try_take_retry())
	{
	}
	for (auto call = 0; call < 100; ++call)
	{
		accounts.record_first_attempt();
	}
	auto retries = 0;
	while (accounts.try_take_retry())
	{
		++retries;
	}
	REQUIRE(retries >= 9);
	REQUIRE(retries <= 10);
}
