#include <godwittrestle/routing/engine_rank.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	engine_rank rank_for_engine(std::uint32_t priority, bool has_begun) noexcept
	{
		return has_begun ? engine_rank{} : engine_rank(std::min(priority, last_engine_rank.count() - 1) + 1);
	}
}
