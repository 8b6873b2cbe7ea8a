#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/gateway/settings.hpp>
#include <godwittrestle/routing.hpp>

namespace godwittrestle::gateway
{
	// State that all requests share. Only the thread that serves callers accesses it.
	struct shared_state
	{
		instance_id own_id;
		std::shared_ptr<routing::route_table const> routes;
		routing::directory servers;
		routing::registry_view view;
		// Calls a second that the registry takes from all daemons together.
		double registry_reads_per_second = default_registry_reads;
		std::map<service_id, routing::retry_budget> retry_budgets;
		routing::permit_issuer permits;
		// What this daemon issues of the limits of client accounts, and what it was granted itself.
		routing::quota_issuer account_issuer;
		routing::quota_holder quotas;
		routing::crash_evidence crashes;
		routing::admission_queue stream_queue;
		routing::server_reach reach;
		// Whether this daemon takes itself for cut off from all servers. Other daemons serve its requests then.
		bool is_cut_off = false;
		routing::relay_peers relays;
		// Address at which this daemon serves callers, "IP:port".
		std::string caller_address;
		// Where streams began, and which software versions were in service.
		routing::stream_origins origins;
		routing::version_history versions;
		// What engines keep of the prompts of streams that began before this daemon started.
		routing::prompt_holders holders;
		// Longest timeout of the routes that stream.
		duration longest_stream{};
		std::map<service_id, routing::service_observations> observed;
		// Whether this daemon has the smallest id of all live daemons, is not draining and can read the registry. Only
		// this daemon orders role changes.
		bool is_coordinator = false;
		// Highest fencing number that this daemon has used or has heard of from another daemon.
		std::uint64_t highest_fence = 0;
		routing::retry_budget_settings retries;
		data_centre_id data_centre;
		// Number of live daemons, including this one. The retry budget and the connection limits of the servers are
		// divided among them.
		std::uint32_t daemon_count = 1;
		// Until when this daemon may not have heard of the others.
		time_point discovery_ends_at;
		// The other daemons that are live.
		std::vector<routing::fleet_member> live_daemons;
		// Whether there ever were any.
		bool has_heard_others = false;
		// Since when all of them have been heard; see fleet::whole_since.
		std::optional<time_point> fleet_whole_since;
		// Set when this daemon starts to drain: the time at which it aborts the requests that are still running.
		std::optional<time_point> shutdown_deadline;
	};
}
