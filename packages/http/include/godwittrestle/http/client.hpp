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
		// No connection came about, so that nothing was sent.
		not_connected,
		// The connection broke, the answer was malformed, or the time ran out, after a byte may have been sent.
		lost,
	};

	struct call_options
	{
		// Time for the whole call; for a stream, time for its head.
		duration timeout = seconds(5);
		// True forbids reusing an open connection.
		bool fresh_connection = false;
	};

	using call_result = std::variant<response, client_failure>;

	// Calls servers over HTTP/1.1 and keeps connections open for reuse. A reused connection that turns out to be closed
	// is replaced by a new one; all else is left to the caller. To be used on one executor.
	class client
	{
	  public:
		explicit client(asio::any_io_executor executor);
		~client();

		client(client const&) = delete;
		client& operator=(client const&) = delete;
		client(client&&) = delete;
		client& operator=(client&&) = delete;

		// Sends a request and returns the whole answer.
		[[nodiscard]] asio::awaitable<call_result> call(endpoint where, request message, call_options options);

		// Sends a request and hands the body's pieces over as they come. Returns the head, with the whole body when the
		// status is not 200, once the stream has ended; a failure when it broke.
		[[nodiscard]] asio::awaitable<call_result> stream(endpoint where, request message, call_options options,
			std::function<asio::awaitable<void>(std::string_view)> on_piece);

	  private:
		class implementation;
		std::shared_ptr<implementation> impl;
	};
}
