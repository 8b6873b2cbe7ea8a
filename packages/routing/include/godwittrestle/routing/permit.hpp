#pragma once

#include <string_view>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// The decision on a request for a permit, which allows one request to a backend server that states a limit.
	enum class permit_outcome
	{
		granted,
		// All permits that the limit allows up to now have been used.
		limit_reached,
		// Another daemon issues the permits for this server.
		not_issuer,
		// The fleet has just changed, and the daemon that issued the permits before may still do so.
		fleet_changed,
		// The daemon that issues the permits has not answered in time.
		no_answer,
	};

	[[nodiscard]] std::string_view to_string(permit_outcome outcome) noexcept;

	// The answer to a request for a permit.
	struct permit_answer
	{
		permit_outcome outcome = permit_outcome::no_answer;
		// When no permit was granted: how long to wait before the next request for one.
		duration retry_after{};
		// Part of the server's limit that is handed out at present, from 0 to 1.
		double share = 1;
	};
}
