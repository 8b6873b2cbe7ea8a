#pragma once

#include <chrono>
#include <cstdint>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::daemon
{
	// Returns the time of day in microseconds since 1970, for log lines and
	// incarnations only: it may jump.
	[[nodiscard]] inline std::uint64_t wall_clock_us()
	{
		auto const reading = std::chrono::system_clock::now().time_since_epoch();
		return static_cast<std::uint64_t>(std::chrono::duration_cast<duration>(reading).count());
	}
}
