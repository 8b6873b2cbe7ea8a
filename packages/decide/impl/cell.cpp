#include <godwittrestle/decide/cell.hpp>

#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>

namespace godwittrestle::decide
{
	namespace
	{
		using server_list = std::vector<listed_server const*>;

		// Returns the servers of a pool by region, sorted by data centre, so that the servers of a cell are in few data
		// centres.
		std::map<std::string, server_list> servers_by_region(
			active_policy const& policy, instance_list const& list, std::string const& pool)
		{
			std::map<std::string, server_list> regions;
			for (auto const& server : list.servers)
			{
				if (server.pool.str() == pool)
				{
					regions[policy.region_of(server.data_centre)].push_back(&server);
				}
			}
			for (auto& [region, servers] : regions)
			{
				std::ranges::sort(servers, std::less{},
					[](listed_server const* server) { return std::pair(server->data_centre, server->id); });
			}
			return regions;
		}

		// Adds the contiguous share of the servers that belongs to the cell at this position.
		void add_share(server_list const& servers, std::size_t position, std::size_t cells, cell& target,
			std::vector<server_id>& ids)
		{
			auto const first = servers.size() * position / cells;
			auto const last = servers.size() * (position + 1) / cells;
			for (auto index = first; index < last; ++index)
			{
				ids.push_back(servers[index]->id);
				target.data_centres.insert(servers[index]->data_centre);
			}
		}

		void add_cells(std::string const& region, std::pair<std::string, std::string> const& pools,
			server_list const& prefill, server_list const& decode, std::size_t max_engines, std::vector<cell>& cells)
		{
			auto const needed = (prefill.size() + decode.size() + max_engines - 1) / max_engines;
			auto const possible = std::min(prefill.size(), decode.size());
			auto const count = std::clamp<std::size_t>(needed, 1, std::max<std::size_t>(possible, 1));
			for (std::size_t position = 0; position < count; ++position)
			{
				cell next;
				next.id = cell_id(fmt::format("{}|{}|{}|{}", pools.first, pools.second, region, position));
				next.region = region;
				next.prefill_pool = pools.first;
				next.decode_pool = pools.second;
				add_share(prefill, position, count, next, next.prefill);
				add_share(decode, position, count, next, next.decode);
				cells.push_back(std::move(next));
			}
		}
	}

	std::vector<cell> derive_cells(active_policy const& policy, instance_list const& list, std::size_t max_engines)
	{
		std::set<std::pair<std::string, std::string>> pool_pairs;
		for (auto const& service : policy.document().policy().services())
		{
			if (!service.prefill_pool().empty())
			{
				pool_pairs.emplace(service.prefill_pool(), service.decode_pool());
			}
		}
		std::vector<cell> cells;
		for (auto const& pools : pool_pairs)
		{
			auto const prefill = servers_by_region(policy, list, pools.first);
			auto const decode = servers_by_region(policy, list, pools.second);
			for (auto const& [region, servers] : prefill)
			{
				if (auto const partner = decode.find(region); partner != decode.end())
				{
					add_cells(region, pools, servers, partner->second, max_engines, cells);
				}
			}
		}
		return cells;
	}
}
