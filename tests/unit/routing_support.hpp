#pragma once

#include <string>

#include <godwittrestle/routing.hpp>

namespace godwittrestle::testing
{
	// Returns the time that is this many milliseconds after an arbitrary start.
	[[nodiscard]] inline time_point at_ms(std::int64_t count)
	{
		return time_point(seconds(1000)) + milliseconds(count);
	}

	[[nodiscard]] inline routing::registered_server make_server(
		std::string id, routing::server_role role, std::string service = "summaries", std::string data_centre = "north")
	{
		routing::registered_server server;
		server.id = server_id(std::move(id));
		server.service = service_id(std::move(service));
		server.data_centre = data_centre_id(std::move(data_centre));
		server.address = "10.0.0.1:80";
		server.role = role;
		server.slots = 6;
		server.started = incarnation(1);
		return server;
	}

	// Returns the speed of engines that prefill 55 tokens per millisecond.
	[[nodiscard]] inline routing::engine_speed make_speed()
	{
		return {55, {}, milliseconds(4)};
	}

	// Returns a draw function that always returns the same number.
	[[nodiscard]] inline routing::random_draw constant_draw(double value = 0.5)
	{
		return [value]
		{
			return value;
		};
	}
}
