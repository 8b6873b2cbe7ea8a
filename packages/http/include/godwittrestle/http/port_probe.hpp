#pragma once

#include <cstdint>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/message.hpp>

namespace godwittrestle::http
{
	// What an attempt to connect to a port shows about the process there.
	enum class port_state : std::uint8_t
	{
		// A process accepts connections.
		open,
		// The host is up and no process listens.
		refused,
		// No answer within the timeout, or another error.
		unknown,
	};

	[[nodiscard]] std::string_view to_string(port_state state) noexcept;

	// Connects to a port, closes the connection and returns what that showed.
	[[nodiscard]] boost::asio::awaitable<port_state> probe_port(
		boost::asio::any_io_executor executor, endpoint where, duration timeout);
}
