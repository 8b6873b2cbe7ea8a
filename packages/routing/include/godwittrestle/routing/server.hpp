#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// What a backend server does.
	enum class server_role
	{
		plain,
		prefill,
		decode,
	};

	[[nodiscard]] std::string_view to_string(server_role role) noexcept;

	// A backend server as it registered itself. A new start mostly brings a new id; one that keeps its id has a new
	// incarnation.
	struct registered_server
	{
		server_id id;
		service_id service;
		data_centre_id data_centre;
		// "IP:port". After the server has ended, another service's server may get it.
		std::string address;
		server_role role = server_role::plain;
		// Requests that it serves at once.
		std::uint32_t slots = 1;
		// When it started, in milliseconds since 1970; 0 when it does not say.
		incarnation started;
		// It has announced that it leaves, and wants no new work.
		bool leaving = false;
		// Time for which it stays slow after its start.
		duration warm_up{};

		[[nodiscard]] bool operator==(registered_server const&) const = default;
	};

	// Engines of one service by what they do.
	struct pool_sizes
	{
		std::uint32_t prefill = 0;
		std::uint32_t decode = 0;

		[[nodiscard]] bool operator==(pool_sizes const&) const = default;
	};
}
