#include <godwittrestle/routing/pool_balance.hpp>

#include <algorithm>
#include <ranges>

namespace godwittrestle::routing
{
	namespace
	{
		constexpr std::uint32_t least_streams = 6;
		constexpr double newest_weight = 0.05;
		// Prefill engines are used only so far, since prompts arrive unevenly and the first event must be in time.
		constexpr double prefill_use = 0.6;
		// Part of the decode engines' memory that streams can fill.
		constexpr double decode_use = 0.85;
		// How much more another split must carry.
		constexpr double least_gain = 1.15;
		// One of so many engines changes its role at a time.
		constexpr std::uint32_t pool_parts_at_once = 8;

		double smooth(double average, double sample, std::uint32_t count)
		{
			auto const weight = std::max(newest_weight, 1.0 / count);
			return average + weight * (sample - average);
		}

		// Streams that a split carries, relative to other splits.
		double carried(pool_sizes const& pools, double prefill_ms, double decode_ms)
		{
			return std::min(pools.prefill * prefill_use / prefill_ms, pools.decode * decode_use / decode_ms);
		}
	}

	void stream_demand::note_stream(token_count prompt, token_count expected_output)
	{
		++this->streams;
		this->prompt_tokens = smooth(this->prompt_tokens, prompt.count(), this->streams);
		this->output_tokens = smooth(this->output_tokens, expected_output.count(), this->streams);
	}

	void stream_demand::note_duration(token_count expected_output, duration taken)
	{
		if (expected_output.count() > 0)
		{
			this->token_ms += newest_weight * (to_milliseconds(taken) / expected_output.count() - this->token_ms);
		}
	}

	bool stream_demand::is_known() const noexcept
	{
		return this->streams >= least_streams;
	}

	double stream_demand::prefill_ms(engine_speed const& speed) const noexcept
	{
		return this->prompt_tokens / speed.prefill_tokens_per_ms;
	}

	double stream_demand::decode_ms(token_count capacity) const noexcept
	{
		// A stream's memory grows from its prompt to prompt and output.
		auto const held = this->prompt_tokens + this->output_tokens / 2;
		return this->output_tokens * this->token_ms * held / std::max<std::uint32_t>(1, capacity.count());
	}

	role_plan choose_role_change(
		pool_sizes const& pools, stream_demand const& demand, engine_speed const& speed, token_count capacity)
	{
		auto const all = pools.prefill + pools.decode;
		if (!demand.is_known() || capacity.count() == 0 || pools.prefill == 0 || pools.decode == 0 || all <= 2)
		{
			return {};
		}
		auto const prefill_ms = std::max(1.0, demand.prefill_ms(speed));
		auto const decode_ms = std::max(1.0, demand.decode_ms(capacity));
		auto const carries = [&](std::uint32_t prefill)
		{
			return carried({prefill, all - prefill}, prefill_ms, decode_ms);
		};
		auto const best = std::ranges::max(std::views::iota(1U, all), {}, carries);
		if (carries(best) <= least_gain * carries(pools.prefill))
		{
			return {};
		}
		auto const to_decode = best < pools.prefill;
		auto const wanted = to_decode ? pools.prefill - best : best - pools.prefill;
		return {to_decode ? role_change::prefill_to_decode : role_change::decode_to_prefill,
			std::min(wanted, std::max(1U, all / pool_parts_at_once))};
	}
}
