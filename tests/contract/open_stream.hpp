#pragma once

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <godwittrestle/http/message.hpp>

namespace godwittrestle::testing
{
	// A caller's stream that the test reads as it arrives.
	class open_stream
	{
	  public:
		// Asks a daemon for a stream of a streaming_server.
		open_stream(http::endpoint const& daemon, std::string const& attempt, int events);

		// Reads until the text has been received, or to the end. Returns whether it has been.
		[[nodiscard]] bool read_until(std::string const& text);

		// Reads to the end. Returns all that was received.
		[[nodiscard]] std::string const& read_rest();

	  private:
		boost::asio::io_context loop;
		boost::asio::ip::tcp::socket socket;
		std::string received;
	};
}
