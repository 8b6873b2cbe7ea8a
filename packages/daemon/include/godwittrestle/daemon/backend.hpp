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

	// How backend servers are spoken to. Each hook carries one call out and returns the event that ends it; whatever
	// the server does, the hook returns within the call's time. Cancelling the coroutine closes the connection.
	struct backend_interface
	{
		// Takes each token as it comes.
		using token_sink = std::function<asio::awaitable<void>(decide::token_received)>;

		std::function<asio::awaitable<decide::event>(decide::start_prefill)> prefill;
		std::function<asio::awaitable<decide::event>(decide::start_decode, token_sink)> decode;
		std::function<asio::awaitable<decide::event>(decide::start_plain)> plain;
		// Each returns nothing when the server did not answer as it should.
		std::function<asio::awaitable<std::optional<decide::event>>(decide::cancel_attempt)> cancel;
		std::function<asio::awaitable<std::optional<decide::event>>(decide::poll_load)> load;
		std::function<asio::awaitable<void>(decide::send_order)> order;
	};

	// Returns the interface that speaks HTTP and JSON as docs/BACKENDS.md describes. The client must outlive it.
	[[nodiscard]] backend_interface make_http_backend(http::client& client);
}
