#pragma once

#include <functional>

#include <godwittrestle/decide/action.hpp>

namespace godwittrestle::gateway
{
	// Takes one line for the log; never waits.
	using event_log = std::function<void(decide::record_event)>;
}
