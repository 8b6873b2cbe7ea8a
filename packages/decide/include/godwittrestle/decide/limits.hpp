#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/policy/policy.pb.h>

namespace godwittrestle::decide
{
	// A bucket that fills at a rate and that each admitted event takes one token from.
	class token_bucket
	{
	  public:
		// Takes a token and returns true, or returns false when there is none.
		[[nodiscard]] bool try_take(double per_second, double burst, time_point now) noexcept;

		// Time until the next token, at the rate of the last take.
		[[nodiscard]] duration time_to_next() const noexcept;

	  private:
		double level = -1;
		double rate = 1;
		time_point filled_at;
	};

	// This daemon's share of each account's limits: the fleet's limit divided by the live daemons.
	class limits
	{
	  public:
		// Admits a request and counts it as running, or returns when to come back.
		[[nodiscard]] std::optional<duration> admit(
			policy::Account const& account, std::size_t daemons, time_point now);

		// Ends a request that was admitted.
		void finish(account_id const& account);

		// Notes a first attempt, which earns a part of a retry.
		void record_first_attempt() noexcept;

		// Takes a retry from the budget; false when retries would exceed their share of the calls.
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
