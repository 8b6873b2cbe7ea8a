#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/message.hpp>
#include <godwittrestle/routing/crash_evidence.hpp>
#include <godwittrestle/routing/directory.hpp>
#include <godwittrestle/routing/quota.hpp>
#include <godwittrestle/routing/retry_budget.hpp>

namespace godwittrestle::gateway
{
	// Calls a second that the registry takes from all daemons together, where the platform names no rate.
	inline constexpr double default_registry_reads = 2'000;

	// Timing of the calls to the registry.
	struct registry_timing
	{
		// How long the registry may hold a call back while nothing changes.
		duration wait = seconds(3);
		// Upper bound of the delay before the next call while changes keep coming, so that one call fetches several of
		// them.
		duration max_batching_delay = milliseconds(800);
		// Calls a second that the registry takes from all daemons together.
		double reads_per_second = default_registry_reads;
		// Time without an answer to such a call after which the registry is asked on another connection whether there
		// are changes: the connection may have gone silent.
		duration quiet = milliseconds(1100);

		[[nodiscard]] bool operator==(registry_timing const&) const = default;
	};

	// What the bodies of all callers' requests may hold together where the machine's memory is not known.
	inline constexpr std::size_t default_caller_memory = 64'000'000;

	// Callers' connections where the machine's file descriptors are not known.
	inline constexpr std::size_t default_caller_connections = 4'096;

	// Returns how many connections of callers a process with this many file descriptors takes: each may need another
	// one to a server, and some are for everything else.
	[[nodiscard]] constexpr std::size_t connections_of_machine(std::size_t descriptors) noexcept
	{
		constexpr std::size_t other_descriptors = 200;
		constexpr std::size_t fewest_connections = 16;
		auto const left = descriptors - std::min(descriptors, other_descriptors);
		return std::max(fewest_connections, left / 2);
	}

	// The gateway's settings, read at its start and whenever the settings file changes. Changed retries, seeds and
	// termination_grace are applied at once; the other settings, with all addresses, stay as they were at the start.
	struct gateway_settings
	{
		instance_id instance;
		data_centre_id data_centre;
		http::endpoint caller_address;
		http::endpoint readiness_address;
		// Address at which other daemons reach this one.
		http::endpoint peer_address;
		http::endpoint metrics_address;
		http::endpoint registry_address;
		// Peer addresses of some daemons; may include this daemon's own and those of daemons that are gone.
		std::vector<http::endpoint> seeds;
		routing::retry_budget_settings retries;
		routing::directory_settings servers;
		routing::crash_settings crashes;
		routing::limit_tolerance limits;
		registry_timing registry;
		// Whether the whole system starts for the first time, so that there are no streams from before.
		bool is_first_start = false;
		// Time between SIGTERM and SIGKILL.
		duration termination_grace = seconds(8);
		// What the bodies of all callers' requests may hold together, in bytes.
		std::size_t caller_memory = default_caller_memory;
		// Callers' connections that are open at once. Those above are closed as they come.
		std::size_t caller_connections = default_caller_connections;
		std::string log_level = "INFO";

		[[nodiscard]] bool operator==(gateway_settings const&) const = default;
	};

	// Reads the settings again.
	using settings_source = std::function<result<gateway_settings>()>;
}
