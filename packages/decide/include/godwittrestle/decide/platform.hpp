#pragma once

#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::decide
{
	// A daemon as the platform lists it.
	struct listed_daemon
	{
		instance_id id;
		data_centre_id data_centre;
		// Where the daemon accepts peer messages: "address:port".
		std::string peer_address;
		bool leaving = false;
	};

	// A backend server as the platform lists it.
	struct listed_server
	{
		server_id id;
		data_centre_id data_centre;
		pool_id pool;
		// Where the server accepts calls: "address:port".
		std::string address;
		incarnation started;
		bool leaving = false;
	};

	// The platform's list of live and leaving instances. It lags behind the actual state.
	struct instance_list
	{
		platform_version version;
		std::vector<listed_daemon> daemons;
		std::vector<listed_server> servers;
	};

	// A request for which an engine holds memory.
	struct held_request
	{
		// The id that the engine received with the call: "request#attempt" (see attempt_id).
		std::string attempt;
	};

	// The latest load report of an engine. It lags by the polling interval and the engine's own delay.
	struct load_report
	{
		std::vector<held_request> held;
		std::string model;
		// "prefill" or "decode".
		std::string role;
		// The highest fencing number that the engine has accepted.
		platform_version fence;
		bool leaving = false;
		// Sequence number of the engine's newest cache event, and the chained prefix hashes added and removed since the
		// event that the poll asked for. A gap means that all earlier knowledge of the engine's cache is invalid.
		std::uint64_t cache_sequence = 0;
		bool cache_gap = false;
		std::vector<std::uint64_t> cache_added;
		std::vector<std::uint64_t> cache_removed;
	};
}
