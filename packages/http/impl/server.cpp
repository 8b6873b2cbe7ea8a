#include <godwittrestle/http/server.hpp>

#include <algorithm>
#include <cmath>
#include <list>
#include <optional>
#include <tuple>
#include <utility>

#include <netinet/tcp.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

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
		constexpr duration accept_retry_pause = milliseconds(20);
		constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

		using tcp_user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
		using keep_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
		using keep_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
		using keep_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

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

		request to_head(beast::http::request<beast::http::string_body> const& message)
		{
			request converted;
			converted.method = std::string(message.method_string());
			converted.target = std::string(message.target());
			std::ranges::transform(message, std::back_inserter(converted.headers),
				[](auto const& field) { return header{std::string(field.name_string()), std::string(field.value())}; });
			return converted;
		}

		request to_request(beast::http::request<beast::http::string_body>&& message)
		{
			auto converted = to_head(message);
			converted.body = std::move(message.body());
			return converted;
		}

		unread_reason to_unread_reason(error_code const& error, bool is_header_done)
		{
			if (error == beast::error::timeout)
			{
				return is_header_done ? unread_reason::body_timeout : unread_reason::header_timeout;
			}
			auto const is_peer_gone = error.category() == asio::error::get_system_category() ||
									  error == asio::error::eof || error == beast::http::error::end_of_stream ||
									  error == beast::http::error::partial_message;
			return is_peer_gone ? unread_reason::peer_closed : unread_reason::malformed;
		}

		template <typename Body>
		void copy_head(response const& from, beast::http::response<Body>& to)
		{
			to.version(http_1_1);
			to.result(from.status);
			std::ranges::for_each(from.headers, [&](header const& each) { to.insert(each.name, each.value); });
		}

		response make_parse_error(error_code const& error)
		{
			if (error == beast::http::error::body_limit)
			{
				return make_error(413, "too_large", "the body is too large", "send a smaller body");
			}
			if (error == beast::http::error::header_limit)
			{
				return make_error(431, "too_large", "the header is too large", "send fewer or shorter headers");
			}
			return make_error(400, "invalid_request", "the request is not HTTP/1.1: " + error.message(),
				"send a well-formed request");
		}

		// Returns whether the message has at most one Host and at most one of Content-Length and Transfer-Encoding,
		// which must be chunked. Rejecting other messages prevents request smuggling: two servers that read such a
		// message differently can take part of it for another request.
		bool has_unambiguous_framing(beast::http::request<beast::http::string_body> const& message)
		{
			auto const count = [&](beast::http::field name)
			{
				auto const range = message.equal_range(name);
				return std::distance(range.first, range.second);
			};
			auto const codings = count(beast::http::field::transfer_encoding);
			auto const lengths = count(beast::http::field::content_length);
			return count(beast::http::field::host) <= 1 && lengths <= 1 && codings <= 1 && lengths + codings <= 1 &&
				   (codings == 0 || message.chunked());
		}

		bool expects_continue(beast::http::request<beast::http::string_body> const& message)
		{
			return beast::iequals(message[beast::http::field::expect], "100-continue");
		}

		// The exchange of one request on a connection. Used by the request's handler and by watch_for_close().
		class connection_exchange final : public exchange
		{
		  public:
			// is_server_draining: read when the answer begins. If it is true, the connection closes after the answer.
			connection_exchange(beast::tcp_stream& connection, server_limits const& allowed, bool peer_keeps_alive,
				bool const& is_server_draining)
				: stream(connection)
				, write_timeout(allowed.write_timeout)
				, keep_alive(peer_keeps_alive)
				, is_draining(is_server_draining)
			{
			}

			asio::awaitable<bool> reply(response answer) override
			{
				beast::http::response<beast::http::string_body> message;
				copy_head(answer, message);
				message.body() = std::move(answer.body);
				this->keep_alive = this->keep_alive && !this->is_draining;
				message.keep_alive(this->keep_alive);
				message.prepare_payload();
				this->stream.expires_after(this->write_timeout);
				auto const [error, size] = co_await beast::http::async_write(this->stream, message, token);
				this->has_answered = !error;
				co_return !error;
			}

			asio::awaitable<bool> begin_stream(response head) override
			{
				beast::http::response<beast::http::empty_body> message;
				copy_head(head, message);
				message.chunked(true);
				this->keep_alive = this->keep_alive && !this->is_draining;
				message.keep_alive(this->keep_alive);
				beast::http::response_serializer<beast::http::empty_body> serializer(message);
				this->stream.expires_after(this->write_timeout);
				auto const [error, size] = co_await beast::http::async_write_header(this->stream, serializer, token);
				co_return !error;
			}

			asio::awaitable<bool> write(std::string piece) override
			{
				this->stream.expires_after(this->write_timeout);
				auto const [error, size] =
					co_await asio::async_write(this->stream, beast::http::make_chunk(asio::buffer(piece)), token);
				co_return !error;
			}

			asio::awaitable<bool> end_stream() override
			{
				this->stream.expires_after(this->write_timeout);
				auto const [error, size] =
					co_await asio::async_write(this->stream, beast::http::make_chunk_last(), token);
				this->has_answered = !error;
				co_return !error;
			}

			[[nodiscard]] bool is_answered() const noexcept override
			{
				return this->has_answered;
			}

			void on_close(std::function<void()> callback) override
			{
				this->close_callback = std::move(callback);
			}

			void notify_close()
			{
				if (auto const callback = std::exchange(this->close_callback, nullptr))
				{
					callback();
				}
			}

			// Returns whether the answer was sent completely and the connection may carry another request.
			[[nodiscard]] bool can_reuse_connection() const noexcept
			{
				return this->has_answered && this->keep_alive;
			}

		  private:
			beast::tcp_stream& stream;
			duration write_timeout;
			bool keep_alive;
			bool const& is_draining;
			bool has_answered = false;
			std::function<void()> close_callback;
		};
	}

	class server::implementation : public std::enable_shared_from_this<implementation>
	{
	  public:
		implementation(asio::any_io_executor io_executor, endpoint const& where, server_limits const& allowed,
			handler respond, unread_hook notify_unread)
			: executor(std::move(io_executor))
			, acceptor(this->executor, tcp::endpoint(asio::ip::make_address(where.address), where.port))
			, limits(allowed)
			, handle(std::move(respond))
			, on_unread(std::move(notify_unread))
		{
		}

		void start()
		{
			asio::co_spawn(
				this->executor, [self = this->shared_from_this()] { return self->accept(); }, asio::detached);
		}

		void set_limits(server_limits const& given)
		{
			this->limits = given;
		}

		void drain()
		{
			this->is_draining = true;
		}

		void stop()
		{
			this->is_stopping = true;
			this->is_draining = true;
			this->take_waiting_connections();
			error_code ignored;
			std::ignore = this->acceptor.close(ignored);
			for (auto* const idle : this->idle_streams)
			{
				// A request that has begun to arrive is served.
				if (peek_state(idle->socket()) != connection_state::readable)
				{
					idle->close();
				}
			}
		}

		[[nodiscard]] unsigned short port() const
		{
			return this->acceptor.local_endpoint().port();
		}

		[[nodiscard]] std::size_t connections() const noexcept
		{
			return this->open_connections;
		}

	  private:
		asio::awaitable<void> accept()
		{
			while (!this->is_stopping)
			{
				auto [error, socket] = co_await this->acceptor.async_accept(token);
				if (error)
				{
					// The process has no free file descriptors, or the server is stopping.
					asio::steady_timer pause(this->executor, accept_retry_pause);
					std::ignore = co_await pause.async_wait(token);
					continue;
				}
				this->take(std::move(socket));
			}
		}

		// Takes the connections that the kernel has accepted and that accept() has not taken yet.
		void take_waiting_connections()
		{
			error_code error;
			std::ignore = this->acceptor.non_blocking(true, error);
			while (!error)
			{
				tcp::socket socket(this->executor);
				std::ignore = this->acceptor.accept(socket, error);
				if (!error)
				{
					this->take(std::move(socket));
				}
			}
		}

		void take(tcp::socket socket)
		{
			if (this->open_connections >= this->limits.connections)
			{
				// Closes the connection at once, so that the caller's load balancer tries another instance.
				return;
			}
			// Counted from here on, so that no connection is without a count until serve() begins.
			++this->open_connections;
			asio::co_spawn(
				this->executor, [self = this->shared_from_this(), accepted = std::move(socket)]() mutable
				{ return self->serve(std::move(accepted)); }, asio::detached);
		}

		asio::awaitable<void> serve(tcp::socket socket)
		{
			enable_dead_peer_detection(socket, this->limits.silence_timeout);
			beast::tcp_stream stream(std::move(socket));
			beast::flat_buffer buffer;
			// A connection that was accepted just before the stop may already hold its first request.
			auto is_open = !this->is_stopping || peek_state(stream.socket()) == connection_state::readable;
			while (is_open)
			{
				auto const can_go_on = co_await this->serve_one(stream, buffer);
				is_open = can_go_on && !this->is_stopping;
			}
			--this->open_connections;
		}

		// Waits for the first byte of a request. Returns false when the connection fails or is idle for too long.
		asio::awaitable<bool> wait_for_request(beast::tcp_stream& stream, beast::flat_buffer const& buffer)
		{
			if (buffer.size() > 0)
			{
				co_return true;
			}
			auto const position = this->idle_streams.insert(this->idle_streams.end(), &stream);
			asio::steady_timer timer(this->executor, this->limits.idle_timeout);
			timer.async_wait(
				[&stream](error_code const& error)
				{
					if (!error)
					{
						stream.close();
					}
				});
			auto const [error] = co_await stream.socket().async_wait(tcp::socket::wait_read, token);
			this->idle_streams.erase(position);
			auto const is_in_time = timer.cancel() > 0;
			if (!error && !is_in_time && peek_state(stream.socket()) == connection_state::readable)
			{
				this->report_unread(unread_reason::idle_timeout, {});
			}
			co_return !error && is_in_time;
		}

		// Serves one request. Returns false when the connection must be closed.
		asio::awaitable<bool> serve_one(beast::tcp_stream& stream, beast::flat_buffer& buffer)
		{
			if (!co_await this->wait_for_request(stream, buffer))
			{
				co_return false;
			}
			beast::http::request_parser<beast::http::string_body> parser;
			parser.header_limit(static_cast<std::uint32_t>(this->limits.header_bytes));
			parser.body_limit(this->limits.body_bytes);
			auto const error = co_await this->read_request(stream, buffer, parser);
			if (error)
			{
				if (parser.got_some())
				{
					this->report_unread(to_unread_reason(error, parser.is_header_done()), to_head(parser.get()));
				}
				if (error != beast::http::error::end_of_stream && parser.got_some())
				{
					connection_exchange refused(stream, this->limits, false, this->is_draining);
					co_await refused.reply(make_parse_error(error));
				}
				co_return false;
			}
			connection_exchange current(stream, this->limits, parser.get().keep_alive(), this->is_draining);
			stream.expires_never();
			auto const is_done = std::make_shared<bool>(false);
			asio::co_spawn(
				this->executor, this->watch_for_close(stream, current, is_done, buffer.size() > 0), asio::detached);
			co_await this->handle(to_request(parser.release()), current);
			*is_done = true;
			error_code ignored;
			std::ignore = stream.socket().cancel(ignored);
			// Lets the cancelled watch_for_close() end before the exchange that it refers to is destroyed.
			co_await asio::post(this->executor, token);
			co_return current.can_reuse_connection();
		}

		void report_unread(unread_reason reason, request const& head)
		{
			if (this->on_unread)
			{
				this->on_unread(reason, head);
			}
		}

		// Reads one request, and sends 100 Continue when the client expects it.
		asio::awaitable<error_code> read_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
			beast::http::request_parser<beast::http::string_body>& parser)
		{
			stream.expires_after(this->limits.header_timeout);
			auto const [head_error, head_size] = co_await beast::http::async_read_header(stream, buffer, parser, token);
			if (head_error)
			{
				co_return head_error;
			}
			if (!has_unambiguous_framing(parser.get()))
			{
				co_return make_error_code(beast::http::error::bad_field);
			}
			stream.expires_after(this->limits.read_timeout);
			if (expects_continue(parser.get()))
			{
				auto const interim = asio::buffer(continue_response);
				auto const [error, size] = co_await asio::async_write(stream, interim, token);
				if (error)
				{
					co_return error;
				}
			}
			auto const [body_error, body_size] = co_await beast::http::async_read(stream, buffer, parser, token);
			co_return body_error;
		}

		// Calls the on_close callback when the peer closes its side while the handler runs. Ends without it when the
		// peer sends further bytes. is_pipelining: whether such bytes were already read.
		asio::awaitable<void> watch_for_close(
			beast::tcp_stream& stream, connection_exchange& current, std::shared_ptr<bool> is_done, bool is_pipelining)
		{
			if (is_pipelining)
			{
				co_return;
			}
			auto& socket = stream.socket();
			auto state = connection_state::no_data;
			// The wait can also end because of bytes that have been read in the meantime.
			while (state == connection_state::no_data)
			{
				auto const [error] = co_await socket.async_wait(tcp::socket::wait_read, token);
				if (*is_done || error == asio::error::operation_aborted)
				{
					co_return;
				}
				state = peek_state(socket);
			}
			if (state == connection_state::closed)
			{
				current.notify_close();
			}
		}

		asio::any_io_executor executor;
		tcp::acceptor acceptor;
		server_limits limits;
		handler handle;
		unread_hook on_unread;
		std::list<beast::tcp_stream*> idle_streams;
		std::size_t open_connections = 0;
		bool is_draining = false;
		bool is_stopping = false;
	};

	std::string_view to_string(unread_reason reason) noexcept
	{
		switch (reason)
		{
			case unread_reason::idle_timeout:
				return "idle_timeout";
			case unread_reason::header_timeout:
				return "header_timeout";
			case unread_reason::body_timeout:
				return "body_timeout";
			case unread_reason::peer_closed:
				return "peer_closed";
			case unread_reason::malformed:
				return "malformed";
		}
		return "malformed";
	}

	server::server(asio::any_io_executor executor, endpoint const& where, server_limits const& limits, handler handle,
		unread_hook on_unread)
		: impl(std::make_shared<implementation>(
			  std::move(executor), where, limits, std::move(handle), std::move(on_unread)))
	{
	}

	server::~server() = default;

	void server::start()
	{
		this->impl->start();
	}

	void server::set_limits(server_limits const& limits)
	{
		this->impl->set_limits(limits);
	}

	void server::drain()
	{
		this->impl->drain();
	}

	void server::stop()
	{
		this->impl->stop();
	}

	unsigned short server::port() const
	{
		return this->impl->port();
	}

	std::size_t server::connections() const noexcept
	{
		return this->impl->connections();
	}

	response make_error(
		unsigned status, std::string_view type, std::string_view message, std::string_view remedy, duration retry_after)
	{
		boost::json::object body;
		body["error"] = boost::json::object{{"type", type}, {"message", message}, {"remedy", remedy}};
		response answer;
		answer.status = status;
		answer.headers.push_back({"Content-Type", "application/json"});
		if (retry_after > duration{})
		{
			// Retry-After is for all clients; Retry-After-Ms is more precise, for clients that know it.
			auto const whole = std::chrono::ceil<seconds>(retry_after).count();
			auto const exact = std::chrono::ceil<milliseconds>(retry_after).count();
			answer.headers.push_back({"Retry-After", std::to_string(whole)});
			answer.headers.push_back({"Retry-After-Ms", std::to_string(exact)});
		}
		answer.body = boost::json::serialize(body);
		return answer;
	}
}
