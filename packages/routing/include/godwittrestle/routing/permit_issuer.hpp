#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/fleet.hpp>
#include <godwittrestle/routing/permit.hpp>
#include <godwittrestle/routing/request_rate.hpp>

namespace godwittrestle::routing
{
	// Issues permits to send one request to a backend server that states a limit. The limit holds for all daemons
	// together, and no daemon sees the requests of the others, so one daemon for each server counts them all: the live
	// daemon with the highest rendezvous hash of the server. Any daemon can take over, since nothing but the rate of
	// the last moments is kept.
	//
	// A daemon that becomes the issuer waits until all others have heard of the change. A daemon that is lost without
	// having announced its leaving may still send, on the other side of a cut. So its part of the limit is left unused
	// for lost_share_time; an issuer on the other side leaves the part of this side unused.
	class permit_issuer
	{
	  public:
		// Returns the rank of a member for a key; the member with the highest rank is chosen.
		using rank_function = std::function<std::uint64_t(std::string_view key, std::string_view member)>;

		permit_issuer() = default;
		permit_issuer(instance_id own, rank_function ranking);

		// Sets the other daemons that are live. Must be called at regular intervals.
		void set_daemons(std::vector<fleet_member> others, time_point now);

		// Records that a daemon, this one included, announced that it leaves. A leaving daemon issues no permits.
		void note_leaving(instance_id const& daemon);

		// Returns the daemon that issues the permits for a server; null when it is this daemon.
		[[nodiscard]] fleet_member const* issuer_of(server_id const& server) const;

		// Decides on a request for one permit. limit: the newest rate that the server is known to state.
		[[nodiscard]] permit_answer request(server_id const& server, request_rate limit, time_point now);

		// Forgets a server that has gone or states no limit any more.
		void forget(server_id const& server);

	  private:
		// A set of daemons, this one included, and the time from which this daemon has seen just these.
		struct membership
		{
			std::set<instance_id> daemons;
			time_point since;
		};

		struct bucket
		{
			double permits = 0;
			time_point filled_at;
			// Time that the last refused daemon was told to wait for.
			time_point next_request_at;
		};

		[[nodiscard]] instance_id const* highest_ranked(
			server_id const& server, std::set<instance_id> const& daemons) const;
		[[nodiscard]] duration settle_time() const noexcept;
		// Returns whether this daemon has been the issuer for a server long enough for all others to know it.
		[[nodiscard]] bool is_settled_issuer(server_id const& server, time_point now) const;
		[[nodiscard]] double share(time_point now) const;
		[[nodiscard]] permit_answer take(bucket& available, double rate, double share, time_point now) const;

		instance_id own_id;
		rank_function rank;
		std::map<instance_id, fleet_member> live;
		bool is_leaving = false;
		// The present set of daemons, and before it those that were in force during the last settle_time. Oldest first.
		std::deque<membership> history;
		// Daemons that were lost, with the time at which their part of the limits is used again.
		std::map<instance_id, time_point> lost_until;
		std::map<server_id, bucket> buckets;
	};
}
