#include <godwittrestle/routing/fleet.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include <godwittrestle/base/algorithm.hpp>

namespace godwittrestle::routing
{
	namespace
	{
		// A daemon that was not heard for this long is taken for gone; in a large fleet each is heard of less often.
		constexpr duration least_lifetime = milliseconds(3500);
		constexpr duration lifetime_per_member = milliseconds(20);
		// Up to this many members are named in one message.
		constexpr std::size_t most_named = 24;
		// Up to this many members are told each time.
		constexpr std::size_t most_targets = 12;
		constexpr duration seed_interval = seconds(1);
		// While nobody was heard yet, as after a start.
		constexpr duration first_seed_interval = milliseconds(150);
		constexpr duration shortest_interval = milliseconds(100);
		constexpr duration interval_per_member = milliseconds(10);
		constexpr duration longest_interval = milliseconds(500);

		// Returns some items drawn at random, all of them when there are no more than that.
		template <typename T>
		std::vector<T> draw_some(std::vector<T> items, std::size_t most, std::function<double()> const& draw)
		{
			auto const wanted = std::min(most, items.size());
			for (std::size_t chosen = 0; chosen < wanted; ++chosen)
			{
				auto const left = static_cast<double>(items.size() - chosen);
				std::swap(items[chosen], items[chosen + static_cast<std::size_t>(draw() * left)]);
			}
			items.resize(wanted);
			return items;
		}
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
		if (told.id == this->own_id || now - told.heard_at > this->lifetime())
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
			[&](fleet_member const& each) { return now - each.heard_at <= this->lifetime(); });
		return found;
	}

	duration fleet::lifetime() const noexcept
	{
		return std::max(least_lifetime, static_cast<duration::rep>(this->members.size()) * lifetime_per_member);
	}

	std::vector<fleet_member> fleet::named(std::function<double()> const& draw, time_point now) const
	{
		return draw_some(this->live(now), most_named, draw);
	}

	std::uint32_t fleet::size(time_point now) const
	{
		return static_cast<std::uint32_t>(this->live(now).size()) + 1;
	}

	std::vector<std::string> fleet::targets(std::function<double()> const& draw, time_point now)
	{
		std::vector<std::string> addresses;
		std::ranges::transform(this->live(now), std::back_inserter(addresses), &fleet_member::address);
		addresses = draw_some(std::move(addresses), most_targets, draw);
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
