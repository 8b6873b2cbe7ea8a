#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <ranges>
#include <utility>
#include <vector>

namespace godwittrestle
{
	// Returns whether a range contains an element equal to the value. Replaces std::ranges::contains of C++23.
	template <std::ranges::input_range Range, typename T>
	[[nodiscard]] constexpr bool contains(Range&& range, T const& value)
	{
		return std::ranges::find(range, value) != std::ranges::end(range);
	}

	// Returns max_count items drawn at random, or all items when there are no more. draw: returns a uniform random
	// number in [0, 1).
	template <typename T>
	[[nodiscard]] std::vector<T> random_sample(
		std::vector<T> items, std::size_t max_count, std::function<double()> const& draw)
	{
		auto const wanted = std::min(max_count, items.size());
		for (std::size_t chosen = 0; chosen < wanted; ++chosen)
		{
			auto const left = static_cast<double>(items.size() - chosen);
			std::swap(items[chosen], items[chosen + static_cast<std::size_t>(draw() * left)]);
		}
		items.resize(wanted);
		return items;
	}
}
