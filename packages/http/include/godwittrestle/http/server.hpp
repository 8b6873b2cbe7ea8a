#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/message.hpp>

namespace godwittrestle::http
{
	namespace asio = boost::asio;

	// Limits of a server and of each of its connections.
	struct server_limits
	{
		// Bounds the head, and with it the trailers and the chunk extensions behind it.
		std::size_t header_bytes = 16'384;
		std::size_t body_bytes = 8'388'608;
		// Maximum number of open connections of the server. A connection above the limit is closed at once.
		std::size_t connections = 4096;
		// Time for the header of a request to arrive, from its first byte.
		duration header_timeout = seconds(10);
		// Time for the body of a request to arrive, from the end of the header.
		duration read_timeout = seconds(10);
		// Time for which a connection may stay open without a request.
		duration idle_timeout = seconds(30);
		// Time for writing a complete answer, or the head or one piece of a streamed one.
		duration write_timeout = seconds(10);
		// Time without any data, acknowledgement or keep-alive reply from the peer after which the kernel breaks
		// the connection.
		duration silence_timeout = seconds(3);
		// What the bodies of all requests, and the answers that wait for their callers, may hold together. A single
		// body of body_bytes is always taken.
		std::size_t memory_bytes = std::numeric_limits<std::size_t>::max();
	};

	// Sends the answer to one request. Exists as long as the handler of the request runs.
	class exchange
	{
	  public:
		exchange() = default;
		exchange(exchange const&) = delete;
		exchange& operator=(exchange const&) = delete;
		exchange(exchange&&) = delete;
		exchange& operator=(exchange&&) = delete;
		virtual ~exchange() = default;

		// Sends a complete answer. Returns false when the connection is broken or the write times out.
		[[nodiscard]] virtual asio::awaitable<bool> reply(response answer) = 0;

		// Sends the head of an answer whose body follows in pieces (chunked). When a handler returns without calling
		// end_stream(), the server closes the connection, so that the peer can tell that the answer is incomplete. This
		// function, write() and end_stream() return false like reply().
		[[nodiscard]] virtual asio::awaitable<bool> begin_stream(response head) = 0;
		[[nodiscard]] virtual asio::awaitable<bool> write(std::string piece) = 0;
		[[nodiscard]] virtual asio::awaitable<bool> end_stream() = 0;

		// States how much of the answer the handler holds beside what it has given to the functions above, which count
		// by themselves. Returns whether more may be read: false when all callers' requests and answers hold as much
		// as they may.
		[[nodiscard]] virtual bool hold(std::size_t /*bytes*/)
		{
			return true;
		}

		// States the same, and waits until more may be read, at most for a second. Callers that have stopped to read
		// lose their connections meanwhile.
		[[nodiscard]] virtual asio::awaitable<void> wait_for_room(std::size_t /*bytes*/)
		{
			co_return;
		}

		// Returns whether a complete answer has been sent.
		[[nodiscard]] virtual bool is_answered() const noexcept = 0;

		// Sets a function that is called at most once, on the server's executor, when the peer closes its side or the
		// connection breaks (see silence_timeout) while the handler runs. It is not called for a peer that has sent
		// bytes of a further request (pipelining).
		virtual void on_close(std::function<void()> callback) = 0;
	};

	using handler = std::function<asio::awaitable<void>(request, exchange&)>;

	// Why a connection was closed on which a request had begun to arrive and was not read to its end.
	enum class unread_reason : std::uint8_t
	{
		// The rest of the header did not arrive in time.
		header_timeout,
		// The rest of the body did not arrive in time.
		body_timeout,
		// The peer closed its side, or the connection broke.
		peer_closed,
		// The bytes are too many or not HTTP.
		malformed,
		// The body has stopped to arrive, and others needed the memory that it held.
		body_stopped,
		// The bodies of all callers hold as much memory as they may.
		no_memory,
		// The request was read and its answer begun; the caller has stopped to read it, and others needed the memory.
		answer_stopped,
	};

	[[nodiscard]] std::string_view to_string(unread_reason reason) noexcept;

	// What a server reports. The hooks must neither block nor throw; each may be empty.
	struct server_hooks
	{
		// Receives each request that was not read to its end, with as much of its head as was parsed.
		std::function<void(unread_reason, request const&)> on_unread;
		// Receives the message of each exception that ended a handler or the reading of a request.
		std::function<void(std::string_view)> on_exception;
	};

	// An HTTP/1.1 server that runs a coroutine for each request. It answers requests that are too large or malformed
	// with status 4xx and a JSON error, and one that takes too long to arrive with 408. When all bodies together hold
	// too much, it answers some that have not arrived in full with 408 or 503 (see memory_budget). When a handler
	// throws, its request is answered with 500, or its answer is broken off if it has begun.
	//
	//     http::server server(context.get_executor(), {"127.0.0.1", 7000}, {}, handle);
	//     server.start();
	class server
	{
	  public:
		// Binds to the address; throws boost::system::system_error when that fails.
		server(asio::any_io_executor executor, endpoint const& where, server_limits const& limits, handler handle,
			server_hooks hooks = {});
		~server();

		server(server const&) = delete;
		server& operator=(server const&) = delete;
		server(server&&) = delete;
		server& operator=(server&&) = delete;

		// Starts to accept connections.
		void start();

		// Replaces the limits for later requests. Open connections keep their silence_timeout.
		void set_limits(server_limits const& limits);

		// Continues to serve, but closes each connection after its next answer and states that in the answer.
		void drain();

		// Stops listening and closes the idle connections. A request that has begun to arrive by then, also on a
		// connection that waits to be accepted, is still served; its connection is closed after the answer.
		void stop();

		// Returns the port that the server listens on; the one that the system chose when the endpoint had port 0.
		[[nodiscard]] unsigned short port() const;
		// Returns the number of open connections. After stop(): of those on which a request is being read or answered.
		[[nodiscard]] std::size_t connections() const noexcept;
		// Returns the bytes that the bodies of all requests and their answers hold.
		[[nodiscard]] std::size_t held_bytes() const noexcept;

	  private:
		class implementation;
		std::shared_ptr<implementation> impl;
	};

	// Returns an answer with the JSON body {"error": {"type", "message", "remedy"}}. Adds Retry-After and
	// Retry-After-Ms when retry_after is greater than zero.
	[[nodiscard]] response make_error(unsigned status, std::string_view type, std::string_view message,
		std::string_view remedy, duration retry_after = {});
}
