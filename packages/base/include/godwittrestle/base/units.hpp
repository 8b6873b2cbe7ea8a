#pragma once

#include <chrono>
#include <cstdint>

#include <godwittrestle/base/strong_type.hpp>

namespace godwittrestle
{
	using token_count = strong_count<struct token_count_tag, std::uint32_t>;
	using byte_count = strong_count<struct byte_count_tag, std::uint64_t>;

	// A duration in the deterministic core; the resolution is one microsecond.
	using duration = std::chrono::microseconds;

	// The monotonic clock of time_point. Its epoch is specific to the process, so that time points of different
	// processes can't be compared. It has no now(): the deterministic core gets the current time as an argument.
	struct core_clock
	{
		using duration = std::chrono::microseconds;
		using rep = duration::rep;
		using period = duration::period;
		using time_point = std::chrono::time_point<core_clock>;
		static constexpr bool is_steady = true;
	};

	using time_point = core_clock::time_point;

	using std::chrono::microseconds;
	using std::chrono::milliseconds;
	using std::chrono::seconds;

	// Returns a duration as floating-point milliseconds, for reports.
	[[nodiscard]] constexpr double to_milliseconds(duration value) noexcept
	{
		return static_cast<double>(value.count()) / 1000.0;
	}

	// Returns a duration of this many milliseconds, rounded towards zero to whole microseconds.
	[[nodiscard]] constexpr duration from_milliseconds(double count) noexcept
	{
		return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(count));
	}

	// Returns a duration of this many seconds, rounded towards zero to whole microseconds.
	[[nodiscard]] constexpr duration from_seconds(double count) noexcept
	{
		return std::chrono::duration_cast<duration>(std::chrono::duration<double>(count));
	}
}
