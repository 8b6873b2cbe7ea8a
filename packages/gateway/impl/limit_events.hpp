#pragma once

#include <vector>

#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/routing.hpp>

namespace godwittrestle::gateway
{
	// Returns the event for a limit that began, changed or ended. before: the rate until now.
	[[nodiscard]] decide::record_event make_limit_changed_event(
		routing::server_record const& server, std::optional<routing::request_rate> before);

	// Returns the event for a statement of a limit that could not be used as it is.
	[[nodiscard]] decide::record_event make_limit_unreadable_event(
		routing::server_record const& server, std::string reason, std::optional<routing::request_rate> used);

	// Returns the fields that explain why a limit kept a request from a server: the limit, its age, the daemon that
	// heard it, the part of it that is handed out, and the last answer without a permit.
	[[nodiscard]] std::vector<decide::event_field> limit_fields(routing::server_record const& server, time_point now);
}
