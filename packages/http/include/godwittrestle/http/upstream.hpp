#pragma once

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
		// No byte of the request was taken by the connection.
		not_sent,
		// The connection broke, or the answer was malformed or cut.
		broken,
		// Nothing came within the time given.
		silent,
	};

	// What the server said about keeping the connection open.
	struct keep_alive_terms
	{
		// How long the server keeps an idle connection; nothing when it does not say.
		std::optional<duration> idle_timeout;
	};

	// One connection to a server, for one request after the other, whose answers are read piece by piece. An answer may
	// come before the whole request was sent. To be used on one executor; held by a shared pointer while it works.
	class upstream : public std::enable_shared_from_this<upstream>
	{
	  public:
		upstream(asio::any_io_executor executor, endpoint where);
		~upstream();

		upstream(upstream const&) = delete;
		upstream& operator=(upstream const&) = delete;
		upstream(upstream&&) = delete;
		upstream& operator=(upstream&&) = delete;

		// Connects. Returns false when no connection came about in time.
		[[nodiscard]] asio::awaitable<bool> connect(duration timeout);

		// Starts to send a request. Its headers must name the host.
		void send(request const& message);

		// Returns the head of the next answer; its body follows piece by piece.
		[[nodiscard]] asio::awaitable<std::variant<response, upstream_failure>> read_head(duration timeout);

		// Returns the next piece of the answer's body; an empty piece at its end.
		[[nodiscard]] asio::awaitable<std::variant<std::string, upstream_failure>> read_piece(duration timeout);

		// Reads the rest of the answer's body into one text. Fails with broken beyond the limit.
		[[nodiscard]] asio::awaitable<std::variant<std::string, upstream_failure>> read_rest(
			duration timeout, std::size_t limit);

		// Whether the answer is read to its end, nothing came after it, and both sides keep the connection.
		[[nodiscard]] bool is_reusable() const;

		// Whether an idle connection is still open and silent.
		[[nodiscard]] bool is_quiet();

		[[nodiscard]] keep_alive_terms const& keep_alive() const noexcept;

		// Closes the connection; whatever waits on it fails.
		void close();

	  private:
		class implementation;
		std::unique_ptr<implementation> impl;
	};

	using upstream_pointer = std::shared_ptr<upstream>;
}
