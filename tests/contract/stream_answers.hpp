#pragma once

#include <chrono>
#include <string>

#include <fmt/format.h>

#include <godwittrestle/routing.hpp>

#include "test_protocol.hpp"

namespace godwittrestle::testing
{
	// Events that long streams of streaming_server are asked for.
	inline constexpr int events_asked = 60;
	// Time within which a daemon has applied what was published or read a server's report.
	inline constexpr std::chrono::milliseconds settle_time{250};
	// Time within which daemons have found each other and told each other what they know.
	inline constexpr std::chrono::milliseconds meeting_time{1500};

	// Returns the route of streams that may be resumed.
	[[nodiscard]] inline routing::route make_long_route(duration timeout = seconds(14))
	{
		auto route = make_route(routing::call_kind::streaming, 3, true);
		route.timeout = timeout;
		return route;
	}

	// Returns whether a stream holds an event of a server of this software version.
	[[nodiscard]] inline bool holds(std::string const& answer, std::string const& version)
	{
		return answer.find("data: " + version + "\n") != std::string::npos;
	}

	// Returns whether a stream holds its last event.
	[[nodiscard]] inline bool is_complete(std::string const& answer, int events = events_asked)
	{
		return answer.find(fmt::format("id: {}\n", events)) != std::string::npos;
	}
}
