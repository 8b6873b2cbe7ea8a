#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <godwittrestle/base/ids.hpp>

namespace godwittrestle::decide
{
	// The daemon that accepted a request, as the request's id states.
	struct request_origin
	{
		instance_id instance;
		incarnation started;
	};

	// Returns an id that is unique across all daemons and restarts.
	[[nodiscard]] request_id make_request_id(instance_id const& instance, incarnation started, std::uint64_t sequence);

	// Returns the daemon that accepted a request, or nothing if the text does not have the form of a request id.
	[[nodiscard]] std::optional<request_origin> origin_of(std::string_view request);

	// Returns the id under which engines know one attempt of a request: "request#attempt".
	[[nodiscard]] std::string attempt_id(request_id const& request, std::uint32_t attempt);

	// Returns the request that an attempt belongs to.
	[[nodiscard]] request_id request_of(std::string_view attempt);
}
