#include <godwittrestle/http/server.hpp>

#include <algorithm>
#include <limits>
#include <new>
#include <optional>
#include <ranges>
#include <set>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/exception.hpp>
#include <godwittrestle/http/memory_budget.hpp>

#include "server_connection.hpp"
#include "server_memory.hpp"
#include "unread_request.hpp"

namespace godwittrestle::http
{
	namespace
	{
		namespace beast = boost::beast;
		using asio::ip::tcp;
		using boost::system::error_code;

		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		constexpr duration accept_retry_pause = milliseconds(20);
		// What the size line of a chunk may take beside the head's limit.
		constexpr std::size_t chunk_line_bytes = 32;
		// What the buffer of a connection may hold while a body is read.
		constexpr std::size_t max_buffer_bytes = 65'536;
		// What the buffer may keep while the connection waits for a request.
		constexpr std::size_t max_idle_buffer_bytes = 4'096;
		constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
	}

	class server::implementation : public std::enable_shared_from_this<implementation>
	{
	  public:
		implementation(asio::any_io_executor io_executor, endpoint const& where, server_limits const& allowed,
			handler respond, server_hooks callbacks)
			: executor(std::move(io_executor))
			, acceptor(this->executor, tcp::endpoint(asio::ip::make_address(where.address), where.port))
			, limits(allowed)
			, memory(std::make_shared<server_memory>(
				  to_memory_limits(allowed), [this] { this->report_unread(unread_reason::answer_stopped, request()); }))
			, handle(std::move(respond))
			, hooks(std::move(callbacks))
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
			this->memory->set_limits(to_memory_limits(given));
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
			// A request that has begun to arrive is served.
			std::ranges::for_each(this->open, [](connection_pointer const& each) { each->close_if_idle(); });
		}

		[[nodiscard]] unsigned short port() const
		{
			return this->acceptor.local_endpoint().port();
		}

		[[nodiscard]] std::size_t connections() const noexcept
		{
			return this->open.size();
		}

		[[nodiscard]] std::size_t held_bytes() const noexcept
		{
			return this->memory->held();
		}

	  private:
		using connection_pointer = std::shared_ptr<server_connection>;

		static memory_limits to_memory_limits(server_limits const& limits)
		{
			return {limits.memory_bytes, limits.body_bytes + limits.header_bytes + max_buffer_bytes};
		}

		asio::awaitable<void> accept()
		{
			while (!this->is_stopping)
			{
				try
				{
					co_await this->accept_one();
				}
				catch (...)
				{
					this->report_exception();
				}
			}
		}

		asio::awaitable<void> accept_one()
		{
			auto [error, socket] = co_await this->acceptor.async_accept(token);
			if (error)
			{
				// The process has no free file descriptors, or the server is stopping.
				asio::steady_timer pause(this->executor, accept_retry_pause);
				std::ignore = co_await pause.async_wait(token);
				co_return;
			}
			this->take(std::move(socket));
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
			try
			{
				this->open_connection(std::move(socket));
			}
			catch (...)
			{
				this->report_exception();
			}
		}

		void open_connection(tcp::socket socket)
		{
			if (this->open.size() >= this->limits.connections)
			{
				// Closes the connection at once, so that the caller's load balancer tries another instance.
				return;
			}
			auto const connection =
				std::make_shared<server_connection>(std::move(socket), this->limits.silence_timeout);
			this->open.insert(connection);
			try
			{
				asio::co_spawn(
					this->executor, [self = this->shared_from_this(), connection] { return self->serve(connection); },
					asio::detached);
			}
			catch (...)
			{
				this->open.erase(connection);
				throw;
			}
		}

		asio::awaitable<void> serve(connection_pointer connection)
		{
			// A connection that was accepted just before the stop may already hold its first request.
			auto is_open = !this->is_stopping || connection->has_arrived_bytes();
			while (is_open)
			{
				auto can_go_on = false;
				try
				{
					can_go_on = co_await this->serve_one(connection);
				}
				catch (...)
				{
					this->report_exception();
				}
				is_open = can_go_on && !this->is_stopping;
			}
			connection->close();
			this->open.erase(connection);
		}

		// Serves one request. Returns false when the connection must be closed.
		asio::awaitable<bool> serve_one(connection_pointer connection)
		{
			if (connection->unparsed().size() == 0)
			{
				connection->shrink_buffer(max_idle_buffer_bytes);
				auto const has_bytes = co_await connection->wait_for_bytes(this->limits.idle_timeout);
				if (!has_bytes)
				{
					co_return false;
				}
			}
			beast::http::request_parser<beast::http::string_body> parser;
			parser.header_limit(static_cast<std::uint32_t>(this->limits.header_bytes));
			parser.body_limit(this->limits.body_bytes);
			std::optional<request_memory> part;
			auto const error = co_await this->read_request(connection, parser, part);
			if (error)
			{
				// Nothing of the request is held while it is refused.
				part.reset();
				co_await this->refuse_unread(connection, parser, error);
				co_return false;
			}
			auto const current = this->make_exchange(connection, parser.get().keep_alive());
			connection->stream().expires_never();
			if (connection->unparsed().size() == 0)
			{
				asio::co_spawn(this->executor, server_exchange::watch_for_close(current), asio::detached);
			}
			auto message = to_request(parser.release());
			auto has_failed = false;
			try
			{
				co_await this->handle(std::move(message), *current);
			}
			catch (...)
			{
				has_failed = true;
				this->report_exception();
			}
			if (has_failed && !current->has_begun())
			{
				auto answer = make_error(500, "internal", "the request failed because of an internal error",
					"it may have run: check before repeating it");
				std::ignore = co_await current->reply(std::move(answer));
			}
			current->end();
			co_return current->can_reuse_connection();
		}

		[[nodiscard]] std::shared_ptr<server_exchange> make_exchange(connection_pointer connection, bool keep_alive)
		{
			auto account = std::make_unique<answer_memory>(this->memory, connection);
			return std::make_shared<server_exchange>(
				std::move(connection), this->limits.write_timeout, keep_alive,
				[self = this->shared_from_this()] { return self->is_draining; }, std::move(account));
		}

		// Reports a request that was not read to its end, and answers one that is not valid.
		asio::awaitable<void> refuse_unread(connection_pointer connection,
			beast::http::request_parser<beast::http::string_body>& parser, error_code error)
		{
			if (!parser.got_some())
			{
				co_return;
			}
			auto const yielded = connection->yielded();
			auto const reason = yielded ? to_unread_reason(*yielded, parser.is_header_done())
										: to_unread_reason(error, parser.is_header_done());
			this->report_unread(reason, to_head(parser.get()));
			std::string().swap(parser.get().body());
			connection->unparsed().clear();
			connection->unparsed().shrink_to_fit();
			if (reason != unread_reason::peer_closed || error == beast::http::error::partial_message)
			{
				auto const refused = this->make_exchange(connection, false);
				auto answer = yielded ? make_yield_error(*yielded) : make_read_error(error);
				std::ignore = co_await refused->reply(std::move(answer));
				co_await connection->close_after_answer();
			}
		}

		void report_unread(unread_reason reason, request const& head)
		{
			if (this->hooks.on_unread)
			{
				this->hooks.on_unread(reason, head);
			}
		}

		// Reports the exception that is being handled.
		void report_exception() noexcept
		{
			try
			{
				if (this->hooks.on_exception)
				{
					this->hooks.on_exception(describe_current_exception());
				}
			}
			catch (std::bad_alloc const&)
			{
				report_lost_log_line();
			}
		}

		// What reading a head came to: its error, if any, and its size in bytes.
		struct head_result
		{
			error_code error;
			std::size_t bytes = 0;
		};

		// Reads the head of a request. part: set when the head does not arrive at once.
		asio::awaitable<head_result> read_head(connection_pointer connection,
			beast::http::request_parser<beast::http::string_body>& parser, std::optional<request_memory>& part)
		{
			auto& buffer = connection->unparsed();
			// The buffer grows no further than a head may. The parser's own limit is reached at this size, not beyond
			// it.
			buffer.max_size(std::max(buffer.size(), this->limits.header_bytes + 1));
			head_result read;
			auto has_new_bytes = buffer.size() > 0;
			while (!connection->yielded())
			{
				if (!has_new_bytes)
				{
					read.error = co_await read_piece(*connection, parser);
					if (read.error)
					{
						co_return read;
					}
					// It may have been told to yield meanwhile.
					has_new_bytes = true;
					continue;
				}
				has_new_bytes = false;
				auto const parsed = parser.put(buffer.data(), read.error);
				buffer.consume(parsed);
				read.bytes += parsed;
				// The parser takes line by line, and compares only what is left with its limit.
				auto const size = read.bytes + (parser.is_header_done() ? 0 : buffer.size());
				if (size > this->limits.header_bytes)
				{
					read.error = make_error_code(beast::http::error::header_limit);
				}
				if (parser.is_header_done() || read.error != beast::http::error::need_more)
				{
					co_return read;
				}
				if (!part)
				{
					part.emplace(this->memory, connection);
				}
				part->hold(read.bytes + buffer.capacity());
			}
			read.error = make_error_code(beast::error::timeout);
			co_return read;
		}

		// Reads the next bytes of a head into the connection's buffer.
		static asio::awaitable<error_code> read_piece(
			server_connection& connection, beast::http::request_parser<beast::http::string_body> const& parser)
		{
			auto& buffer = connection.unparsed();
			auto const room = beast::read_size(buffer, max_buffer_bytes);
			if (room == 0)
			{
				co_return make_error_code(beast::http::error::header_limit);
			}
			auto const [error, size] = co_await connection.stream().async_read_some(buffer.prepare(room), token);
			buffer.commit(size);
			auto const at_end =
				parser.got_some() ? beast::http::error::partial_message : beast::http::error::end_of_stream;
			co_return error == asio::error::eof ? make_error_code(at_end) : error;
		}

		// Reads one request, and sends 100 Continue when the client expects it.
		// part: set while the head arrives, if it does not at once, and when a body follows it.
		asio::awaitable<error_code> read_request(connection_pointer opened,
			beast::http::request_parser<beast::http::string_body>& parser, std::optional<request_memory>& part)
		{
			auto& connection = *opened;
			auto& stream = connection.stream();
			stream.expires_never();
			connection.set_read_timeout(this->limits.header_timeout);
			auto const [head_error, head_size] = co_await this->read_head(opened, parser, part);
			connection.unparsed().max_size(std::numeric_limits<std::size_t>::max());
			// From here on, nothing of the request can yield until its body arrives.
			part.reset();
			if (connection.end_read_timeout() && head_error)
			{
				co_return beast::error::timeout;
			}
			if (head_error)
			{
				co_return head_error;
			}
			if (!has_unambiguous_framing(parser.get()))
			{
				co_return make_error_code(beast::http::error::bad_field);
			}
			if (expects_continue(parser.get()))
			{
				stream.expires_after(this->limits.write_timeout);
				auto const interim = asio::buffer(continue_response);
				auto const [error, size] = co_await asio::async_write(stream, interim, token);
				if (error)
				{
					co_return error;
				}
			}
			if (parser.is_done())
			{
				co_return error_code();
			}
			stream.expires_never();
			part.emplace(this->memory, opened);
			auto const rest = this->limits.header_bytes - std::min(this->limits.header_bytes, head_size);
			connection.set_read_timeout(this->limits.read_timeout);
			auto const body_error = co_await this->read_body(connection, parser, *part, rest);
			if (connection.end_read_timeout() && body_error)
			{
				co_return beast::error::timeout;
			}
			co_return body_error;
		}

		// Reads the body of a request. max_framing_bytes: what may arrive beside the body's bytes and the chunks'
		// sizes, as chunk extensions and trailers.
		asio::awaitable<error_code> read_body(server_connection& connection,
			beast::http::request_parser<beast::http::string_body>& parser, request_memory& part,
			std::size_t max_framing_bytes)
		{
			auto& buffer = connection.unparsed();
			std::size_t chunks = 1;
			auto count_chunk = [&](std::uint64_t, beast::string_view, error_code&)
			{
				++chunks;
			};
			parser.on_chunk_header(count_chunk);
			parser.eager(true);
			// A chunk's size line, and the trailers, stay in the buffer until they have arrived in full.
			buffer.max_size(std::max(buffer.size(), max_framing_bytes + chunk_line_bytes));
			std::size_t parsed = 0;
			error_code error;
			while (!error && !parser.is_done())
			{
				auto const [read_error, size] =
					co_await beast::http::async_read_some(connection.stream(), buffer, parser, token);
				error = read_error;
				parsed += size;
				auto const& body = parser.get().body();
				// Behind the last byte the buffer holds the next request.
				auto const arrived = parsed + (parser.is_done() ? 0 : buffer.size());
				auto const is_beyond = arrived > body.size() + chunks * chunk_line_bytes + max_framing_bytes;
				if (error == beast::http::error::buffer_overflow || (!error && is_beyond))
				{
					error = make_error_code(beast::http::error::header_limit);
				}
				part.hold(body.size() + buffer.capacity());
				if (!error && connection.yielded())
				{
					error = make_error_code(beast::error::timeout);
				}
			}
			buffer.max_size(std::numeric_limits<std::size_t>::max());
			if (!error)
			{
				part.complete();
			}
			co_return error;
		}

		asio::any_io_executor executor;
		tcp::acceptor acceptor;
		server_limits limits;
		std::shared_ptr<server_memory> memory;
		handler handle;
		server_hooks hooks;
		std::set<connection_pointer> open;
		bool is_draining = false;
		bool is_stopping = false;
	};

	server::server(asio::any_io_executor executor, endpoint const& where, server_limits const& limits, handler handle,
		server_hooks hooks)
		: impl(
			  std::make_shared<implementation>(std::move(executor), where, limits, std::move(handle), std::move(hooks)))
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

	std::size_t server::held_bytes() const noexcept
	{
		return this->impl->held_bytes();
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
