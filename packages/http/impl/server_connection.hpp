#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <godwittrestle/http/memory_budget.hpp>
#include <godwittrestle/http/server.hpp>

namespace godwittrestle::http
{
	// The part of an answer in the account of memory, from its creation to its destruction.
	class answer_account
	{
	  public:
		answer_account() = default;
		answer_account(answer_account const&) = delete;
		answer_account& operator=(answer_account const&) = delete;
		answer_account(answer_account&&) = delete;
		answer_account& operator=(answer_account&&) = delete;
		virtual ~answer_account() = default;

		// See memory_budget.
		virtual void hold(std::size_t bytes) = 0;
		virtual void begin_wait() = 0;
		virtual void note_move() = 0;
		virtual void end_wait() = 0;
		// Lets those that have stopped yield when there is no room. Returns whether there is room then.
		[[nodiscard]] virtual bool make_room() = 0;
	};

	// One accepted connection of a server. Coroutines hold it by shared pointers and callbacks by weak ones, so that
	// none of them outlives it. Must be used on the server's executor.
	class server_connection : public std::enable_shared_from_this<server_connection>
	{
	  public:
		// silence_timeout: see server_limits.
		server_connection(asio::ip::tcp::socket socket, duration silence_timeout);

		[[nodiscard]] boost::beast::tcp_stream& stream() noexcept
		{
			return this->tcp;
		}

		// Bytes that were received and not parsed yet.
		[[nodiscard]] boost::beast::flat_buffer& unparsed() noexcept
		{
			return this->buffer;
		}

		// Frees the memory of the bytes not parsed yet, of which there must be none, when it is more than this.
		void shrink_buffer(std::size_t kept_bytes);

		// Waits until bytes of a request can be read. Returns false when the connection failed or was closed by
		// close_if_idle(), also after idle_timeout.
		[[nodiscard]] asio::awaitable<bool> wait_for_bytes(duration idle_timeout);

		// Closes the connection if it waits for a request of which no byte has arrived.
		void close_if_idle();

		[[nodiscard]] bool has_arrived_bytes();

		// Ends reading after this time without closing the connection, so that it can still be answered: the read in
		// progress and those that follow it, until end_read_timeout(). A later call replaces an earlier one.
		void set_read_timeout(duration timeout);
		// Ends the time limit. Returns whether it ended a read.
		bool end_read_timeout();

		// Ends reading, as at the end of set_read_timeout's time, since the request gives up its memory.
		void yield_memory(yield_reason reason);
		// Returns why the request that is being read has given up its memory, if it has.
		[[nodiscard]] std::optional<yield_reason> yielded() const noexcept
		{
			return this->yield;
		}

		// Returns the peer's address without its port.
		[[nodiscard]] std::string const& peer_address() const noexcept
		{
			return this->peer;
		}

		// Closes the connection behind an answer. When the peer still sends, its bytes are read and dropped for a
		// bounded time first: otherwise the kernel would reset the connection, and the answer could be lost.
		[[nodiscard]] asio::awaitable<void> close_after_answer();

		// Returns whether the peer has acknowledged bytes since the last call of this function or of note_unsent(). The
		// kernel takes further bytes only when much of what it holds is acknowledged, so a slow peer shows here first.
		[[nodiscard]] bool has_peer_taken_bytes();
		void note_unsent();

		// Closes the connection and drops what the kernel holds for the peer.
		void reset();

		void close();

	  private:
		// Calls a function of this connection at the end of the time, unless the timer was set again or cancelled.
		void set_timer(duration time, void (server_connection::*handle_end)());
		void cancel_timer();
		void cancel_read();

		boost::beast::tcp_stream tcp;
		boost::beast::flat_buffer buffer;
		asio::steady_timer timer;
		std::string peer;
		std::optional<yield_reason> yield;
		// Bytes that the kernel held for the peer at the last look.
		int unsent_bytes = 0;
		// Raised when the timer is set or cancelled, so that a handler that is queued already can be recognised.
		std::uint64_t timer_number = 0;
		bool is_idle = false;
		bool is_read_timed_out = false;
	};

	// The exchange of one request on a connection. Shared by the request's handler and watch_for_close().
	class server_exchange final : public exchange
	{
	  public:
		// is_draining: called when the answer begins. If it returns true, the connection closes after the answer.
		server_exchange(std::shared_ptr<server_connection> connection, duration write_timeout, bool keep_alive,
			std::function<bool()> is_draining, std::unique_ptr<answer_account> account);

		[[nodiscard]] asio::awaitable<bool> reply(response answer) override;
		[[nodiscard]] asio::awaitable<bool> begin_stream(response head) override;
		[[nodiscard]] asio::awaitable<bool> write(std::string piece) override;
		[[nodiscard]] asio::awaitable<bool> end_stream() override;
		[[nodiscard]] bool hold(std::size_t bytes) override;
		[[nodiscard]] asio::awaitable<void> wait_for_room(std::size_t bytes) override;
		[[nodiscard]] bool is_answered() const noexcept override;
		void on_close(std::function<void()> callback) override;

		// Calls the on_close callback when the peer closes its side before end() is called. Ends without it when the
		// peer sends further bytes.
		[[nodiscard]] static asio::awaitable<void> watch_for_close(std::shared_ptr<server_exchange> self);

		// Ends the exchange: the handler has returned.
		void end();

		// Returns whether the handler has begun to answer.
		[[nodiscard]] bool has_begun() const noexcept;

		// Returns whether the answer was sent completely and the connection may carry another request.
		[[nodiscard]] bool can_reuse_connection() const noexcept;

	  private:
		void notify_close();
		// Writes bytes that are in the account with what the handler holds until they are written. held: their size in
		// memory.
		template <typename Buffers>
		[[nodiscard]] asio::awaitable<bool> write_held(Buffers const& buffers, std::size_t held);

		std::shared_ptr<server_connection> connection;
		duration write_timeout;
		bool keep_alive;
		std::function<bool()> is_draining;
		bool has_begun_answer = false;
		bool has_answered = false;
		bool has_ended = false;
		std::function<void()> close_callback;
		std::unique_ptr<answer_account> account;
		// What the handler holds beside what is being written.
		std::size_t held_by_handler = 0;
	};
}
