#pragma once

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// Tokens of a decode engine's memory that are reserved for a stream: its prompt, what it has made, and a part of
	// what it will still make. Answers engines under lasting load: their streams are at different ages, so that when
	// one is at its limit others have ended, and room for the whole output of each would stay empty. predicted: the
	// whole output, at least what was made.
	[[nodiscard]] token_count memory_to_reserve(token_count prompt, token_count made, token_count predicted) noexcept;

	// How long room is kept for a stream that comes. Answers servers that lose answers: what they kept without the
	// daemon knowing is nobody's until it lapses. time_to_first_event: how long the stream should take to its first
	// event. limit: what the engine allows.
	[[nodiscard]] duration reservation_lifetime(duration time_to_first_event, duration limit) noexcept;

	// Tokens that an engine must have free besides what a new stream needs, so that the streams that run there can grow
	// beyond what was reserved for them. average_output: tokens that a stream of the service makes. A stream that is
	// late already gets only what those that can be in time, at all daemons, leave over. Answers many daemons that fill
	// the same engines and hear of each other too late.
	[[nodiscard]] token_count memory_margin(token_count average_output, bool is_late) noexcept;
}
