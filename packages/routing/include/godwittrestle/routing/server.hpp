#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// The function of a backend server.
	enum class server_role
	{
		plain,
		prefill,
		decode,
	};

	[[nodiscard]] std::string_view to_string(server_role role) noexcept;

	// A backend server as it registered itself. A restarted server usually has a new id; one that keeps its id has a
	// new incarnation.
	struct registered_server
	{
		server_id id;
		service_id service;
		data_centre_id data_centre;
		// "IP:port". A server of another service may get the same address after this one has ended.
		std::string address;
		server_role role = server_role::plain;
		software_version version;
		// Maximum number of requests that the server runs at once.
		std::uint32_t slots = 1;
		// Start time in milliseconds since 1970; 0 when the server does not report it.
		incarnation started;
		// Set when the server announced that it is leaving and takes no new work.
		bool leaving = false;
		// Time after the start during which the server is slow.
		duration warm_up{};

		[[nodiscard]] bool operator==(registered_server const&) const = default;
	};

	// One process of a backend server. A server that starts again under its id is another process, and may have another
	// software version.
	struct server_process
	{
		server_id server;
		// As registered_server::started.
		incarnation started;

		[[nodiscard]] auto operator<=>(server_process const&) const = default;
	};

	// Returns the number of connections that each daemon may open to a server. max_connections: the most that the
	// server accepts from all daemons together; 0 when it is unknown.
	[[nodiscard]] std::size_t connection_share(std::uint32_t max_connections, std::uint32_t daemons) noexcept;

	// Number of prefill and of decode engines of one service.
	struct pool_sizes
	{
		std::uint32_t prefill = 0;
		std::uint32_t decode = 0;

		[[nodiscard]] bool operator==(pool_sizes const&) const = default;
	};
}
