#pragma once

#include <chrono>
#include <cstdint>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::daemon
{
	// Returns the wall-clock time in microseconds since 1970. Use it for timestamps and incarnations, not for
	// durations, because the clock may jump.
	[[nodiscard]] inline std::uint64_t wall_clock_us()
	{
		auto const reading = std::chrono::system_clock::now().time_since_epoch();
		return static_cast<std::uint64_t>(std::chrono::duration_cast<duration>(reading).count());
	}
}
