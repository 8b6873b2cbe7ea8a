#include <godwittrestle/routing/load_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace godwittrestle::routing
{
	namespace
	{
		// Two choices are already far more even than one.
		constexpr std::size_t min_choices = 2;

		double in_call_times(duration age, duration call_time) noexcept
		{
			auto const shown = static_cast<double>(std::max(age, duration{}).count());
			return call_time > duration{} ? shown / static_cast<double>(call_time.count()) : 0;
		}
	}

	double remaining_fraction(duration age, duration call_time) noexcept
	{
		return std::exp(-in_call_times(age, call_time));
	}

	double started_since(double running, duration age, duration call_time) noexcept
	{
		return running * in_call_times(age, call_time);
	}

	std::size_t choice_count(std::size_t servers, double started) noexcept
	{
		auto const all = static_cast<double>(servers);
		auto const wanted = static_cast<std::size_t>(std::ceil(all / std::max(1.0, started)));
		return std::min(servers, std::max(min_choices, wanted));
	}
}
