#include <godwittrestle/routing/engine_room.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	namespace
	{
		constexpr double part_to_come_at_once = 0.2;
		// In average outputs of a stream. Between two ends of streams on an engine, all that run there together make
		// about one output, whatever the engine's size; ends do not come evenly.
		constexpr double usual_margin = 3;
		constexpr double margin_for_late = 6;
		// Time for which room is kept besides twice what the way to the first event should take.
		constexpr duration reservation_margin = milliseconds(500);

		token_count part_of(token_count tokens, double part) noexcept
		{
			return token_count(static_cast<std::uint32_t>(tokens.count() * part));
		}
	}

	token_count needed_room(token_count prompt, token_count made, token_count predicted) noexcept
	{
		return prompt + made + part_of(predicted - made, part_to_come_at_once);
	}

	duration reservation_lifetime(duration way, duration longest) noexcept
	{
		return std::min(longest, 2 * way + reservation_margin);
	}

	token_count room_margin(token_count average_output, bool is_late) noexcept
	{
		return part_of(average_output, is_late ? margin_for_late : usual_margin);
	}
}
