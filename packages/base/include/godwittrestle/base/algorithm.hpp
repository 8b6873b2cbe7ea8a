#pragma once

#include <algorithm>
#include <ranges>

namespace godwittrestle
{
	// Returns whether a range contains an element equal to the value. Replaces std::ranges::contains of C++23.
	template <std::ranges::input_range Range, typename T>
	[[nodiscard]] constexpr bool contains(Range&& range, T const& value)
	{
		return std::ranges::find(range, value) != std::ranges::end(range);
	}
}
