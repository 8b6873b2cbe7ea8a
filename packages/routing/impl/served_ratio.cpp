#include <godwittrestle/routing/served_ratio.hpp>

#include <ranges>

namespace godwittrestle::routing
{
	namespace
	{
		// All counts are halved when this many requests have ended, so that recent ones count most.
		constexpr double counted_requests = 256;
		// Nothing is said of a priority with fewer requests.
		constexpr double min_requests = 4;
		constexpr double min_relative_ratio = 0.5;
	}

	void served_ratio::note_end(std::uint32_t priority, bool is_served)
	{
		for (auto* const each : {&this->all, &this->by_priority[priority]})
		{
			each->ended += 1;
			each->served += is_served ? 1 : 0;
		}
		if (this->all.ended < counted_requests)
		{
			return;
		}
		auto const halve = [](counts& each)
		{
			each = {each.ended / 2, each.served / 2};
		};
		halve(this->all);
		for (auto& each : this->by_priority | std::views::values)
		{
			halve(each);
		}
	}

	bool served_ratio::is_starved(std::uint32_t priority) const
	{
		auto const known = this->by_priority.find(priority);
		if (known == this->by_priority.end() || known->second.ended < min_requests)
		{
			return false;
		}
		auto const& own = known->second;
		return own.served / own.ended < min_relative_ratio * this->all.served / this->all.ended;
	}
}
