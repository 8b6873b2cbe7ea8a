#pragma once

#include <algorithm>
#include <cstdint>

#include <godwittrestle/base/units.hpp>

// Conversions between times and their form in messages, which is unsigned microseconds.
namespace godwittrestle::decide
{
	// Converts a duration for a message. A negative duration becomes zero.
	[[nodiscard]] constexpr std::uint64_t to_wire(duration span) noexcept
	{
		return static_cast<std::uint64_t>(std::max(span, duration{}).count());
	}

	// Converts a reading of the sender's own clock for a message.
	[[nodiscard]] constexpr std::uint64_t to_wire(time_point reading) noexcept
	{
		return to_wire(reading.time_since_epoch());
	}

	[[nodiscard]] constexpr duration duration_from_wire(std::uint64_t value) noexcept
	{
		return duration(static_cast<duration::rep>(value));
	}

	[[nodiscard]] constexpr time_point time_point_from_wire(std::uint64_t value) noexcept
	{
		return time_point(duration_from_wire(value));
	}
}
