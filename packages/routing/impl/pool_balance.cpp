#include <godwittrestle/routing/pool_balance.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	namespace
	{
		constexpr std::uint32_t least_streams = 10;
		constexpr double newest_weight = 0.05;
		// Prefill engines are used only so far, since prompts arrive unevenly and the first event must be in time.
		constexpr double prefill_use = 0.6;
		// Part of the decode engines' memory that streams can fill.
		constexpr double decode_use = 0.85;
		// How much more another split must carry.
		constexpr double least_gain = 1.15;

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

	role_change choose_role_change(
		pool_sizes const& pools, stream_demand const& demand, engine_speed const& speed, token_count capacity)
	{
		if (!demand.is_known() || capacity.count() == 0)
		{
			return role_change::none;
		}
		auto const prefill_ms = std::max(1.0, demand.prefill_ms(speed));
		auto const decode_ms = std::max(1.0, demand.decode_ms(capacity));
		auto const needed = least_gain * carried(pools, prefill_ms, decode_ms);
		pool_sizes const more_decode{pools.prefill - 1, pools.decode + 1};
		if (pools.prefill > 1 && carried(more_decode, prefill_ms, decode_ms) > needed)
		{
			return role_change::prefill_to_decode;
		}
		pool_sizes const more_prefill{pools.prefill + 1, pools.decode - 1};
		if (pools.decode > 1 && carried(more_prefill, prefill_ms, decode_ms) > needed)
		{
			return role_change::decode_to_prefill;
		}
		return role_change::none;
	}
}
