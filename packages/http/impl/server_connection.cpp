#include "server_connection.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <tuple>
#include <utility>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <godwittrestle/http/connection_state.hpp>

namespace godwittrestle::http
{
	namespace
	{
		namespace beast = boost::beast;
		using asio::ip::tcp;
		using boost::system::error_code;

		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		constexpr int http_1_1 = 11;
		// Bounds of what is read behind an answer after which the connection is closed.
		constexpr duration max_drop_time = seconds(2);
		constexpr std::size_t max_dropped_bytes = 16'777'216;
		constexpr std::size_t dropped_piece_bytes = 4'096;
		constexpr duration cancel_interval = milliseconds(10);
		// Longest wait for room in the account of memory, and the time between two looks at it.
		constexpr duration max_room_wait = seconds(1);
		constexpr duration room_poll_interval = milliseconds(20);
		// An answer with a smaller body is sent in one piece with its head.
		constexpr std::size_t min_apart_bytes = 65'536;

		using tcp_user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
		using keep_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
		using keep_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
		using keep_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

		std::string address_of_peer(tcp::socket const& socket)
		{
			error_code error;
			auto const where = socket.remote_endpoint(error);
			return error ? std::string() : where.address().to_string();
		}

		// Makes the kernel detect a peer that has disappeared without closing the connection, such as a crashed
		// machine: by keep-alive probes while the connection is idle, and by the TCP user timeout while sent bytes are
		// not acknowledged.
		void enable_dead_peer_detection(tcp::socket& socket, duration timeout)
		{
			error_code ignored;
			auto const milliseconds_allowed = std::chrono::duration_cast<milliseconds>(timeout).count();
			auto const seconds_allowed = std::max<int>(1, static_cast<int>(milliseconds_allowed / 1000));
			std::ignore = socket.set_option(tcp::no_delay(true), ignored);
			std::ignore = socket.set_option(asio::socket_base::keep_alive(true), ignored);
			std::ignore = socket.set_option(keep_idle(std::max(1, seconds_allowed - 1)), ignored);
			std::ignore = socket.set_option(keep_interval(1), ignored);
			std::ignore = socket.set_option(keep_count(1), ignored);
			std::ignore = socket.set_option(tcp_user_timeout(static_cast<int>(milliseconds_allowed)), ignored);
		}

		template <typename Body>
		void copy_head(response const& from, beast::http::response<Body>& to)
		{
			to.version(http_1_1);
			to.result(from.status);
			std::ranges::for_each(from.headers, [&](header const& each) { to.insert(each.name, each.value); });
		}
	}

	server_connection::server_connection(tcp::socket socket, duration silence_timeout)
		: tcp(std::move(socket))
		, timer(this->tcp.get_executor())
		, peer(address_of_peer(this->tcp.socket()))
	{
		enable_dead_peer_detection(this->tcp.socket(), silence_timeout);
	}

	void server_connection::shrink_buffer(std::size_t kept_bytes)
	{
		if (this->buffer.capacity() > kept_bytes)
		{
			this->buffer.clear();
			this->buffer.shrink_to_fit();
		}
	}

	asio::awaitable<bool> server_connection::wait_for_bytes(duration idle_timeout)
	{
		this->is_idle = true;
		this->set_timer(idle_timeout, &server_connection::close_if_idle);
		auto const [error] = co_await this->tcp.socket().async_wait(tcp::socket::wait_read, token);
		this->is_idle = false;
		this->cancel_timer();
		co_return !error;
	}

	void server_connection::close_if_idle()
	{
		if (this->is_idle && !this->has_arrived_bytes())
		{
			this->close();
		}
	}

	bool server_connection::has_arrived_bytes()
	{
		return peek_state(this->tcp.socket()) == connection_state::readable;
	}

	void server_connection::set_read_timeout(duration timeout)
	{
		this->is_read_timed_out = false;
		this->set_timer(timeout, &server_connection::cancel_read);
	}

	bool server_connection::end_read_timeout()
	{
		this->cancel_timer();
		return std::exchange(this->is_read_timed_out, false);
	}

	void server_connection::yield_memory(yield_reason reason)
	{
		this->yield = reason;
		this->cancel_read();
	}

	void server_connection::cancel_read()
	{
		this->is_read_timed_out = true;
		error_code ignored;
		std::ignore = this->tcp.socket().cancel(ignored);
		// A read that has just ended is followed by another one, which the cancellation has missed.
		this->set_timer(cancel_interval, &server_connection::cancel_read);
	}

	void server_connection::set_timer(duration time, void (server_connection::*handle_end)())
	{
		this->timer.expires_after(time);
		this->timer.async_wait(
			[weak = this->weak_from_this(), number = ++this->timer_number, handle_end](error_code const& error)
			{
				auto const self = weak.lock();
				if (!error && self && self->timer_number == number)
				{
					(self.get()->*handle_end)();
				}
			});
	}

	void server_connection::cancel_timer()
	{
		++this->timer_number;
		this->timer.cancel();
	}

	asio::awaitable<void> server_connection::close_after_answer()
	{
		error_code error;
		std::ignore = this->tcp.socket().shutdown(tcp::socket::shutdown_send, error);
		std::array<char, dropped_piece_bytes> dropped{};
		std::size_t total = 0;
		this->set_read_timeout(max_drop_time);
		while (!error && !this->is_read_timed_out && total < max_dropped_bytes)
		{
			auto const into = asio::buffer(dropped);
			auto const [read_error, size] = co_await this->tcp.socket().async_read_some(into, token);
			error = read_error;
			total += size;
		}
		std::ignore = this->end_read_timeout();
		this->close();
	}

	bool server_connection::has_peer_taken_bytes()
	{
		auto const before = this->unsent_bytes;
		this->note_unsent();
		return this->unsent_bytes < before;
	}

	void server_connection::note_unsent()
	{
		int unsent = 0;
		// NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg): the system call has no other form.
		auto const result = ioctl(this->tcp.socket().native_handle(), SIOCOUTQ, &unsent);
		this->unsent_bytes = result == 0 ? unsent : 0;
	}

	void server_connection::reset()
	{
		error_code ignored;
		std::ignore = this->tcp.socket().set_option(asio::socket_base::linger(true, 0), ignored);
		this->close();
	}

	void server_connection::close()
	{
		this->tcp.close();
	}

	server_exchange::server_exchange(std::shared_ptr<server_connection> opened, duration max_write_time,
		bool peer_keeps_alive, std::function<bool()> is_server_draining, std::unique_ptr<answer_account> given_account)
		: connection(std::move(opened))
		, write_timeout(max_write_time)
		, keep_alive(peer_keeps_alive)
		, is_draining(std::move(is_server_draining))
		, account(std::move(given_account))
	{
	}

	bool server_exchange::hold(std::size_t bytes)
	{
		this->held_by_handler = bytes;
		this->account->hold(bytes);
		return this->account->make_room();
	}

	asio::awaitable<void> server_exchange::wait_for_room(std::size_t bytes)
	{
		auto has_room = this->hold(bytes);
		asio::steady_timer pause(this->connection->stream().get_executor());
		auto const give_up_at = std::chrono::steady_clock::now() + max_room_wait;
		while (!has_room && !this->has_ended && std::chrono::steady_clock::now() < give_up_at)
		{
			pause.expires_after(room_poll_interval);
			std::ignore = co_await pause.async_wait(token);
			has_room = this->account->make_room();
		}
	}

	template <typename Buffers>
	asio::awaitable<bool> server_exchange::write_held(Buffers const& buffers, std::size_t held)
	{
		this->account->hold(this->held_by_handler + held);
		this->account->begin_wait();
		auto note_progress = [this, last = std::size_t()](error_code const& error, std::size_t total) mutable
		{
			if (std::exchange(last, total) != total)
			{
				this->account->note_move();
			}
			return asio::transfer_all()(error, total);
		};
		this->connection->stream().expires_after(this->write_timeout);
		auto const [error, size] =
			co_await asio::async_write(this->connection->stream(), buffers, std::move(note_progress), token);
		this->account->end_wait();
		this->account->hold(this->held_by_handler);
		co_return !error;
	}

	asio::awaitable<bool> server_exchange::reply(response answer)
	{
		beast::http::response<beast::http::string_body> message;
		copy_head(answer, message);
		message.body() = std::move(answer.body);
		this->keep_alive = this->keep_alive && !this->is_draining();
		message.keep_alive(this->keep_alive);
		message.prepare_payload();
		this->has_begun_answer = true;
		this->held_by_handler = 0;
		this->account->hold(message.body().capacity());
		this->connection->stream().expires_after(this->write_timeout);
		if (message.body().size() < min_apart_bytes)
		{
			this->account->begin_wait();
			auto const [error, size] = co_await beast::http::async_write(this->connection->stream(), message, token);
			this->account->end_wait();
			this->has_answered = !error;
			co_return !error;
		}
		beast::http::response_serializer<beast::http::string_body> serializer(message);
		serializer.split(true);
		auto const [error, size] =
			co_await beast::http::async_write_header(this->connection->stream(), serializer, token);
		if (!error)
		{
			auto const body = asio::buffer(message.body());
			this->has_answered = co_await this->write_held(body, message.body().capacity());
		}
		co_return this->has_answered;
	}

	asio::awaitable<bool> server_exchange::begin_stream(response head)
	{
		beast::http::response<beast::http::empty_body> message;
		copy_head(head, message);
		message.chunked(true);
		this->keep_alive = this->keep_alive && !this->is_draining();
		message.keep_alive(this->keep_alive);
		beast::http::response_serializer<beast::http::empty_body> serializer(message);
		this->has_begun_answer = true;
		this->connection->stream().expires_after(this->write_timeout);
		auto const [error, size] =
			co_await beast::http::async_write_header(this->connection->stream(), serializer, token);
		co_return !error;
	}

	asio::awaitable<bool> server_exchange::write(std::string piece)
	{
		auto const chunk = beast::http::make_chunk(asio::buffer(piece));
		co_return co_await this->write_held(chunk, piece.capacity());
	}

	asio::awaitable<bool> server_exchange::end_stream()
	{
		this->connection->stream().expires_after(this->write_timeout);
		auto const [error, size] =
			co_await asio::async_write(this->connection->stream(), beast::http::make_chunk_last(), token);
		this->has_answered = !error;
		co_return !error;
	}

	bool server_exchange::is_answered() const noexcept
	{
		return this->has_answered;
	}

	void server_exchange::on_close(std::function<void()> callback)
	{
		this->close_callback = std::move(callback);
	}

	asio::awaitable<void> server_exchange::watch_for_close(std::shared_ptr<server_exchange> self)
	{
		auto& socket = self->connection->stream().socket();
		auto state = connection_state::no_data;
		// The wait can also end because of bytes that have been read in the meantime.
		while (!self->has_ended && state == connection_state::no_data)
		{
			auto const [error] = co_await socket.async_wait(tcp::socket::wait_read, token);
			if (self->has_ended || error == asio::error::operation_aborted)
			{
				co_return;
			}
			state = peek_state(socket);
		}
		if (state == connection_state::closed)
		{
			self->notify_close();
		}
	}

	void server_exchange::end()
	{
		this->has_ended = true;
		this->close_callback = nullptr;
		error_code ignored;
		// Ends watch_for_close().
		std::ignore = this->connection->stream().socket().cancel(ignored);
	}

	bool server_exchange::has_begun() const noexcept
	{
		return this->has_begun_answer;
	}

	bool server_exchange::can_reuse_connection() const noexcept
	{
		return this->has_answered && this->keep_alive;
	}

	void server_exchange::notify_close()
	{
		if (auto const callback = std::exchange(this->close_callback, nullptr))
		{
			callback();
		}
	}
}
