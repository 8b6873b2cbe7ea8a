#include <godwittrestle/routing/configuration.hpp>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>
#include <utility>

#include <boost/algorithm/string/case_conv.hpp>

namespace godwittrestle::routing
{
	std::string_view to_string(call_kind kind) noexcept
	{
		switch (kind)
		{
			case call_kind::idempotent:
				return "idempotent";
			case call_kind::non_idempotent:
				return "non_idempotent";
			case call_kind::streaming:
				return "streaming";
		}
		return "unknown";
	}

	route_table::route_table(configuration given)
		: config(std::move(given))
		, client_accounts(this->config.accounts ? account_table(std::move(*this->config.accounts)) : account_table())
	{
		this->config.accounts.reset();
		for (std::size_t position = 0; position < this->config.routes.size(); ++position)
		{
			auto const host = boost::algorithm::to_lower_copy(this->config.routes[position].host);
			this->by_host[host].push_back(position);
		}
		auto const longer = [this](std::size_t left, std::size_t right)
		{
			return this->config.routes[left].prefix.size() > this->config.routes[right].prefix.size();
		};
		for (auto& [host, positions] : this->by_host)
		{
			std::ranges::stable_sort(positions, longer);
		}
		this->services_with_priorities = this->find_services_with_priorities();
	}

	std::set<service_id> route_table::find_services_with_priorities() const
	{
		std::set<std::uint32_t> of_accounts;
		auto are_all_set = true;
		for (auto const& each : this->client_accounts.all())
		{
			are_all_set = are_all_set && each.priority.has_value();
			if (each.priority)
			{
				of_accounts.insert(*each.priority);
			}
		}
		auto const needs_account = this->client_accounts.is_in_force();
		std::map<service_id, std::set<std::uint32_t>> reaching;
		for (auto const& each : this->config.routes)
		{
			auto const counts_own = !needs_account || each.is_key_optional || !are_all_set;
			for (auto const& target : each.targets)
			{
				auto& priorities = reaching[target.service];
				priorities.insert(of_accounts.begin(), of_accounts.end());
				if (counts_own)
				{
					priorities.insert(each.priority);
				}
			}
		}
		std::erase_if(reaching, [](auto const& each) { return each.second.size() < 2; });
		auto const found = reaching | std::views::keys;
		return {found.begin(), found.end()};
	}

	route const* route_table::find(std::string_view host, std::string_view path) const
	{
		auto const known = this->by_host.find(boost::algorithm::to_lower_copy(std::string(host)));
		if (known == this->by_host.end())
		{
			return nullptr;
		}
		auto const found = std::ranges::find_if(known->second,
			[&](std::size_t position) { return path.starts_with(this->config.routes[position].prefix); });
		return found == known->second.end() ? nullptr : &this->config.routes[*found];
	}

	service const* route_table::find_service(service_id const& id) const
	{
		auto const found = this->config.services.find(id);
		return found == this->config.services.end() ? nullptr : &found->second;
	}

	duration route_table::longest_stream() const
	{
		duration longest{};
		for (auto const& each : this->config.routes)
		{
			longest = each.kind == call_kind::streaming ? std::max(longest, each.timeout) : longest;
		}
		return longest;
	}

	std::set<service_id> route_table::services_of_split_streams() const
	{
		std::set<service_id> services;
		auto const is_split_stream = [](route const& each)
		{
			return each.kind == call_kind::streaming && each.targets.size() > 1;
		};
		for (auto const& each : this->config.routes | std::views::filter(is_split_stream))
		{
			std::ranges::transform(each.targets, std::inserter(services, services.end()), &weighted_service::service);
		}
		return services;
	}

	bool route_table::streams_to(service_id const& service) const
	{
		return std::ranges::any_of(this->config.routes,
			[&](route const& each)
			{
				auto const found = std::ranges::find(each.targets, service, &weighted_service::service);
				return each.kind == call_kind::streaming && found != each.targets.end();
			});
	}

	service_id const& choose_service(route const& chosen, double draw)
	{
		auto const add = [](std::uint64_t sum, weighted_service const& each)
		{
			return sum + each.weight;
		};
		auto const total = std::accumulate(chosen.targets.begin(), chosen.targets.end(), std::uint64_t{0}, add);
		auto left = draw * static_cast<double>(total);
		auto const found = std::ranges::find_if(chosen.targets,
			[&](weighted_service const& each)
			{
				left -= each.weight;
				return left < 0;
			});
		return found == chosen.targets.end() ? chosen.targets.back().service : found->service;
	}
}
