#include <godwittrestle/http/client.hpp>

#include <array>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
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
		constexpr std::size_t max_idle_per_server = 32;
		constexpr std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
		constexpr std::size_t piece_bytes = 16'384;
		constexpr duration connect_timeout = seconds(1);

		using connection = std::unique_ptr<beast::tcp_stream>;
		using head_parser = beast::http::response_parser<beast::http::buffer_body>;

		beast::http::request<beast::http::string_body> to_message(endpoint const& where, request&& from)
		{
			beast::http::request<beast::http::string_body> message;
			message.version(http_1_1);
			message.method_string(from.method);
			message.target(from.target);
			message.set(beast::http::field::host, to_string(where));
			for (auto const& each : from.headers)
			{
				message.set(each.name, each.value);
			}
			message.body() = std::move(from.body);
			message.prepare_payload();
			return message;
		}

		template <typename Message>
		response to_response(Message const& message)
		{
			response converted;
			converted.status = message.result_int();
			for (auto const& field : message)
			{
				converted.headers.push_back({std::string(field.name_string()), std::string(field.value())});
			}
			return converted;
		}
	}

	class client::implementation
	{
	  public:
		explicit implementation(asio::any_io_executor io_executor)
			: executor(std::move(io_executor))
		{
		}

		// Returns an idle connection that is open and has no unread bytes, or a null pointer. Drops the others on the
		// way.
		[[nodiscard]] connection take_idle(std::string const& where)
		{
			auto& list = this->idle[where];
			while (!list.empty())
			{
				auto candidate = std::move(list.back());
				list.pop_back();
				if (peek_state(candidate->socket()) == connection_state::no_data)
				{
					return candidate;
				}
			}
			return nullptr;
		}

		// Keeps a connection for reuse, or closes it when enough connections to this server are idle.
		void release(std::string const& where, connection used)
		{
			auto& list = this->idle[where];
			if (list.size() < max_idle_per_server)
			{
				used->expires_never();
				list.push_back(std::move(used));
			}
		}

		// Opens a connection. Returns a null pointer when that fails.
		asio::awaitable<connection> connect(endpoint const& where, duration timeout)
		{
			auto fresh = std::make_unique<beast::tcp_stream>(this->executor);
			error_code malformed;
			tcp::endpoint const target(asio::ip::make_address(where.address, malformed), where.port);
			fresh->expires_after(std::min(timeout, connect_timeout));
			auto const [error] = co_await fresh->async_connect(target, token);
			if (error || malformed)
			{
				co_return nullptr;
			}
			std::ignore = fresh->socket().set_option(tcp::no_delay(true), malformed);
			co_return fresh;
		}

		asio::any_io_executor executor;
		std::map<std::string, std::vector<connection>> idle;
	};

	client::client(asio::any_io_executor executor)
		: impl(std::make_shared<implementation>(std::move(executor)))
	{
	}

	client::~client() = default;

	asio::awaitable<call_result> client::call(endpoint where, request message, call_options options)
	{
		auto const shared = this->impl;
		auto const name = to_string(where);
		auto outgoing = to_message(where, std::move(message));
		auto link = options.fresh_connection ? nullptr : shared->take_idle(name);
		if (!link)
		{
			link = co_await shared->connect(where, options.timeout);
		}
		if (!link)
		{
			co_return client_failure::not_connected;
		}
		link->expires_after(options.timeout);
		auto const [write_error, written] = co_await beast::http::async_write(*link, outgoing, token);
		if (write_error)
		{
			co_return client_failure::lost;
		}
		beast::flat_buffer buffer;
		beast::http::response_parser<beast::http::string_body> parser;
		parser.body_limit(max_body_bytes);
		auto const [read_error, size] = co_await beast::http::async_read(*link, buffer, parser, token);
		if (read_error)
		{
			co_return client_failure::lost;
		}
		auto answer = to_response(parser.get());
		answer.body = std::move(parser.get().body());
		if (parser.get().keep_alive() && !options.fresh_connection)
		{
			shared->release(name, std::move(link));
		}
		co_return answer;
	}

	asio::awaitable<call_result> client::stream(endpoint where, request message, call_options options,
		std::function<asio::awaitable<void>(std::string_view)> on_piece)
	{
		auto const shared = this->impl;
		auto outgoing = to_message(where, std::move(message));
		auto const link = co_await shared->connect(where, options.timeout);
		if (!link)
		{
			co_return client_failure::not_connected;
		}
		link->expires_after(options.timeout);
		auto const [write_error, written] = co_await beast::http::async_write(*link, outgoing, token);
		if (write_error)
		{
			co_return client_failure::lost;
		}
		beast::flat_buffer buffer;
		head_parser parser;
		parser.body_limit(boost::none);
		auto const [head_error, head_size] = co_await beast::http::async_read_header(*link, buffer, parser, token);
		if (head_error)
		{
			co_return client_failure::lost;
		}
		auto answer = to_response(parser.get());
		link->expires_never();
		std::array<char, piece_bytes> piece{};
		while (!parser.is_done())
		{
			parser.get().body().data = piece.data();
			parser.get().body().size = piece.size();
			auto const [error, size] = co_await beast::http::async_read_some(*link, buffer, parser, token);
			if (error && error != beast::http::error::need_buffer)
			{
				co_return client_failure::lost;
			}
			std::string_view const received(piece.data(), piece.size() - parser.get().body().size);
			if (answer.status != 200)
			{
				answer.body += received;
			}
			else if (!received.empty())
			{
				co_await on_piece(received);
			}
		}
		co_return answer;
	}
}
