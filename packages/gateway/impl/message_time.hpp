#pragma once

#include <algorithm>
#include <cstdint>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::gateway
{
	// What a daemon has just learnt is told to the others for this long.
	inline constexpr duration news_time = seconds(3);

	// Returns the time since an event, in microseconds, as messages state it; 0 for an event in the future.
	[[nodiscard]] inline std::uint64_t age_of(time_point at, time_point now) noexcept
	{
		return static_cast<std::uint64_t>(std::max(duration{}, now - at).count());
	}

	// Returns a time that a message states in microseconds, at most the given one: a longer time comes from a malformed
	// message.
	[[nodiscard]] inline duration bounded_time(std::uint64_t microseconds_count, duration longest) noexcept
	{
		auto const bounded = std::min(microseconds_count, static_cast<std::uint64_t>(longest.count()));
		return duration(static_cast<duration::rep>(bounded));
	}
}
