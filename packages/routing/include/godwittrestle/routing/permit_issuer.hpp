#pragma once

#include <map>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/fleet.hpp>
#include <godwittrestle/routing/issuer_election.hpp>
#include <godwittrestle/routing/permit.hpp>
#include <godwittrestle/routing/request_rate.hpp>

namespace godwittrestle::routing
{
	// Issues permits to send one request to a backend server that states a limit. The limit holds for all daemons
	// together, and no daemon sees the requests of the others, so one daemon for each server counts them all; see
	// issuer_election. Any daemon can take over, since nothing but the rate of the last moments is kept. A daemon that
	// becomes the issuer waits until all others have heard of the change.
	class permit_issuer
	{
	  public:
		using rank_function = issuer_election::rank_function;

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
		struct bucket
		{
			double permits = 0;
			time_point filled_at;
			// Time that the last refused daemon was told to wait for.
			time_point next_request_at;
		};

		[[nodiscard]] static permit_answer take(bucket& available, double rate, double share, time_point now);

		issuer_election election;
		std::map<server_id, bucket> buckets;
	};
}
