#include <godwittrestle/routing/retry_budget.hpp>

#include <algorithm>
#include <numeric>

namespace godwittrestle::routing
{
	namespace
	{
		// Part of the budget that is used. The rest is a reserve, because the windows of the daemons do not start at
		// the same time.
		constexpr double usable_budget_part = 0.8;

		// Requests of a period expire together, with the first of them: up to this part of the window early.
		constexpr int periods_per_window = 100;
	}

	void retry_budget::note_request(duration window, time_point now)
	{
		this->drop_expired(window, now);
		if (this->periods.empty() || now - this->periods.back().begin >= window / periods_per_window)
		{
			this->periods.push_back({now, 0});
		}
		++this->periods.back().requests;
	}

	bool retry_budget::has_left(retry_budget_settings const& terms, std::uint32_t daemons, time_point now)
	{
		return this->is_within(usable_budget_part, terms, daemons, now);
	}

	bool retry_budget::is_within(double part, retry_budget_settings const& terms, std::uint32_t daemons, time_point now)
	{
		this->drop_expired(terms.window, now);
		auto const requests = std::accumulate(this->periods.begin(), this->periods.end(), std::uint64_t{0},
			[](std::uint64_t sum, request_period const& each) { return sum + each.requests; });
		auto const from_requests = terms.ratio * static_cast<double>(requests);
		auto const slack_share = terms.slack / std::max(1U, daemons);
		return static_cast<double>(this->retries.size()) + 1 <= part * (from_requests + slack_share);
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

	bool retry_budget::try_spend_part(
		double part, retry_budget_settings const& terms, std::uint32_t daemons, time_point now)
	{
		auto const is_left = this->is_within(part * usable_budget_part, terms, daemons, now);
		if (is_left)
		{
			this->charge(now);
		}
		return is_left;
	}

	void retry_budget::charge(time_point now)
	{
		this->retries.push_back(now);
	}

	void retry_budget::drop_expired(duration window, time_point now)
	{
		auto const oldest = now - window;
		while (!this->periods.empty() && this->periods.front().begin < oldest)
		{
			this->periods.pop_front();
		}
		while (!this->retries.empty() && this->retries.front() < oldest)
		{
			this->retries.pop_front();
		}
	}
}
