#pragma once

#include <cstdint>
#include <utility>

#include <godwittrestle/routing/connection_holder.hpp>

#include "routing_support.hpp"

namespace godwittrestle::testing
{
	inline software_version const old_version("v1");
	inline software_version const new_version("v2");

	// Returns the entry of a server, "d1". started: its start.
	[[nodiscard]] inline routing::registered_server make_entry(
		std::uint64_t started, software_version version, routing::server_role role = routing::server_role::decode)
	{
		auto entry = make_server("d1", role);
		entry.started = incarnation(started);
		entry.version = std::move(version);
		return entry;
	}
}
