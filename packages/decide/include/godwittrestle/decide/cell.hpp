#pragma once

#include <set>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/decide/configuration.hpp>
#include <godwittrestle/decide/platform.hpp>

namespace godwittrestle::decide
{
	// Engines of one pair of pools in one region whose turns, slots and links one daemon hands out.
	struct cell
	{
		cell_id id;
		std::string region;
		std::string prefill_pool;
		std::string decode_pool;
		std::set<data_centre_id> data_centres;
		std::vector<server_id> prefill;
		std::vector<server_id> decode;
	};

	// Derives the cells from the policy and the instance list alone, so that daemons which know the same of both come
	// to the same cells. No cell has more than max_engines engines, as long as each has one of either kind.
	[[nodiscard]] std::vector<cell> derive_cells(
		active_policy const& policy, instance_list const& list, std::size_t max_engines);
}
