#include <godwittrestle/routing/engine_speed.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	namespace
	{
		// A decode engine reads prompts at half the speed of a prefill engine.
		constexpr double mixed_part = 0.5;
		// Parts of the objective that reading a prompt and the way to the first event take on an engine not known yet.
		constexpr double assumed_prefill_part = 0.125;
		constexpr double assumed_begin_part = 0.05;
		// Prefills that are remembered.
		constexpr std::uint32_t memory = 40;
		constexpr std::uint32_t samples_to_trust = 6;
		// One prefill counts as this many times the average at most: it may have been on a slow or dark engine.
		constexpr double furthest_off = 3;
		// Until prompts of different lengths were seen, all of the time is taken to grow with the length.
		constexpr double assumed_samples = 2;
		// The part of the time that grows with the length is at least this much of it.
		constexpr double least_growing_part = 0.1;

		duration from_milliseconds(double count) noexcept
		{
			return duration(static_cast<duration::rep>(count * 1000));
		}
	}

	duration engine_speed::prefill_time(double tokens) const noexcept
	{
		return this->prefill_overhead + from_milliseconds(tokens / this->prefill_tokens_per_ms);
	}

	duration engine_speed::mixed_prefill_time(double tokens) const noexcept
	{
		return this->prefill_overhead + from_milliseconds(tokens / this->prefill_tokens_per_ms / mixed_part);
	}

	void engine_speed_estimate::note_prefill(token_count prompt, duration taken) noexcept
	{
		if (prompt.count() == 0)
		{
			return;
		}
		auto taken_ms = to_milliseconds(taken);
		if (this->samples >= samples_to_trust)
		{
			taken_ms = std::min(taken_ms, furthest_off * this->mean_taken);
		}
		this->samples = std::min(this->samples + 1, memory);
		auto const weight = 1.0 / this->samples;
		auto const prompt_difference = prompt.count() - this->mean_prompt;
		this->mean_prompt += weight * prompt_difference;
		this->mean_taken += weight * (taken_ms - this->mean_taken);
		auto const remaining = prompt.count() - this->mean_prompt;
		this->prompt_variance += weight * (prompt_difference * remaining - this->prompt_variance);
		this->covariance += weight * ((taken_ms - this->mean_taken) * prompt_difference - this->covariance);
		auto const ratio = this->mean_taken / this->mean_prompt;
		auto const slope = this->prompt_variance > 0 ? this->covariance / this->prompt_variance : ratio;
		auto const bounded = std::clamp(slope, least_growing_part * ratio, ratio);
		auto const all = this->samples + assumed_samples;
		auto const per_token = (bounded * this->samples + ratio * assumed_samples) / all;
		this->token_ms.set_own({per_token, this->samples});
		this->overhead_ms.set_own({this->mean_taken - per_token * this->mean_prompt, this->samples});
	}

	void engine_speed_estimate::note_begin(duration taken) noexcept
	{
		this->begin_ms.note(to_milliseconds(taken));
	}

	bool engine_speed_estimate::is_known() const noexcept
	{
		return this->token_ms.all().samples > 0;
	}

	engine_speed engine_speed_estimate::speed(token_count prompt, duration objective) const noexcept
	{
		engine_speed known;
		if (this->is_known())
		{
			known.prefill_tokens_per_ms = 1 / this->token_ms.all().value;
			known.prefill_overhead = from_milliseconds(this->overhead_ms.all().value);
		}
		else
		{
			auto const assumed_ms = std::max(1.0, to_milliseconds(objective) * assumed_prefill_part);
			known.prefill_tokens_per_ms = std::max(1.0, static_cast<double>(prompt.count())) / assumed_ms;
		}
		auto const begin = this->begin_ms.all();
		auto const assumed_begin = to_milliseconds(objective) * assumed_begin_part;
		known.begin = from_milliseconds(begin.samples > 0 ? begin.value : assumed_begin);
		return known;
	}
}
