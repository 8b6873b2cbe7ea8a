#pragma once

#include <cstdint>

#include <godwittrestle/base/strong_type.hpp>

namespace godwittrestle::routing
{
	// Place of a call among those that an engine admits and preempts; 0 goes first and is preempted last.
	using engine_rank = strong_count<struct engine_rank_tag, std::uint32_t>;

	inline constexpr engine_rank last_engine_rank{9};

	// Returns the rank of a call of a priority, of which 0 is the highest. A stream that has begun comes before all new
	// calls, since what was generated of it is lost unless it goes on soon. Priorities from 8 share the last rank.
	[[nodiscard]] engine_rank rank_for_engine(std::uint32_t priority, bool has_begun) noexcept;
}
