#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <godwittrestle/base/ids.hpp>

namespace godwittrestle::decide
{
	// Who accepted a request, as its id tells.
	struct request_origin
	{
		instance_id instance;
		incarnation started;
	};

	// Returns an id that is unique over all daemons and restarts.
	[[nodiscard]] request_id make_request_id(instance_id const& instance, incarnation started, std::uint64_t sequence);

	// Returns who accepted a request; nothing when the text is no id of this system.
	[[nodiscard]] std::optional<request_origin> origin_of(std::string_view request);

	// Returns the id that engines know one attempt of a request by: "request#attempt".
	[[nodiscard]] std::string attempt_id(request_id const& request, std::uint32_t attempt);

	// Returns the request that an attempt belongs to.
	[[nodiscard]] request_id request_of(std::string_view attempt);
}
