#include <godwittrestle/routing/fleet.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>

#include <godwittrestle/base/algorithm.hpp>

namespace godwittrestle::routing
{
	namespace
	{
		// A daemon that was not heard for this long is taken for gone.
		constexpr duration member_lifetime = milliseconds(3500);
		// Up to this many members are told each time.
		constexpr std::size_t most_targets = 12;
		constexpr duration seed_interval = seconds(1);
		// While nobody was heard yet, as after a start.
		constexpr duration first_seed_interval = milliseconds(150);
		constexpr duration shortest_interval = milliseconds(100);
		constexpr duration interval_per_member = milliseconds(10);
		constexpr duration longest_interval = milliseconds(500);
	}

	fleet::fleet(instance_id own, std::string address)
		: own_id(std::move(own))
		, own_address(std::move(address))
	{
	}

	void fleet::set_seeds(std::vector<std::string> addresses)
	{
		this->seeds = std::move(addresses);
	}

	bool fleet::hear(fleet_member const& sender)
	{
		if (sender.id == this->own_id)
		{
			return false;
		}
		auto& known = this->members[sender.id];
		if (sender.started < known.started)
		{
			return false;
		}
		known = sender;
		return true;
	}

	void fleet::suggest(fleet_member const& told, time_point now)
	{
		if (told.id == this->own_id || now - told.heard_at > member_lifetime)
		{
			return;
		}
		auto const known = this->members.find(told.id);
		if (known == this->members.end() || known->second.started < told.started)
		{
			this->members.insert_or_assign(told.id, told);
			return;
		}
		if (known->second.started == told.started)
		{
			known->second.heard_at = std::max(known->second.heard_at, told.heard_at);
		}
	}

	void fleet::forget(instance_id const& daemon)
	{
		this->members.erase(daemon);
	}

	std::vector<fleet_member> fleet::live(time_point now) const
	{
		std::vector<fleet_member> found;
		std::ranges::copy_if(this->members | std::views::values, std::back_inserter(found),
			[now](fleet_member const& each) { return now - each.heard_at <= member_lifetime; });
		return found;
	}

	std::uint32_t fleet::size(time_point now) const
	{
		return static_cast<std::uint32_t>(this->live(now).size()) + 1;
	}

	std::vector<std::string> fleet::targets(std::function<double()> const& draw, time_point now)
	{
		std::vector<std::string> addresses;
		std::ranges::transform(this->live(now), std::back_inserter(addresses), &fleet_member::address);
		for (std::size_t chosen = 0; chosen < std::min(most_targets, addresses.size()); ++chosen)
		{
			auto const left = static_cast<double>(addresses.size() - chosen);
			std::swap(addresses[chosen], addresses[chosen + static_cast<std::size_t>(draw() * left)]);
		}
		addresses.resize(std::min(most_targets, addresses.size()));
		if (now - this->seeds_told_at >= (addresses.empty() ? first_seed_interval : seed_interval))
		{
			this->seeds_told_at = now;
			std::ranges::copy_if(this->seeds, std::back_inserter(addresses),
				[&](std::string const& seed) { return seed != this->own_address && !contains(addresses, seed); });
		}
		return addresses;
	}

	duration fleet::notice_interval(time_point now) const
	{
		return std::clamp(interval_per_member * this->size(now), shortest_interval, longest_interval);
	}
}
