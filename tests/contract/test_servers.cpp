#include "test_servers.hpp"

#include <array>
#include <cstdint>
#include <list>
#include <set>
#include <tuple>
#include <utility>

#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace godwittrestle::testing
{
	namespace
	{
		namespace asio = boost::asio;
		using asio::ip::tcp;

		constexpr auto token = asio::as_tuple(asio::use_awaitable);

		tcp::endpoint any_loopback_port()
		{
			return {asio::ip::make_address("127.0.0.1"), 0};
		}

		// Returns a loopback address that no other process uses, so that a free port there stays free.
		asio::ip::address_v4 loopback_address_of_process()
		{
			constexpr asio::ip::address_v4::uint_type first = 0x7f400000;
			constexpr asio::ip::address_v4::uint_type process_bits = 0x3fffff;
			auto const process = static_cast<asio::ip::address_v4::uint_type>(::getpid());
			return asio::ip::address_v4(first | (process & process_bits));
		}

		std::string to_text(tcp::endpoint const& where)
		{
			return fmt::format("{}:{}", where.address().to_string(), where.port());
		}
	}

	fixed_response_server::fixed_response_server(asio::io_context& loop, std::string answer, after_response next_action)
		: acceptor(loop, any_loopback_port())
		, bytes(std::move(answer))
		, after(next_action)
	{
		asio::co_spawn(loop, this->serve(), asio::detached);
	}

	std::string fixed_response_server::address() const
	{
		return to_text(this->acceptor.local_endpoint());
	}

	asio::awaitable<void> fixed_response_server::serve()
	{
		std::list<tcp::socket> open;
		for (;;)
		{
			auto [error, socket] = co_await this->acceptor.async_accept(token);
			if (error)
			{
				co_return;
			}
			std::array<char, 65536> received{};
			auto const [ended, size] = co_await socket.async_read_some(asio::buffer(received), token);
			this->requests.emplace_back(received.data(), size);
			std::ignore = co_await asio::async_write(socket, asio::buffer(this->bytes), token);
			if (this->after == after_response::resets)
			{
				asio::steady_timer timer(this->acceptor.get_executor(), std::chrono::milliseconds(30));
				std::ignore = co_await timer.async_wait(token);
				socket.set_option(tcp::socket::linger(true, 0));
				socket.close();
				continue;
			}
			if (this->after == after_response::stays_silent)
			{
				open.push_back(std::move(socket));
			}
		}
	}

	repeating_server::repeating_server(
		asio::io_context& loop, std::string initial, std::string repetition, std::chrono::milliseconds pause)
		: acceptor(loop, any_loopback_port())
		, first_bytes(std::move(initial))
		, repeated_bytes(std::move(repetition))
		, interval(pause)
	{
		asio::co_spawn(loop, this->serve(), asio::detached);
	}

	std::string repeating_server::address() const
	{
		return to_text(this->acceptor.local_endpoint());
	}

	asio::awaitable<void> repeating_server::serve()
	{
		for (;;)
		{
			auto [error, socket] = co_await this->acceptor.async_accept(token);
			if (error)
			{
				co_return;
			}
			asio::co_spawn(this->acceptor.get_executor(), this->send_repeatedly(std::move(socket)), asio::detached);
		}
	}

	asio::awaitable<void> repeating_server::send_repeatedly(tcp::socket socket)
	{
		std::array<char, 65536> received{};
		std::ignore = co_await socket.async_read_some(asio::buffer(received), token);
		auto [error, size] = co_await asio::async_write(socket, asio::buffer(this->first_bytes), token);
		asio::steady_timer timer(socket.get_executor());
		while (!error)
		{
			timer.expires_after(this->interval);
			std::ignore = co_await timer.async_wait(token);
			std::tie(error, size) = co_await asio::async_write(socket, asio::buffer(this->repeated_bytes), token);
		}
	}

	http::endpoint free_endpoint()
	{
		static std::set<std::uint16_t> given_before;
		auto const address = loopback_address_of_process();
		asio::io_context loop;
		for (;;)
		{
			tcp::acceptor const acceptor(loop, tcp::endpoint(address, 0));
			auto const port = acceptor.local_endpoint().port();
			if (given_before.insert(port).second)
			{
				return {address.to_string(), port};
			}
		}
	}

	std::string refused_address(asio::io_context& loop)
	{
		tcp::acceptor const acceptor(loop, any_loopback_port());
		return to_text(acceptor.local_endpoint());
	}

	std::string http_answer(std::string const& status, std::string const& headers, std::string const& body)
	{
		return fmt::format("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", status, headers, body.size(), body);
	}

	std::string header_value(std::string const& head, std::string const& name)
	{
		auto const line_start = "\n" + name + ": ";
		auto const begin = head.find(line_start);
		if (begin == std::string::npos)
		{
			return "";
		}
		auto const value = begin + line_start.size();
		return head.substr(value, head.find('\r', value) - value);
	}

	std::size_t content_length(std::string const& head)
	{
		auto const value = header_value(head, "Content-Length");
		return value.empty() ? 0 : std::stoul(value);
	}
}
