#pragma once

#include <set>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/decide/configuration.hpp>
#include <godwittrestle/decide/platform.hpp>

namespace godwittrestle::decide
{
	// Engines of one pair of prefill and decode pools in one region. One daemon, the owner of the cell, schedules their
	// prefills, decode slots and KV cache transfers.
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

	// Derives the cells from the policy and the instance list alone, so that daemons with the same policy and list
	// derive the same cells. A cell has at most max_engines engines, or one more through rounding. It has more if one
	// of its pools has too few engines for that number of cells, because each cell needs an engine of each pool.
	[[nodiscard]] std::vector<cell> derive_cells(
		active_policy const& policy, instance_list const& list, std::size_t max_engines);
}
