#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <godwittrestle/http/message.hpp>

namespace godwittrestle::testing
{
	// A server that reads a request and then sends fixed bytes, which do not depend on the request. It handles one
	// connection at a time and one request per connection.
	class fixed_response_server
	{
	  public:
		// What the server does with a connection after it has sent the bytes.
		enum class after_response
		{
			closes,
			// Keeps the connection open and sends nothing more.
			stays_silent,
			// Resets the connection, shortly after the bytes have been sent.
			resets,
		};

		fixed_response_server(boost::asio::io_context& loop, std::string bytes, after_response after);

		[[nodiscard]] std::string address() const;

		// Returns the received bytes, one text per connection.
		[[nodiscard]] std::vector<std::string> const& received() const noexcept
		{
			return this->requests;
		}

	  private:
		boost::asio::awaitable<void> serve();

		boost::asio::ip::tcp::acceptor acceptor;
		std::string bytes;
		after_response after;
		std::vector<std::string> requests;
	};

	// A server that answers each connection with its first bytes and then sends the repeated bytes at an interval,
	// until the peer closes the connection.
	class repeating_server
	{
	  public:
		repeating_server(boost::asio::io_context& loop, std::string first_bytes, std::string repeated_bytes,
			std::chrono::milliseconds interval);

		[[nodiscard]] std::string address() const;

	  private:
		boost::asio::awaitable<void> serve();
		boost::asio::awaitable<void> send_repeatedly(boost::asio::ip::tcp::socket socket);

		boost::asio::ip::tcp::acceptor acceptor;
		std::string first_bytes;
		std::string repeated_bytes;
		std::chrono::milliseconds interval;
	};

	// Returns a loopback address of this process's own, with a port that is free and has not been returned before.
	[[nodiscard]] http::endpoint free_endpoint();

	// Returns an address on which no process listens, so that connecting to it is refused.
	[[nodiscard]] std::string refused_address(boost::asio::io_context& loop);

	// Returns the bytes of an HTTP answer. The status has a code and a reason phrase; each header ends with CRLF.
	[[nodiscard]] std::string http_answer(
		std::string const& status, std::string const& headers, std::string const& body);

	// Returns the value of a header of a message's head, which has the name in this case; empty when there is none.
	[[nodiscard]] std::string header_value(std::string const& head, std::string const& name);

	// Returns the value of the Content-Length header; 0 when there is none.
	[[nodiscard]] std::size_t content_length(std::string const& head);

	// Runs the loop until the work has ended and returns its outcome. Throws std::bad_optional_access when the work
	// throws or has not ended after 60 s.
	template <typename T>
	[[nodiscard]] T run_to_end(boost::asio::io_context& loop, boost::asio::awaitable<T> work)
	{
		std::optional<T> outcome;
		boost::asio::co_spawn(loop, std::move(work),
			[&](std::exception_ptr const& error, T value)
			{
				if (!error)
				{
					outcome = std::move(value);
				}
				loop.stop();
			});
		loop.restart();
		loop.run_for(std::chrono::seconds(60));
		return std::move(outcome).value();
	}
}
