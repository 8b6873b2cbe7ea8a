#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <godwittrestle/decide/status.hpp>

namespace godwittrestle::daemon
{
	// Metrics of the daemon's threads and rings. The core has no access to them.
	struct process_metrics
	{
		std::size_t core_ring_depth = 0;
		std::size_t caller_ring_depth = 0;
		std::size_t backend_ring_depth = 0;
		std::size_t peer_ring_depth = 0;
		std::uint64_t dropped_events = 0;
		bool platform_answers = false;
	};

	// Returns all metrics in the text format of Prometheus.
	[[nodiscard]] std::string render_metrics(decide::core_status const& status, process_metrics const& process);
}
