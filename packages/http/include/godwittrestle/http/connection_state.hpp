#pragma once

#include <cstdint>

#include <boost/asio/ip/tcp.hpp>

namespace godwittrestle::http
{
	// Whether a connection is open and has received bytes.
	enum class connection_state : std::uint8_t
	{
		// Open, with no received bytes to read.
		no_data,
		// Received bytes can be read.
		readable,
		// The peer has closed its side, the connection is broken, or the socket is not open.
		closed,
	};

	// Returns the state of a connection without removing received bytes. Never waits for the peer, because the calling
	// thread serves other connections too. Leaves the socket in non-blocking mode.
	[[nodiscard]] connection_state peek_state(boost::asio::ip::tcp::socket& socket);
}
