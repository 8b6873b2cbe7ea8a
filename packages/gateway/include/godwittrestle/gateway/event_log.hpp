#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <godwittrestle/daemon/wall_clock.hpp>
#include <godwittrestle/decide/action.hpp>

namespace godwittrestle::gateway
{
	// Receives one event for the log. Must not block.
	using event_log = std::function<void(decide::record_event)>;

	// Returns an event with the present wall-clock time. request: empty for events that belong to no request.
	[[nodiscard]] inline decide::record_event make_event(
		std::string name, std::vector<decide::event_field> fields, request_id request = {})
	{
		decide::record_event line;
		line.timestamp = daemon::wall_clock_us();
		line.name = std::move(name);
		line.request = std::move(request);
		line.fields = std::move(fields);
		return line;
	}
}
