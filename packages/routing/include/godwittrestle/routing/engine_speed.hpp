#pragma once

#include <cstdint>
#include <deque>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/shared_average.hpp>

namespace godwittrestle::routing
{
	// How fast the engines of a service work, as far as placement needs to know.
	struct engine_speed
	{
		// Tokens of a prompt that a prefill engine reads in a millisecond.
		double prefill_tokens_per_ms = 1;
		// Time that a prefill takes besides, however long the prompt is.
		duration prefill_overhead{};
		// Time from the call to a decode engine that has to fetch the KV cache to its first event.
		duration decode_start{};

		// Time until a prefill engine has read so many tokens, its queue included.
		[[nodiscard]] duration prefill_time(double tokens) const noexcept;

		// The same for a decode engine, which reads prompts between the tokens of other streams.
		[[nodiscard]] duration decode_engine_prefill_time(double tokens) const noexcept;
	};

	// Learns the speed of a service's engines from this daemon's own streams and from what other daemons tell. Prefills
	// that took longest for their length are passed over: prompts of other daemons, not heard of yet, were ahead of
	// them.
	class engine_speed_estimate
	{
	  public:
		// Notes how long an engine without other work, as far as known, took to read a prompt.
		void note_prefill(token_count prompt, duration taken) noexcept;

		// Notes how long a decode engine took from the call to the first event.
		void note_decode_start(duration taken) noexcept;

		// Whether any prompt was seen to be read.
		[[nodiscard]] bool is_known() const noexcept;

		// Returns what is known. While nothing is: prompts like this one are read well within the objective, which an
		// operator sets so that an idle engine meets it.
		[[nodiscard]] engine_speed speed(token_count prompt, duration objective) const noexcept;

		// Milliseconds for each token of a prompt, and for a prompt whatever its length.
		shared_average token_ms;
		shared_average overhead_ms;
		// Milliseconds from the call to a decode engine to the first event.
		shared_average decode_start_ms;

	  private:
		struct measured_prefill
		{
			double prompt = 0;
			double taken_ms = 0;
		};

		// The newest prefills, oldest first.
		std::deque<measured_prefill> prefills;
	};
}
