#pragma once

#include <cstdint>

#include <godwittrestle/gateway/protocols.hpp>

namespace godwittrestle::testing
{
	// Returns a call protocol with header names that only the tests use. The gateway itself has no built-in names.
	[[nodiscard]] gateway::call_protocol make_test_protocol();

	// Returns a route from the host a.example and the path prefix /x/ to the service "s".
	[[nodiscard]] routing::route make_route(routing::call_kind kind, std::uint32_t max_servers, bool resumable);
}
