#include <godwittrestle/routing/server_health.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	namespace
	{
		// Weight of the newest outcome in the moving average of failures.
		constexpr double newest_weight = 0.15;
		constexpr duration initial_pause = milliseconds(400);
		constexpr duration max_pause = seconds(4);
		constexpr std::uint32_t max_doublings = 4;
		// At or above this failure share a server is avoided although single calls succeed.
		constexpr double suspect_failure_share = 0.5;
	}

	void server_health::note(call_outcome outcome, time_point now)
	{
		auto const is_failure = outcome != call_outcome::served && outcome != call_outcome::rejected;
		this->recent_failure_share += newest_weight * ((is_failure ? 1.0 : 0.0) - this->recent_failure_share);
		if (!is_failure)
		{
			this->failures_in_row = 0;
			return;
		}
		auto const doublings = std::min(this->failures_in_row, max_doublings);
		++this->failures_in_row;
		// An error answer shows that the server works: it makes the server suspect only when its recent failure share
		// is high.
		if (outcome == call_outcome::failed && this->recent_failure_share < suspect_failure_share)
		{
			return;
		}
		this->avoid_until = now + std::min(max_pause, initial_pause * (1U << doublings));
	}

	bool server_health::is_suspect(time_point now) const noexcept
	{
		return now < this->avoid_until;
	}
}
