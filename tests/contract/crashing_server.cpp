#include "crashing_server.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <godwittrestle/daemon/core_loop.hpp>

#include "test_servers.hpp"

namespace godwittrestle::testing
{
	namespace
	{
		namespace asio = boost::asio;
		using asio::ip::tcp;

		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		// Time until the server begins to answer.
		constexpr std::chrono::milliseconds start_time{20};
		constexpr std::chrono::milliseconds restart_time{300};
	}

	crashing_server::crashing_server(deadly_test given)
		: is_deadly(std::move(given))
		, where(free_endpoint())
		, acceptor(this->thread.context())
		, restart_timer(this->thread.context())
	{
		this->listen();
		this->thread.start();
	}

	crashing_server::~crashing_server()
	{
		this->thread.stop();
	}

	std::string crashing_server::address() const
	{
		return http::to_string(this->where);
	}

	std::vector<time_point> crashing_server::deadly_arrivals()
	{
		std::scoped_lock const lock(this->mutex);
		return this->arrivals;
	}

	void crashing_server::listen()
	{
		tcp::endpoint const local(asio::ip::make_address(this->where.address), this->where.port);
		this->acceptor.open(local.protocol());
		this->acceptor.set_option(tcp::acceptor::reuse_address(true));
		this->acceptor.bind(local);
		this->acceptor.listen();
		asio::co_spawn(this->thread.context(), this->accept(), asio::detached);
	}

	void crashing_server::end()
	{
		boost::system::error_code ignored;
		std::ignore = this->acceptor.close(ignored);
		for (auto const& each : std::exchange(this->open, {}))
		{
			if (auto const socket = each.lock())
			{
				std::ignore = socket->close(ignored);
			}
		}
		this->restart_timer.expires_after(restart_time);
		this->restart_timer.async_wait(
			[this](boost::system::error_code const& error)
			{
				if (!error)
				{
					this->listen();
				}
			});
	}

	asio::awaitable<void> crashing_server::accept()
	{
		for (;;)
		{
			auto [error, accepted] = co_await this->acceptor.async_accept(token);
			if (error)
			{
				co_return;
			}
			auto const socket = std::make_shared<tcp::socket>(std::move(accepted));
			this->open.push_back(socket);
			asio::co_spawn(this->thread.context(), this->serve(socket), asio::detached);
		}
	}

	asio::awaitable<void> crashing_server::serve(socket_pointer socket)
	{
		std::string buffered;
		std::array<char, 4096> piece{};
		for (;;)
		{
			auto const [error, size] =
				co_await asio::async_read_until(*socket, asio::dynamic_buffer(buffered), "\r\n\r\n", token);
			if (error)
			{
				co_return;
			}
			auto const whole_size = size + content_length(buffered.substr(0, size));
			while (buffered.size() < whole_size)
			{
				auto const [body_error, more] = co_await socket->async_read_some(asio::buffer(piece), token);
				if (body_error)
				{
					co_return;
				}
				buffered.append(piece.data(), more);
			}
			auto const text = buffered.substr(0, whole_size);
			buffered.erase(0, whole_size);
			asio::steady_timer timer(this->thread.context(), start_time);
			std::ignore = co_await timer.async_wait(token);
			if (!socket->is_open())
			{
				co_return;
			}
			if (this->is_deadly(text))
			{
				{
					std::scoped_lock const lock(this->mutex);
					this->arrivals.push_back(daemon::monotonic_now());
				}
				this->end();
				co_return;
			}
			auto const answer = fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt: {}\r\n"
											"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n",
				header_value(text, "Attempt"));
			std::ignore = co_await asio::async_write(*socket, asio::buffer(answer), token);
		}
	}
}
