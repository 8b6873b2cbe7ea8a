#pragma once

#include <cstdint>

#include <godwittrestle/gateway/protocols.hpp>

namespace godwittrestle::testing
{
	// A protocol with names of its own: the gateway knows none.
	[[nodiscard]] gateway::call_protocol make_plain_protocol();

	// A route of the host a.example and the prefix /x/ to the service "s".
	[[nodiscard]] routing::route make_route(routing::call_kind kind, std::uint32_t max_servers, bool resumable);
}
