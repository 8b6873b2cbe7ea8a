#pragma once

#include <cstdint>
#include <deque>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/shared_average.hpp>

namespace godwittrestle::routing
{
	// Speed of a service's engines, as used for placement.
	struct engine_speed
	{
		// Prompt tokens that a prefill engine processes per millisecond.
		double prefill_tokens_per_ms = 1;
		// Part of the prefill time that does not depend on the length of the prompt.
		duration prefill_overhead{};
		// Time from the call to a decode engine until its first event when the engine has to fetch the KV cache.
		duration decode_start{};

		// Returns how long a prefill engine takes to process this many tokens, those queued before the prompt included.
		[[nodiscard]] duration prefill_time(double tokens) const noexcept;

		// Returns how long a decode engine takes to process this many tokens. It is slower than a prefill engine,
		// because it processes prompts between the tokens of its running streams.
		[[nodiscard]] duration decode_engine_prefill_time(double tokens) const noexcept;
	};

	// Estimates the speed of a service's engines from this daemon's streams and from the reports of other daemons. The
	// prefills that took longest for their length are ignored, because prompts of other daemons were probably queued
	// before them and not reported yet.
	class engine_speed_estimate
	{
	  public:
		// Records how long an engine without other known work took to process a prompt.
		void note_prefill(token_count prompt, duration taken) noexcept;

		// Records the time from the call to a decode engine until its first event.
		void note_decode_start(duration taken) noexcept;

		// Returns whether a prefill time has been measured or reported.
		[[nodiscard]] bool is_known() const noexcept;

		// Returns the estimated speed. Without measurements it assumes that an engine processes a prompt of this length
		// in a small part of the objective, since operators set the objective so that an idle engine meets it.
		[[nodiscard]] engine_speed speed(token_count prompt, duration objective) const noexcept;

		// Prefill time per prompt token, and the overhead of each prefill, in milliseconds.
		shared_average token_ms;
		shared_average overhead_ms;
		// Time from the call to a decode engine until its first event, in milliseconds.
		shared_average decode_start_ms;

	  private:
		struct measured_prefill
		{
			double prompt = 0;
			double taken_ms = 0;
		};

		// The most recent prefills, oldest first.
		std::deque<measured_prefill> prefills;
	};
}
