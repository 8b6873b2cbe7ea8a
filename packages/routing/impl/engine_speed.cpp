#include <godwittrestle/routing/engine_speed.hpp>

#include <algorithm>
#include <vector>

namespace godwittrestle::routing
{
	namespace
	{
		// A decode engine processes prompts at half the speed of a prefill engine.
		constexpr double decode_engine_speed_ratio = 0.5;
		// Parts of the objective that the prefill and the start at a decode engine are assumed to take before any
		// measurement.
		constexpr double assumed_prefill_part = 0.125;
		constexpr double assumed_decode_start_part = 0.05;
		// Number of recent prefills that are kept.
		constexpr std::size_t max_prefills = 40;
		// The fastest 1 / unqueued_divisor of the prefills are assumed to have had no other prompt queued before them.
		constexpr std::size_t unqueued_divisor = 2;
		// With one prefill, all of its time is attributed to the prompt length; the share of the fitted slope grows
		// until there is this number of further prefills.
		constexpr double prefills_to_trust_slope = 4;
		// Minimum time per token, as a part of (mean prefill time / mean prompt length).
		constexpr double min_token_time_part = 0.1;

		// Linear model of the prefill time over the prompt length.
		struct prefill_line
		{
			double token_ms = 0;
			double overhead_ms = 0;

			// Returns how much longer than predicted a prefill took, in milliseconds.
			[[nodiscard]] double excess(double prompt, double taken_ms) const noexcept
			{
				return taken_ms - this->overhead_ms - this->token_ms * prompt;
			}
		};

		// Returns the least-squares fit to the prefills, with its slope bounded.
		template <typename Prefills>
		prefill_line fit(Prefills const& prefills)
		{
			auto const count = static_cast<double>(prefills.size());
			double mean_prompt = 0;
			double mean_taken = 0;
			for (auto const& each : prefills)
			{
				mean_prompt += each.prompt / count;
				mean_taken += each.taken_ms / count;
			}
			double variance = 0;
			double covariance = 0;
			for (auto const& each : prefills)
			{
				variance += (each.prompt - mean_prompt) * (each.prompt - mean_prompt);
				covariance += (each.prompt - mean_prompt) * (each.taken_ms - mean_taken);
			}
			auto const ratio = mean_taken / mean_prompt;
			auto const slope = variance > 0 ? covariance / variance : ratio;
			auto const bounded = std::clamp(slope, min_token_time_part * ratio, ratio);
			auto const trust = std::min(1.0, (count - 1) / prefills_to_trust_slope);
			auto const token_ms = trust * bounded + (1 - trust) * ratio;
			return {token_ms, mean_taken - token_ms * mean_prompt};
		}

	}

	duration engine_speed::prefill_time(double tokens) const noexcept
	{
		return this->prefill_overhead + from_milliseconds(tokens / this->prefill_tokens_per_ms);
	}

	duration engine_speed::decode_engine_prefill_time(double tokens) const noexcept
	{
		return this->prefill_overhead +
			   from_milliseconds(tokens / this->prefill_tokens_per_ms / decode_engine_speed_ratio);
	}

	void engine_speed_estimate::note_prefill(token_count prompt, duration taken) noexcept
	{
		if (prompt.count() == 0)
		{
			return;
		}
		this->prefills.push_back({static_cast<double>(prompt.count()), to_milliseconds(taken)});
		if (this->prefills.size() > max_prefills)
		{
			this->prefills.pop_front();
		}
		auto unqueued = std::vector(this->prefills.begin(), this->prefills.end());
		auto const first_line = fit(unqueued);
		std::ranges::sort(
			unqueued, {}, [&](measured_prefill const& each) { return first_line.excess(each.prompt, each.taken_ms); });
		unqueued.resize((unqueued.size() + unqueued_divisor - 1) / unqueued_divisor);
		auto const line = fit(unqueued);
		auto const samples = static_cast<std::uint32_t>(this->prefills.size());
		this->token_ms.set_own({line.token_ms, samples});
		this->overhead_ms.set_own({line.overhead_ms, samples});
	}

	void engine_speed_estimate::note_decode_start(duration taken) noexcept
	{
		this->decode_start_ms.note(to_milliseconds(taken));
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
		auto const measured_decode_start = this->decode_start_ms.all();
		auto const assumed_decode_start = to_milliseconds(objective) * assumed_decode_start_part;
		known.decode_start =
			from_milliseconds(measured_decode_start.samples > 0 ? measured_decode_start.value : assumed_decode_start);
		return known;
	}
}
