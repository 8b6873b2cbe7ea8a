#include <godwittrestle/routing/engine_memory.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	namespace
	{
		constexpr double reserved_output_part = 0.2;
		// Margins as multiples of the average output of a stream. From the end of one stream on an engine to the end of
		// the next, all its running streams together make about one average output, whatever the size of the engine;
		// the margins are larger because streams do not end at regular intervals.
		constexpr double margin_in_outputs = 3;
		constexpr double late_margin_in_outputs = 6;
		// Reservation lifetime in addition to twice the expected time to the first event.
		constexpr duration reservation_margin = milliseconds(500);

		token_count scale(token_count tokens, double part) noexcept
		{
			return token_count(static_cast<std::uint32_t>(tokens.count() * part));
		}
	}

	token_count memory_to_reserve(token_count prompt, token_count made, token_count predicted) noexcept
	{
		return prompt + made + scale(predicted - made, reserved_output_part);
	}

	duration reservation_lifetime(duration time_to_first_event, duration limit) noexcept
	{
		return std::min(limit, 2 * time_to_first_event + reservation_margin);
	}

	token_count memory_margin(token_count average_output, bool is_late) noexcept
	{
		return scale(average_output, is_late ? late_margin_in_outputs : margin_in_outputs);
	}
}
