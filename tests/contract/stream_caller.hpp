#pragma once

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <godwittrestle/http/message.hpp>

namespace godwittrestle::testing
{
	struct caller_answer
	{
		unsigned status = 0;
		std::string body;
		// Whether it has arrived to its end, by its chunks or its length.
		bool is_whole = false;
		// Bytes that it takes on the connection.
		std::size_t size = 0;
	};

	// Reads an answer as far as it has arrived.
	[[nodiscard]] caller_answer read_answer_text(std::string const& text);

	// A connection on which a caller asks for streams and reads them as they arrive.
	class stream_caller
	{
	  public:
		explicit stream_caller(http::endpoint const& daemon);

		// headers: further ones, each with its CRLF. version: of HTTP.
		void ask(std::string const& attempt, std::string const& headers, std::string const& version = "1.1");

		// Takes a stream up behind an event.
		void resume(std::string const& attempt, std::string const& resumed, std::string const& last,
			std::string const& headers = "");

		// Reads until an event has begun to arrive, or to the end.
		void read_to(int event);

		// Reads one answer to its end, or to the connection's.
		[[nodiscard]] caller_answer read();

		// Closes the connection, or resets it. Returns what has been read.
		[[nodiscard]] caller_answer leave(bool is_reset);

		void close_sending_side();

		// Returns what has arrived behind the answers that were read.
		[[nodiscard]] std::string const& rest() const noexcept
		{
			return this->received;
		}

	  private:
		boost::asio::io_context loop;
		boost::asio::ip::tcp::socket socket;
		std::string received;
	};
}
