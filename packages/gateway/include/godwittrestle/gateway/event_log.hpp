#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <godwittrestle/daemon/wall_clock.hpp>
#include <godwittrestle/decide/action.hpp>

namespace godwittrestle::gateway
{
	// Takes one line for the log; never waits.
	using event_log = std::function<void(decide::record_event)>;

	// Returns a line of the present time of day. request: empty for lines that concern none.
	[[nodiscard]] inline decide::record_event make_line(
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
