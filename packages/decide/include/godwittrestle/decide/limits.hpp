#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/policy/policy.pb.h>

namespace godwittrestle::decide
{
	// A token bucket: it is refilled at a rate, and each admitted request takes one token.
	class token_bucket
	{
	  public:
		// Takes a token and returns true, or returns false when there is none. burst: the capacity of the bucket in
		// tokens.
		[[nodiscard]] bool try_take(double per_second, double burst, time_point now) noexcept;

		// Returns the time until the next token, at the rate of the last try_take.
		[[nodiscard]] duration time_to_next() const noexcept;

	  private:
		// Tokens in the bucket; negative before the first try_take, which fills it.
		double level = -1;
		double rate = 1;
		time_point filled_at;
	};

	// Applies this daemon's share of the limits of each account: the limit of the whole fleet divided by the number of
	// live daemons. Also holds this daemon's budget of retries.
	class limits
	{
	  public:
		// Admits a request and counts it as running, or returns the time after which to retry.
		[[nodiscard]] std::optional<duration> admit(
			policy::Account const& account, std::size_t daemons, time_point now);

		// Ends a request that was admitted.
		void finish(account_id const& account);

		// Records the first attempt of a call, which adds a fraction of a retry to the budget.
		void record_first_attempt() noexcept;

		// Takes a retry from the budget, or returns false when retries would exceed their share of the calls.
		[[nodiscard]] bool try_take_retry() noexcept;

	  private:
		struct account_state
		{
			token_bucket bucket;
			std::uint32_t running = 0;
		};

		std::map<account_id, account_state> accounts;
		double retry_budget = initial_retry_budget;

		static constexpr double initial_retry_budget = 10;
		static constexpr double budget_per_first_attempt = 0.1;
		static constexpr double max_retry_budget = 100;
	};
}
