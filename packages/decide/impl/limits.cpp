#include <godwittrestle/decide/limits.hpp>

#include <algorithm>
#include <cmath>

namespace godwittrestle::decide
{
	namespace
	{
		// A daemon's share of a small limit is never rounded down to zero.
		constexpr double min_share = 1;
		// Retry delay at the concurrency limit of an account; a running request has probably ended by then.
		constexpr duration concurrency_retry_after = seconds(1);
	}

	bool token_bucket::try_take(double per_second, double burst, time_point now) noexcept
	{
		if (this->level < 0)
		{
			this->level = burst;
			this->filled_at = now;
		}
		auto const elapsed = std::chrono::duration<double>(now - this->filled_at).count();
		this->level = std::min(burst, this->level + std::max(elapsed, 0.0) * per_second);
		this->rate = per_second;
		this->filled_at = now;
		if (this->level < 1)
		{
			return false;
		}
		this->level -= 1;
		return true;
	}

	duration token_bucket::time_to_next() const noexcept
	{
		return duration(static_cast<duration::rep>(std::ceil((1 - std::min(this->level, 1.0)) / this->rate * 1e6)));
	}

	std::optional<duration> limits::admit(policy::Account const& account, std::size_t daemons, time_point now)
	{
		auto& state = this->accounts[account_id(account.name())];
		auto const share = 1.0 / static_cast<double>(std::max<std::size_t>(daemons, 1));
		auto const max_concurrent = std::max(min_share, std::ceil(account.concurrent_requests() * share));
		if (state.running >= max_concurrent)
		{
			return concurrency_retry_after;
		}
		auto const rate = account.requests_per_second() * share;
		if (!state.bucket.try_take(rate, std::max(min_share, rate), now))
		{
			return state.bucket.time_to_next();
		}
		++state.running;
		return std::nullopt;
	}

	void limits::finish(account_id const& account)
	{
		auto const found = this->accounts.find(account);
		if (found != this->accounts.end() && found->second.running > 0)
		{
			--found->second.running;
		}
	}

	void limits::record_first_attempt() noexcept
	{
		this->retry_budget = std::min(max_retry_budget, this->retry_budget + budget_per_first_attempt);
	}

	bool limits::try_take_retry() noexcept
	{
		if (this->retry_budget < 1)
		{
			return false;
		}
		this->retry_budget -= 1;
		return true;
	}
}
