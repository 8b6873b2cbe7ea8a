#pragma once

#include <chrono>
#include <cstdint>

#include <godwittrestle/base/strong_type.hpp>

namespace godwittrestle
{
	using token_count = strong_count<struct token_count_tag, std::uint32_t>;
	using byte_count = strong_count<struct byte_count_tag, std::uint64_t>;

	// Spans and points of time in the deterministic core. The epoch is the process's own: points of different
	// processes can't be compared.
	using duration = std::chrono::microseconds;

	// The monotonic clock that points of time belong to; it has no now(), since the present time is an argument.
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

	// Returns a span as floating-point milliseconds, for reports.
	[[nodiscard]] constexpr double to_milliseconds(duration span) noexcept
	{
		return static_cast<double>(span.count()) / 1000.0;
	}

	// Returns a span of so many milliseconds; the count may have a fraction.
	[[nodiscard]] constexpr duration from_milliseconds(double count) noexcept
	{
		return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(count));
	}

	// Returns a span of so many seconds; the count may have a fraction.
	[[nodiscard]] constexpr duration from_seconds(double count) noexcept
	{
		return std::chrono::duration_cast<duration>(std::chrono::duration<double>(count));
	}
}
