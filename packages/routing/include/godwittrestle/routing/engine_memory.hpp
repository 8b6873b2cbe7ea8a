#pragma once

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// Returns the decode-engine memory, in tokens, to reserve for a stream: its prompt, the output made so far and a
	// part of the remaining output. Under lasting load the streams of an engine are at different ages: when one is at
	// its longest, others have ended, and memory reserved for the whole output of each would stay unused. predicted:
	// the predicted length of the whole output, at least made.
	[[nodiscard]] token_count memory_to_reserve(token_count prompt, token_count made, token_count predicted) noexcept;

	// Returns how long an engine keeps memory reserved for a stream that has not arrived yet. When the answer to a
	// reservation is lost, the daemon does not know of the reservation, and the memory stays unused until the
	// reservation expires. time_to_first_event: expected time until the first event of the stream. limit: longest
	// reservation that the engine allows.
	[[nodiscard]] duration reservation_lifetime(duration time_to_first_event, duration limit) noexcept;

	// Returns the memory, in tokens, that an engine must have free beyond the reservation of a new stream, so that its
	// running streams can grow beyond their reservations. The margin is larger for a stream that is already late: it
	// may use only memory that is not needed by streams, of any daemon, that can still meet their objective. The margin
	// also covers other daemons that fill the same engine before this one learns of it. average_output: average output
	// of a stream of the service.
	[[nodiscard]] token_count memory_margin(token_count average_output, bool is_late) noexcept;
}
