#pragma once

#include <cstdint>
#include <deque>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// How much may be sent more than once, over all daemons.
	struct retry_budget_settings
	{
		// Repeats allowed for each request of callers.
		double ratio = 0;
		// Time over which both are counted.
		duration window = seconds(10);
		// Repeats allowed besides, for all daemons together.
		double slack = 0;

		[[nodiscard]] bool operator==(retry_budget_settings const&) const = default;
	};

	// The part of one service's retry budget that this daemon may spend without asking others: its own requests times
	// the ratio, and an equal share of the slack. Answers backend servers that fail at once for everybody: the sum over
	// all daemons stays within the budget because each keeps to its part.
	class retry_budget
	{
	  public:
		void note_request(time_point now);

		// Takes one repeat out of the budget. Returns false when none is left. daemons: how many share the slack.
		[[nodiscard]] bool try_spend(retry_budget_settings const& terms, std::uint32_t daemons, time_point now);

	  private:
		void drop_expired(duration window, time_point now);

		std::deque<time_point> requests;
		std::deque<time_point> retries;
	};
}
