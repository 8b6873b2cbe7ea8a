#include <godwittrestle/routing/quota_holder.hpp>

#include <algorithm>
#include <cmath>

namespace godwittrestle::routing
{
	namespace
	{
		// Demand is averaged over this time, and asked for this far ahead.
		constexpr double demand_seconds = 1.0;
		constexpr double ahead_seconds = 1.0;
		// A grant that lies unused for longer goes back to its issuer.
		constexpr duration longest_holding = seconds(2);
		// What is too little to send back.
		constexpr double least_returned = 1;
		// What a daemon may use of its part of the limit at once without the issuer, before it goes on at the part's
		// rate. The issuer may still grant, on the other side of a cut.
		constexpr double alone_seconds = 0.25;
		constexpr duration alone_retry = milliseconds(100);
		// A quota that is short by rounding is whole.
		constexpr double rounding = 1e-6;

		double seconds_between(time_point from, time_point to)
		{
			return std::max(0.0, std::chrono::duration<double>(to - from).count());
		}
	}

	std::string_view to_string(limit_outcome outcome) noexcept
	{
		switch (outcome)
		{
			case limit_outcome::admitted:
				return "admitted";
			case limit_outcome::over_limit:
				return "over_limit";
			case limit_outcome::unknown:
				return "unknown";
		}
		return "unknown";
	}

	void quota_holder::note_demand(account_id const& account, double units, time_point now)
	{
		auto& held = this->holdings[account];
		auto const weight = std::exp(-seconds_between(held.asked_at, now) / demand_seconds);
		held.asked_rate = held.asked_rate * weight + units / demand_seconds;
		held.asked_at = now;
	}

	limit_verdict quota_holder::decide(account_id const& account, double units, time_point now)
	{
		auto& held = this->holdings[account];
		if (held.balance + rounding >= units)
		{
			held.balance = std::max(0.0, held.balance - units);
			return {limit_outcome::admitted, {}};
		}
		if (held.refused_until > now && units >= held.refused_units)
		{
			return {limit_outcome::over_limit, held.refused_until - now};
		}
		return {limit_outcome::unknown, {}};
	}

	quota_demand quota_holder::demand(account_id const& account, double units, time_point now) const
	{
		auto const found = this->holdings.find(account);
		if (found == this->holdings.end())
		{
			return {units, 0, 0};
		}
		auto const& held = found->second;
		auto const weight = std::exp(-seconds_between(held.asked_at, now) / demand_seconds);
		// The request itself is part of the demand seen.
		auto const ahead = held.asked_rate * weight * ahead_seconds - units;
		return {std::max(0.0, units - held.balance), std::max(0.0, ahead), 0};
	}

	void quota_holder::note_answer(account_id const& account, quota_answer const& answer, double units, time_point now)
	{
		auto& held = this->holdings[account];
		switch (answer.outcome)
		{
			case quota_outcome::granted:
				held.balance += answer.granted;
				held.granted_at = now;
				held.refused_until = {};
				break;
			case quota_outcome::limit_reached:
				held.refused_units = held.refused_until > now ? std::min(held.refused_units, units) : units;
				held.refused_until = now + answer.retry_after;
				break;
			case quota_outcome::not_issuer:
			case quota_outcome::no_answer:
				break;
		}
	}

	limit_verdict quota_holder::decide_alone(
		account_id const& account, rate_limit const& limit, double units, std::size_t daemons, time_point now)
	{
		auto& held = this->holdings[account];
		auto const part = limit.rate / static_cast<double>(std::max<std::size_t>(1, daemons));
		auto const most = part * alone_seconds;
		auto const left = held.alone ? *held.alone + part * seconds_between(held.alone_at, now) : most;
		held.alone = std::min(most, left);
		held.alone_at = now;
		if (*held.alone <= 0)
		{
			return {limit_outcome::unknown, alone_retry};
		}
		// A request that is larger than the part is paid back from the part of the next moments.
		held.alone = *held.alone - units;
		return {limit_outcome::admitted, {}};
	}

	void quota_holder::give_back(account_id const& account, double units, time_point now)
	{
		auto& held = this->holdings[account];
		held.balance += units;
		held.granted_at = now;
	}

	std::vector<unused_quota> quota_holder::take_unused(time_point now)
	{
		std::vector<unused_quota> unused;
		for (auto& [account, held] : this->holdings)
		{
			if (held.balance >= least_returned && now - held.granted_at > longest_holding)
			{
				unused.push_back({account, held.balance});
				held.balance = 0;
			}
		}
		return unused;
	}

	void quota_holder::retain(std::set<account_id> const& accounts)
	{
		std::erase_if(this->holdings, [&](auto const& item) { return !accounts.contains(item.first); });
	}

	double quota_holder::balance(account_id const& account) const
	{
		auto const found = this->holdings.find(account);
		return found == this->holdings.end() ? 0 : found->second.balance;
	}
}
