#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/message.hpp>

namespace godwittrestle::http
{
	namespace asio = boost::asio;

	enum class upstream_failure
	{
		// Writing failed before any byte of the request was sent.
		not_sent,
		// The connection broke, or the answer was malformed, incomplete or too large.
		broken,
		// The timeout expired.
		silent,
		// The read was interrupted; see upstream::interrupt().
		interrupted,
	};

	// The contents of the server's Keep-Alive header.
	struct keep_alive_terms
	{
		// How long the server keeps an idle connection open; nothing when the header does not state it.
		std::optional<duration> idle_timeout;
	};

	// Called when the timeout of a read has expired. Returns for how long the read goes on; zero ends it.
	using further_wait = std::function<duration()>;

	// A connection to a server. It carries one request at a time and reads each answer piece by piece. The server may
	// answer before the whole request is sent. Must be used on one executor and be owned by a shared pointer:
	// operations in progress share the ownership.
	class upstream : public std::enable_shared_from_this<upstream>
	{
	  public:
		upstream(asio::any_io_executor executor, endpoint where);
		~upstream();

		upstream(upstream const&) = delete;
		upstream& operator=(upstream const&) = delete;
		upstream(upstream&&) = delete;
		upstream& operator=(upstream&&) = delete;

		// Opens the connection. Returns false when that fails or the timeout expires.
		[[nodiscard]] asio::awaitable<bool> connect(duration timeout);

		// Starts to send a request and returns at once. The headers of the request must contain Host.
		void send(request const& message);

		// Reads the head of the answer, skipping interim (1xx) answers. Read the body with read_piece() or read_rest().
		[[nodiscard]] asio::awaitable<std::variant<response, upstream_failure>> read_head(
			duration timeout, further_wait wait_on = {});

		// Returns the next piece of the answer's body; an empty piece at the end of the body.
		[[nodiscard]] asio::awaitable<std::variant<std::string, upstream_failure>> read_piece(
			duration timeout, further_wait wait_on = {});

		// Returns the rest of the answer's body. The timeout is for the whole rest. Fails with broken when the rest is
		// longer than the limit, in bytes.
		[[nodiscard]] asio::awaitable<std::variant<std::string, upstream_failure>> read_rest(
			duration timeout, std::size_t limit);

		// Ends the read in progress, or the next one, with interrupted. The answer can be read on afterwards. Returns
		// false, and does nothing, while the request is still being sent.
		[[nodiscard]] bool interrupt();
		// Takes back an interruption that no read has seen yet.
		void cancel_interruption() noexcept;

		// Returns whether the connection can carry another request: the request is sent, the answer is read to its end,
		// no further bytes are buffered, and the answer allows keeping the connection open.
		[[nodiscard]] bool is_reusable() const;

		// Returns whether the connection is open and has received no bytes that are still unread.
		[[nodiscard]] bool is_open_without_data();

		// Returns the values from the latest answer.
		[[nodiscard]] keep_alive_terms const& keep_alive() const noexcept;

		// Returns whether the answer has neither a length nor chunks, so that it ends with the connection.
		[[nodiscard]] bool ends_with_connection() const;

		// Returns whether the last read failed because the peer had closed or reset the connection.
		[[nodiscard]] bool was_closed_by_peer() const noexcept;

		// Returns the port of this end; 0 when the connection is not open.
		[[nodiscard]] unsigned short local_port() const;

		// Closes the connection. Operations in progress fail.
		void close();

	  private:
		class implementation;
		std::unique_ptr<implementation> impl;
	};

	using upstream_pointer = std::shared_ptr<upstream>;
}
