#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/decide/event.hpp>
#include <godwittrestle/http/client.hpp>

namespace godwittrestle::daemon
{
	namespace asio = boost::asio;

	// The functions that call backend servers. Each one makes one call and returns the event that ends it. Whatever the
	// server does, the timeout of the call limits its time, except for a decode stream that has begun: it ends with its
	// connection or when the coroutine is cancelled. Cancelling the coroutine closes the connection.
	struct backend_interface
	{
		// Receives each token of a stream when it arrives.
		using token_sink = std::function<asio::awaitable<void>(decide::token_received)>;

		std::function<asio::awaitable<decide::event>(decide::start_prefill)> prefill;
		std::function<asio::awaitable<decide::event>(decide::start_decode, token_sink)> decode;
		std::function<asio::awaitable<decide::event>(decide::start_plain)> plain;
		// cancel and load return an empty optional when the server gives no valid answer.
		std::function<asio::awaitable<std::optional<decide::event>>(decide::cancel_attempt)> cancel;
		std::function<asio::awaitable<std::optional<decide::event>>(decide::poll_load)> load;
		std::function<asio::awaitable<void>(decide::send_order)> order;
	};

	// Returns the implementation for the HTTP and JSON interface that docs/BACKENDS.md describes. The client must
	// outlive it.
	[[nodiscard]] backend_interface make_http_backend(http::client& client);
}
