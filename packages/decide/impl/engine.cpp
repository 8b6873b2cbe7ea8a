#include <godwittrestle/decide/engine.hpp>

#include <algorithm>
#include <numeric>
#include <ranges>

namespace godwittrestle::decide
{
	namespace
	{
		// Maximum number of blocks remembered for each prefill engine.
		constexpr std::size_t max_cached_blocks = 4096;
		// Shorter prefills are ignored: their duration depends more on the network than on the engine.
		constexpr std::uint32_t min_tokens_for_speed_estimate = 256;
		constexpr double speed_smoothing = 0.2;
		constexpr double gap_smoothing = 0.2;
		constexpr duration limit_step_interval = seconds(1);
		// The limit is raised when the token gap is below this fraction of the target.
		constexpr double raise_limit_below = 0.9;
	}

	std::size_t prefix_hints::cached_prefix_length(std::vector<std::uint64_t> const& chain) const
	{
		auto const missing =
			std::ranges::find_if(chain, [&](std::uint64_t block) { return !this->positions.contains(block); });
		return static_cast<std::size_t>(missing - chain.begin());
	}

	void prefix_hints::add(std::uint64_t block)
	{
		this->remove(block);
		this->recency.push_back(block);
		this->positions.emplace(block, std::prev(this->recency.end()));
		if (this->recency.size() > this->limit)
		{
			this->remove(this->recency.front());
		}
	}

	void prefix_hints::remove(std::uint64_t block)
	{
		if (auto const found = this->positions.find(block); found != this->positions.end())
		{
			this->recency.erase(found->second);
			this->positions.erase(found);
		}
	}

	void prefix_hints::clear() noexcept
	{
		this->recency.clear();
		this->positions.clear();
	}

	bool engine_base::is_usable(time_point now, duration report_timeout) const noexcept
	{
		auto const has_recent_report = this->reported_at && now - *this->reported_at < report_timeout;
		return this->accepts_work && this->matches_policy && has_recent_report && now >= this->avoid_until;
	}

	prefill_engine::prefill_engine(double tokens_per_second)
		: tokens_per_us(tokens_per_second / 1e6)
		, hints(max_cached_blocks)
	{
	}

	duration prefill_engine::time_for(token_count tokens) const noexcept
	{
		return duration(static_cast<duration::rep>(tokens.count() / this->tokens_per_us));
	}

	void prefill_engine::start(std::string const& attempt, duration expected, time_point now)
	{
		if (this->running.emplace(attempt, expected).second)
		{
			this->busy_until = std::max(now, this->busy_until) + expected;
		}
	}

	void prefill_engine::finish(std::string const& attempt, std::optional<token_count> computed_tokens, time_point now)
	{
		auto const found = this->running.find(attempt);
		if (found == this->running.end())
		{
			return;
		}
		auto const expected = found->second;
		this->running.erase(found);
		if (computed_tokens && computed_tokens->count() >= min_tokens_for_speed_estimate)
		{
			auto const started_at = std::max(this->last_finish, this->busy_until - expected);
			auto const elapsed_us =
				std::max<double>(1.0, static_cast<double>((now - std::min(started_at, now)).count()));
			auto const measured = computed_tokens->count() / elapsed_us;
			// Bounds each sample to a factor of two, so that a single one cannot move the estimate far.
			auto const bounded = std::clamp(measured, this->tokens_per_us / 2, this->tokens_per_us * 2);
			this->tokens_per_us += speed_smoothing * (bounded - this->tokens_per_us);
		}
		this->last_finish = now;
		auto const remaining = this->running | std::views::values;
		this->busy_until = std::accumulate(remaining.begin(), remaining.end(), now);
	}

	void prefill_engine::apply_cache_events(load_report const& report)
	{
		if (report.cache_gap)
		{
			this->hints.clear();
		}
		std::ranges::for_each(report.cache_removed, [this](std::uint64_t block) { this->hints.remove(block); });
		std::ranges::for_each(report.cache_added, [this](std::uint64_t block) { this->hints.add(block); });
		this->cache_sequence = report.cache_sequence;
	}

	int decode_engine::free_slots() const noexcept
	{
		return static_cast<int>(this->limit) - static_cast<int>(this->active.size()) - static_cast<int>(this->foreign);
	}

	void decode_engine::record_token_gap(duration gap) noexcept
	{
		auto const reading = static_cast<double>(gap.count());
		this->token_gap_us =
			this->token_gap_us == 0 ? reading : this->token_gap_us + gap_smoothing * (reading - this->token_gap_us);
	}

	void decode_engine::adapt_limit(duration target, time_point now) noexcept
	{
		if (this->token_gap_us == 0 || now - this->limit_changed_at < limit_step_interval)
		{
			return;
		}
		auto const target_us = static_cast<double>(target.count());
		if (this->token_gap_us > target_us && this->limit > 1)
		{
			auto const held = static_cast<std::uint32_t>(this->active.size()) + this->foreign;
			this->limit = std::clamp(std::min(this->limit, held), 2U, this->slots) - 1;
			this->limit_changed_at = now;
		}
		else if (this->token_gap_us < raise_limit_below * target_us && this->limit < this->slots)
		{
			++this->limit;
			this->limit_changed_at = now;
		}
	}
}
