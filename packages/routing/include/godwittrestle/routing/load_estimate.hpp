#pragma once

#include <cstddef>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// Estimates the present load of servers from reports that are old, without asking the servers. A report says what
	// another daemon had running when it was made. Part of that has ended since, and the other daemon has started as
	// many new calls, which go to any of the servers.

	// Returns the fraction of the reported calls that are expected to still run after a time. call_time: how long a
	// call takes on average; zero when unknown, which takes all calls for running.
	[[nodiscard]] double remaining_fraction(duration age, duration call_time) noexcept;

	// Returns how many calls a daemon is expected to have started since it reported this number of running calls. Zero
	// when call_time is zero.
	[[nodiscard]] double started_since(double running, duration age, duration call_time) noexcept;

	// Returns among how many servers to choose the one with the least load by the reports. With fresh reports these are
	// all servers. When the other daemons have started many calls since their reports, all of them would choose the
	// same few servers; among fewer servers, the one that seems least loaded gets about one call from all daemons
	// before the next reports. started: calls that the other daemons have started since their reports.
	[[nodiscard]] std::size_t choice_count(std::size_t servers, double started) noexcept;
}
