#include <godwittrestle/routing/pool_balance.hpp>

#include <algorithm>
#include <ranges>

namespace godwittrestle::routing
{
	namespace
	{
		constexpr std::uint32_t min_streams = 6;
		// Usable parts of the prefill engines' time and of the decode engines' memory. A prompt can wait a little for a
		// prefill engine, but streams do not fill a memory to the last token.
		constexpr double prefill_utilisation = 0.95;
		constexpr double decode_utilisation = 0.85;
		// Minimum ratio of the throughput of another split to that of the current one.
		constexpr double min_gain = 1.1;
		// The same minimum ratio for the throughput when decode engines prefill prompts as well.
		constexpr double min_mixed_gain = 1.05;
		// At most 1 / role_change_divisor of the engines, but at least one, change their role at a time.
		constexpr std::uint32_t role_change_divisor = 6;
		// A pool counts as unchanged while at most 1 / pool_change_divisor of its engines have come, gone or changed
		// their role.
		constexpr std::uint32_t pool_change_divisor = 20;
		// Time without changes of the pool before a role change; engines that crash are mostly back within this time.
		constexpr duration pool_stability_time = seconds(3);
		constexpr duration min_wanted_time = seconds(1);

		// Time that a decode engine loses by prefilling a prompt itself, as a multiple of the time that a prefill
		// engine takes.
		constexpr double decode_engine_prefill_cost = 1.5;

		// Returns whether more than a few engines have come, gone or changed their role.
		bool differ_significantly(pool_sizes const& now, pool_sizes const& before)
		{
			auto const difference = [](std::uint32_t left, std::uint32_t right)
			{
				return std::max(left, right) - std::min(left, right);
			};
			auto const moved = difference(now.prefill, before.prefill) + difference(now.decode, before.decode);
			return moved * pool_change_divisor > now.prefill + now.decode;
		}

		// Returns the throughput of a split in streams per millisecond, limited by its scarcer side.
		double throughput(pool_sizes const& pools, double prefill_ms, double decode_ms)
		{
			return std::min(
				pools.prefill * prefill_utilisation / prefill_ms, pools.decode * decode_utilisation / decode_ms);
		}

		// Returns the throughput of a split when decode engines with free memory prefill the prompts for which the
		// prefill engines have no time.
		double mixed_throughput(pool_sizes const& pools, double prefill_ms, double decode_ms)
		{
			auto const apart = throughput(pools, prefill_ms, decode_ms);
			auto const left = pools.decode * decode_utilisation - apart * decode_ms;
			return apart + left / (decode_ms + decode_engine_prefill_cost * prefill_ms);
		}
	}

	std::string_view to_string(role_change change) noexcept
	{
		switch (change)
		{
			case role_change::none:
				return "none";
			case role_change::prefill_to_decode:
				return "prefill_to_decode";
			case role_change::decode_to_prefill:
				return "decode_to_prefill";
		}
		return "unknown";
	}

	void stream_demand::note_stream(token_count prompt, token_count expected_output)
	{
		this->prompt_tokens.note(prompt.count());
		this->output_tokens.note(expected_output.count());
	}

	void stream_demand::note_duration(token_count made, duration taken)
	{
		if (made.count() > 0)
		{
			this->token_ms.note(to_milliseconds(taken) / made.count());
		}
	}

	bool stream_demand::is_known() const noexcept
	{
		return this->prompt_tokens.all().samples >= min_streams && this->token_ms.all().samples >= min_streams;
	}

	double stream_demand::prefill_ms(engine_speed const& speed) const noexcept
	{
		return this->prompt_tokens.all().value / speed.prefill_tokens_per_ms;
	}

	token_count stream_demand::prompt() const noexcept
	{
		return token_count(static_cast<std::uint32_t>(this->prompt_tokens.all().value));
	}

	token_count stream_demand::output() const noexcept
	{
		return token_count(static_cast<std::uint32_t>(this->output_tokens.all().value));
	}

	duration stream_demand::expected_duration(token_count output) const noexcept
	{
		return from_milliseconds(output.count() * this->token_ms.all().value);
	}

	double stream_demand::decode_ms(token_count capacity) const noexcept
	{
		// The memory of a stream grows linearly from its prompt to prompt plus output; held is its average.
		auto const output = this->output_tokens.all().value;
		auto const held = this->prompt_tokens.all().value + output / 2;
		return output * this->token_ms.all().value * held / std::max<std::uint32_t>(1, capacity.count());
	}

	role_plan choose_role_change(
		pool_sizes const& pools, stream_demand const& demand, engine_speed const& speed, token_count capacity)
	{
		auto const all = pools.prefill + pools.decode;
		if (!demand.is_known() || capacity.count() == 0 || pools.prefill == 0 || pools.decode == 0 || all <= 2)
		{
			return {};
		}
		// The overhead of a prefill is left out, since it overlaps with the prefill of other prompts.
		auto const prefill_ms = std::max(1.0, demand.prefill_ms(speed));
		auto const decode_ms = std::max(1.0, demand.decode_ms(capacity));
		auto const throughput_with = [&](std::uint32_t prefill)
		{
			return throughput({prefill, all - prefill}, prefill_ms, decode_ms);
		};
		auto const best = std::ranges::max(std::views::iota(1U, all), {}, throughput_with);
		if (throughput_with(best) <= min_gain * throughput_with(pools.prefill))
		{
			return {};
		}
		auto const to_decode = best < pools.prefill;
		auto const mixed_throughput_with = [&](std::uint32_t prefill)
		{
			return mixed_throughput({prefill, all - prefill}, prefill_ms, decode_ms);
		};
		// A decode engine that changes its role serves no new streams until its running streams have ended, while the
		// other decode engines can prefill prompts too. So the mixed throughput must grow as well.
		if (!to_decode && mixed_throughput_with(best) <= min_mixed_gain * mixed_throughput_with(pools.prefill))
		{
			return {};
		}
		// Moves only the surplus over the best split, so that the shrinking side keeps enough engines during the
		// change.
		auto const wanted = to_decode ? pools.prefill - best : best - pools.prefill;
		return {to_decode ? role_change::prefill_to_decode : role_change::decode_to_prefill,
			std::min(wanted, std::max(1U, all / role_change_divisor))};
	}

	bool role_change_debouncer::should_order(role_change wanted, pool_sizes const& pools, time_point now) noexcept
	{
		if (wanted != this->change)
		{
			this->change = wanted;
			this->wanted_since = now;
		}
		if (differ_significantly(pools, this->last_pools))
		{
			this->last_pools = pools;
			this->pool_stable_since = now;
		}
		auto const is_wanted = wanted != role_change::none && now - this->wanted_since >= min_wanted_time;
		return is_wanted && now - this->pool_stable_since >= pool_stability_time;
	}
}
