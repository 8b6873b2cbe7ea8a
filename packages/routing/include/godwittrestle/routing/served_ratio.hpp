#pragma once

#include <cstdint>
#include <map>

namespace godwittrestle::routing
{
	// How often the requests of each priority are served, by the recent ones. Tells which priority starves behind the
	// higher ones.
	class served_ratio
	{
	  public:
		// Records the end of a request's wait.
		void note_end(std::uint32_t priority, bool is_served);

		// Returns whether requests of the priority are served less than half as often as all are.
		[[nodiscard]] bool is_starved(std::uint32_t priority) const;

	  private:
		struct counts
		{
			double ended = 0;
			double served = 0;
		};

		counts all;
		std::map<std::uint32_t, counts> by_priority;
	};
}
