#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/fleet.hpp>

namespace godwittrestle::routing
{
	// What another daemon says about serving callers' requests for this one.
	struct relay_peer
	{
		instance_id id;
		incarnation started;
		// Address at which it serves callers, "IP:port".
		std::string caller_address;
		// Whether it reaches no server itself.
		bool is_cut_off = false;
		time_point heard_at;
	};

	// Chooses the daemon that serves a request while this one reaches no server. Any daemon that reaches servers will
	// do, so the choice is random, and a cut of many daemons spreads over the others. Replays a data centre that is cut
	// off.
	class relay_peers
	{
	  public:
		void note(relay_peer peer);

		// Returns a live daemon that reaches servers, chosen at random; nothing when there is none. tried: daemons that
		// have failed the request. draw: returns a uniform random number in [0, 1).
		[[nodiscard]] std::optional<relay_peer> choose(std::vector<fleet_member> const& live,
			std::set<instance_id> const& tried, std::function<double()> const& draw, time_point now) const;

		// Returns whether choose() would find a daemon.
		[[nodiscard]] bool has_usable(std::vector<fleet_member> const& live, time_point now) const;

		// Forgets daemons that have not been heard of for long.
		void expire(time_point now);

	  private:
		[[nodiscard]] static bool is_usable(
			relay_peer const& peer, std::vector<fleet_member> const& live, time_point now);

		std::map<instance_id, relay_peer> peers;
	};
}
