#include <godwittrestle/routing/quota_issuer.hpp>

#include <algorithm>
#include <utility>

namespace godwittrestle::routing
{
	namespace
	{
		// Parts of the tolerance that are spent on the rate: while all daemons are in touch, so that quotas which
		// are granted and not used yet keep nothing from the account; and while some are lost, which may grant as well.
		constexpr double steady_part = 0.4;
		constexpr double partitioned_part = 0.8;
		// Where the limit is measured over a window: the parts of the burst that may come at once and that are handed
		// out over the window, and the parts of the tolerated units that are added to them. They take the place of
		// steady_part; the rest is left for issuers on two sides of a cut and for the time without one.
		constexpr double burst_at_once = 0.5;
		constexpr double burst_a_window = 0.5;
		constexpr double units_at_once = 0.2;
		constexpr double units_a_window = 0.2;
		// What a new issuer begins with, and the part of the rate that it grants until all others know it.
		constexpr double first_part_of_burst = 0.25;
		constexpr double unsettled_part_of_rate = 0.5;
		// Least that a bucket holds, in seconds of the rate for the whole of a tolerance of 1. Requests never come
		// evenly, so a limit with little or no burst would refuse some below its rate.
		constexpr double depth_seconds = 2;
		// Part of what is left in the bucket that one daemon may get ahead of its demand.
		constexpr double ahead_part = 0.25;
		constexpr duration not_issuer_retry = milliseconds(100);
		constexpr duration min_retry = milliseconds(50);
		constexpr duration max_retry = seconds(2);

		// Returns the time in which this many units are granted; max_retry when it is longer, or never ends.
		duration time_to_grant(double units, double rate)
		{
			auto const longest = std::chrono::duration<double>(max_retry).count();
			return units < rate * longest ? from_seconds(units / rate) : max_retry;
		}
	}

	std::string_view to_string(quota_outcome outcome) noexcept
	{
		switch (outcome)
		{
			case quota_outcome::granted:
				return "granted";
			case quota_outcome::limit_reached:
				return "limit_reached";
			case quota_outcome::not_issuer:
				return "not_issuer";
			case quota_outcome::no_answer:
				return "no_answer";
		}
		return "no_answer";
	}

	quota_issuer::quota_issuer(instance_id own, issuer_election::rank_function ranking, limit_tolerance allowed)
		: election(std::move(own), std::move(ranking))
		, tolerance(allowed)
	{
	}

	void quota_issuer::set_daemons(std::vector<fleet_member> others, time_point now)
	{
		auto const changes = this->election.changes();
		this->election.set_daemons(std::move(others), now);
		if (this->election.changes() != changes)
		{
			// The new issuer grants the rate from now on. A bucket that went on filling would grant it once more.
			std::erase_if(this->buckets, [&](auto const& item) { return this->issuer_of(item.first) != nullptr; });
		}
	}

	void quota_issuer::note_leaving(instance_id const& daemon)
	{
		this->election.note_leaving(daemon);
	}

	fleet_member const* quota_issuer::issuer_of(account_id const& account) const
	{
		return this->election.issuer_of(account.str());
	}

	quota_answer quota_issuer::request(
		account_id const& account, rate_limit const& limit, quota_demand const& demand, time_point now)
	{
		if (this->issuer_of(account) != nullptr)
		{
			return {quota_outcome::not_issuer, 0, not_issuer_retry};
		}
		auto const rate = this->issued_rate(account, limit, now);
		auto& available = this->fill(account, limit, rate, now);
		auto const most = this->capacity(limit);
		available.level = std::min(most, available.level + demand.returned);
		// A request that is larger than the bucket goes when the bucket is full.
		auto const missing = std::min(demand.needed, most) - available.level;
		if (missing > 0)
		{
			return refuse(available, missing, demand.needed, rate, now);
		}
		available.level -= demand.needed;
		auto const ahead = std::clamp(demand.ahead, 0.0, std::max(0.0, available.level * ahead_part));
		available.level -= ahead;
		return {quota_outcome::granted, demand.needed + ahead, {}};
	}

	double quota_issuer::capacity(rate_limit const& limit) const noexcept
	{
		auto const at_once = this->tolerance.window == duration{}
								 ? limit.burst
								 : limit.burst * burst_at_once + this->tolerance.units * units_at_once;
		return std::max(at_once, limit.rate * this->tolerance.excess * depth_seconds);
	}

	double quota_issuer::sustained_rate(rate_limit const& limit) const noexcept
	{
		if (this->tolerance.window == duration{})
		{
			return limit.rate;
		}
		auto const window = std::chrono::duration<double>(this->tolerance.window).count();
		return limit.rate + (limit.burst * burst_a_window + this->tolerance.units * units_a_window) / window;
	}

	double quota_issuer::issued_rate(account_id const& account, rate_limit const& limit, time_point now) const
	{
		auto const share = this->election.share(now);
		auto const steady = this->tolerance.window == duration{} ? 1 + this->tolerance.excess * steady_part : 1;
		auto const part = std::min(steady, (1 + this->tolerance.excess * partitioned_part) * share);
		auto const is_settled = this->election.is_settled_issuer(account.str(), now);
		return this->sustained_rate(limit) * part * (is_settled ? 1 : unsettled_part_of_rate);
	}

	quota_issuer::bucket& quota_issuer::fill(
		account_id const& account, rate_limit const& limit, double rate, time_point now)
	{
		auto const most = this->capacity(limit);
		auto const [found, is_new] = this->buckets.try_emplace(account);
		auto& filled = found->second;
		if (is_new)
		{
			filled.level = most * first_part_of_burst;
			filled.filled_at = now;
		}
		auto const elapsed = std::chrono::duration<double>(now - filled.filled_at).count();
		filled.level = std::min(most, filled.level + elapsed * rate);
		filled.filled_at = now;
		return filled;
	}

	quota_answer quota_issuer::refuse(bucket& empty, double missing, double needed, double rate, time_point now)
	{
		// Each refused request is told a later time, in the order in which room appears.
		auto const filled_at = now + time_to_grant(missing, rate);
		auto const after_last = empty.next_request_at + time_to_grant(needed, rate);
		empty.next_request_at = std::min(std::max(filled_at, after_last), now + max_retry);
		return {quota_outcome::limit_reached, 0, std::max(min_retry, empty.next_request_at - now)};
	}

	void quota_issuer::retain(std::set<account_id> const& accounts)
	{
		std::erase_if(this->buckets, [&](auto const& item) { return !accounts.contains(item.first); });
	}
}
