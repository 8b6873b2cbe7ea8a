#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/message.hpp>

namespace godwittrestle::http
{
	namespace asio = boost::asio;

	// What one connection may cost.
	struct server_limits
	{
		std::size_t header_bytes = 16'384;
		std::size_t body_bytes = 8'388'608;
		std::size_t connections = 4096;
		// Time for a request's header to arrive, once its first byte has.
		duration header_timeout = seconds(10);
		// Time for a whole request to arrive, once its header has.
		duration read_timeout = seconds(10);
		// Time that a connection may stay open between requests.
		duration idle_timeout = seconds(30);
		// Time for a piece of an answer to be taken by the peer.
		duration write_timeout = seconds(10);
		// Time without any sign of the peer after which its connection is taken for dead.
		duration silence_timeout = seconds(3);
	};

	// One request's way back to its sender. Lives as long as its handler runs.
	class exchange
	{
	  public:
		exchange() = default;
		exchange(exchange const&) = delete;
		exchange& operator=(exchange const&) = delete;
		exchange(exchange&&) = delete;
		exchange& operator=(exchange&&) = delete;
		virtual ~exchange() = default;

		// Sends a whole answer. Returns false when the connection is gone.
		[[nodiscard]] virtual asio::awaitable<bool> reply(response answer) = 0;

		// Sends the head of an answer whose body follows in pieces. A handler that returns before end_stream breaks the
		// connection off, so that the answer can't be taken for whole.
		[[nodiscard]] virtual asio::awaitable<bool> begin_stream(response head) = 0;
		[[nodiscard]] virtual asio::awaitable<bool> write(std::string piece) = 0;
		[[nodiscard]] virtual asio::awaitable<bool> end_stream() = 0;

		// Calls back once, on the server's executor, when the peer closes its connection or falls silent while the
		// handler runs.
		virtual void on_close(std::function<void()> callback) = 0;
	};

	using handler = std::function<asio::awaitable<void>(request, exchange&)>;

	// An HTTP/1.1 server that answers each request by a coroutine. Requests that are too large, malformed or too slow
	// get a typed 4xx or a closed connection.
	//
	//     http::server server(context.get_executor(), {"127.0.0.1", 7000}, {}, handle);
	//     server.start();
	class server
	{
	  public:
		// Binds to the address; throws boost::system::system_error when that fails.
		server(asio::any_io_executor executor, endpoint const& where, server_limits const& limits, handler handle);
		~server();

		server(server const&) = delete;
		server& operator=(server const&) = delete;
		server(server&&) = delete;
		server& operator=(server&&) = delete;

		void start();

		// Takes new limits for the requests that follow.
		void set_limits(server_limits const& limits);

		// Goes on serving, and asks each peer with its next answer to close the connection.
		void drain();

		// Stops listening and closes the connections that carry no request.
		void stop();

		[[nodiscard]] unsigned short port() const;
		[[nodiscard]] std::size_t connections() const noexcept;

	  private:
		class implementation;
		std::shared_ptr<implementation> impl;
	};

	// Returns a JSON error answer: {"error": {"type", "message", "remedy"}}, with Retry-After when it is not zero.
	[[nodiscard]] response make_error(unsigned status, std::string_view type, std::string_view message,
		std::string_view remedy, duration retry_after = {});
}
