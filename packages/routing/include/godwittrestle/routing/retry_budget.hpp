#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// Limits of the retries that all daemons together may send.
	struct retry_budget_settings
	{
		// Retries allowed per request of a caller.
		double ratio = 0;
		// Time window in which requests and retries are counted.
		duration window = seconds(10);
		// Additional retries allowed, for all daemons together.
		double slack = 0;

		[[nodiscard]] bool operator==(retry_budget_settings const&) const = default;
	};

	// This daemon's part of one service's retry budget, which it may spend without asking other daemons: its own
	// requests times the ratio, plus an equal share of the slack. The sum over all daemons stays within the budget,
	// also when the backend servers fail for all daemons at once, because each daemon stays within its part.
	class retry_budget
	{
	  public:
		// window: that of the settings in force.
		void note_request(duration window, time_point now);

		// Spends one retry. Returns false when none is left. daemons: number of daemons that share the slack.
		[[nodiscard]] bool try_spend(retry_budget_settings const& terms, std::uint32_t daemons, time_point now);

		// Spends one retry for a send that may be left out. Returns false when this part of the budget is spent; the
		// rest is for sends that have failed.
		[[nodiscard]] bool try_spend_part(
			double part, retry_budget_settings const& terms, std::uint32_t daemons, time_point now);

		// Returns whether a retry is left.
		[[nodiscard]] bool has_left(retry_budget_settings const& terms, std::uint32_t daemons, time_point now);

		// Records a retry that has been sent already, also when none was left.
		void charge(time_point now);

		// Returns for how many periods requests are counted at present.
		[[nodiscard]] std::size_t stored_periods() const noexcept
		{
			return this->periods.size();
		}

	  private:
		// Requests counted together, from the first of them on, so that the memory doesn't grow with their rate.
		struct request_period
		{
			time_point begin;
			std::uint64_t requests = 0;
		};

		// Returns whether one more retry stays within a part of the budget.
		[[nodiscard]] bool is_within(
			double part, retry_budget_settings const& terms, std::uint32_t daemons, time_point now);
		void drop_expired(duration window, time_point now);

		std::deque<request_period> periods;
		std::deque<time_point> retries;
	};
}
