#include <godwittrestle/routing/retry_budget.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	namespace
	{
		// Part of the budget that is used. The rest is a reserve, because the windows of the daemons do not start at
		// the same time.
		constexpr double usable_budget_part = 0.8;

		void drop_before(std::deque<time_point>& times, time_point oldest)
		{
			while (!times.empty() && times.front() < oldest)
			{
				times.pop_front();
			}
		}
	}

	void retry_budget::note_request(time_point now)
	{
		this->requests.push_back(now);
	}

	bool retry_budget::has_left(retry_budget_settings const& terms, std::uint32_t daemons, time_point now)
	{
		this->drop_expired(terms.window, now);
		auto const from_requests = terms.ratio * static_cast<double>(this->requests.size());
		auto const slack_share = terms.slack / std::max(1U, daemons);
		return static_cast<double>(this->retries.size()) + 1 <= usable_budget_part * (from_requests + slack_share);
	}

	bool retry_budget::try_spend(retry_budget_settings const& terms, std::uint32_t daemons, time_point now)
	{
		if (!this->has_left(terms, daemons, now))
		{
			return false;
		}
		this->charge(now);
		return true;
	}

	void retry_budget::charge(time_point now)
	{
		this->retries.push_back(now);
	}

	void retry_budget::drop_expired(duration window, time_point now)
	{
		drop_before(this->requests, now - window);
		drop_before(this->retries, now - window);
	}
}
