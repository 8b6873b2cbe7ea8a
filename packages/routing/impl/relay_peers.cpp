#include <godwittrestle/routing/relay_peers.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace godwittrestle::routing
{
	namespace
	{
		// What a daemon has said of its reach counts for this long. Some daemons of a large fleet are heard of at
		// longer intervals; others are chosen then.
		constexpr duration max_age = seconds(3);
	}

	void relay_peers::note(relay_peer peer)
	{
		this->peers.insert_or_assign(peer.id, std::move(peer));
	}

	bool relay_peers::is_usable(relay_peer const& peer, std::vector<fleet_member> const& live, time_point now)
	{
		auto const is_fresh = now - peer.heard_at <= max_age;
		return is_fresh && !peer.is_cut_off && !peer.caller_address.empty() &&
			   std::ranges::any_of(live,
				   [&](fleet_member const& member) { return member.id == peer.id && member.started == peer.started; });
	}

	bool relay_peers::has_usable(std::vector<fleet_member> const& live, time_point now) const
	{
		return std::ranges::any_of(
			this->peers | std::views::values, [&](relay_peer const& each) { return is_usable(each, live, now); });
	}

	std::optional<relay_peer> relay_peers::choose(std::vector<fleet_member> const& live,
		std::set<instance_id> const& tried, std::function<double()> const& draw, time_point now) const
	{
		std::vector<relay_peer> usable;
		std::ranges::copy_if(this->peers | std::views::values, std::back_inserter(usable),
			[&](relay_peer const& each) { return !tried.contains(each.id) && is_usable(each, live, now); });
		if (usable.empty())
		{
			return std::nullopt;
		}
		auto const position = static_cast<std::size_t>(draw() * static_cast<double>(usable.size()));
		return usable[std::min(position, usable.size() - 1)];
	}

	void relay_peers::expire(time_point now)
	{
		std::erase_if(this->peers, [&](auto const& item) { return now - item.second.heard_at > max_age; });
	}
}
