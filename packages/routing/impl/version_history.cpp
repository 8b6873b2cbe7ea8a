#include <godwittrestle/routing/version_history.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace godwittrestle::routing
{
	void version_history::set_in_service(versions_by_service versions, time_point now)
	{
		for (auto const& [service, before] : this->in_service)
		{
			for (auto const& version : before)
			{
				this->note_served(service, version, now);
			}
		}
		this->in_service = std::move(versions);
		this->known_since = this->known_since.value_or(now);
	}

	void version_history::note_served(service_id const& service, software_version const& version, time_point at)
	{
		auto& last = this->last_served[service].try_emplace(version, at).first->second;
		last = std::max(last, at);
	}

	void version_history::note_complete_since(service_id const& service, time_point since)
	{
		auto& known = this->service_known_since.try_emplace(service, since).first->second;
		known = std::min(known, since);
	}

	void version_history::note_gap(time_point now)
	{
		this->known_since = now;
		this->service_known_since.clear();
	}

	std::optional<time_point> version_history::complete_since(service_id const& service) const
	{
		auto const found = this->service_known_since.find(service);
		if (found == this->service_known_since.end())
		{
			return this->known_since;
		}
		return std::min(this->known_since.value_or(found->second), found->second);
	}

	void version_history::note_complete_since(time_point since)
	{
		this->known_since = std::min(this->known_since.value_or(since), since);
	}

	std::map<software_version, time_point> version_history::served_since(
		service_id const& service, time_point since, time_point now) const
	{
		std::map<software_version, time_point> served;
		if (auto const found = this->last_served.find(service); found != this->last_served.end())
		{
			std::ranges::copy_if(found->second, std::inserter(served, served.end()),
				[&](auto const& item) { return item.second >= since; });
		}
		if (auto const found = this->in_service.find(service); found != this->in_service.end())
		{
			std::ranges::for_each(found->second, [&](software_version const& each) { served[each] = now; });
		}
		return served;
	}

	std::set<service_id> version_history::services_with_several(time_point since, time_point now) const
	{
		std::set<service_id> services;
		for (auto const& service : this->in_service | std::views::keys)
		{
			if (this->served_since(service, since, now).size() > 1)
			{
				services.insert(service);
			}
		}
		return services;
	}

	std::optional<software_version> version_history::only_version_since(
		service_id const& service, time_point since, time_point now) const
	{
		auto const served = this->served_since(service, since, now);
		auto const known = this->complete_since(service);
		auto const reaches_back = known && *known <= since;
		if (!reaches_back || served.size() != 1)
		{
			return std::nullopt;
		}
		return served.begin()->first;
	}

	void version_history::expire(time_point served_before)
	{
		for (auto& versions : this->last_served)
		{
			std::erase_if(versions.second, [&](auto const& item) { return item.second < served_before; });
		}
		std::erase_if(this->last_served, [](auto const& item) { return item.second.empty(); });
	}
}
