#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/message.hpp>

namespace godwittrestle::http
{
	namespace asio = boost::asio;

	enum class client_failure
	{
		// No connection could be opened, so that no byte was sent.
		not_connected,
		// The connection broke, the answer was malformed or the timeout expired. Part of the request or all of it may
		// have been sent.
		lost,
	};

	struct call_options
	{
		// Time for sending the request and receiving the answer, or only the head of the answer for stream(). Opening a
		// connection may take the same time before that, but at most one second.
		duration timeout = seconds(5);
		// Opens a new connection for the call and does not reuse it afterwards.
		bool fresh_connection = false;
	};

	using call_result = std::variant<response, client_failure>;

	// Calls servers over HTTP/1.1. call() keeps connections open for reuse. An idle connection that the server has
	// closed or sent bytes on is not reused. Never sends a request twice: retries are up to the user of this class.
	// Must be used on one executor.
	class client
	{
	  public:
		explicit client(asio::any_io_executor executor);
		~client();

		client(client const&) = delete;
		client& operator=(client const&) = delete;
		client(client&&) = delete;
		client& operator=(client&&) = delete;

		// Sends a request and returns the complete answer. Fails when the body is larger than 64 MiB.
		[[nodiscard]] asio::awaitable<call_result> call(endpoint where, request message, call_options options);

		// Sends a request on a new connection and passes each piece of the body to on_piece when it arrives. Returns
		// the head when the body is complete. When the status is not 200, collects the body in the returned answer
		// instead. Returns a failure when the connection breaks, also after on_piece was called.
		[[nodiscard]] asio::awaitable<call_result> stream(endpoint where, request message, call_options options,
			std::function<asio::awaitable<void>(std::string_view)> on_piece);

	  private:
		class implementation;
		std::shared_ptr<implementation> impl;
	};
}
