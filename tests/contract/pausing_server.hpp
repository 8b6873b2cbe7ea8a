#pragma once

#include <array>
#include <string>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/message.hpp>

namespace godwittrestle::testing
{
	// A server that sends the second part of its answer after a time of silence.
	class pausing_server
	{
	  public:
		pausing_server(
			boost::asio::io_context& loop, std::string first_part, std::string second_part, duration silence_time)
			: acceptor(loop, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
			, first(std::move(first_part))
			, second(std::move(second_part))
			, silence(silence_time)
		{
			boost::asio::co_spawn(loop, this->accept(), boost::asio::detached);
		}

		[[nodiscard]] std::string address() const
		{
			return http::to_string({"127.0.0.1", this->acceptor.local_endpoint().port()});
		}

		[[nodiscard]] int calls() const noexcept
		{
			return this->received;
		}

	  private:
		static constexpr auto token = boost::asio::as_tuple(boost::asio::use_awaitable);

		boost::asio::awaitable<void> accept()
		{
			while (true)
			{
				auto [error, socket] = co_await this->acceptor.async_accept(token);
				if (error)
				{
					co_return;
				}
				boost::asio::co_spawn(
					this->acceptor.get_executor(), this->serve(std::move(socket)), boost::asio::detached);
			}
		}

		boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
		{
			constexpr std::size_t max_request_bytes = 4096;
			std::array<char, max_request_bytes> request{};
			auto const [error, size] = co_await socket.async_read_some(boost::asio::buffer(request), token);
			if (error)
			{
				co_return;
			}
			++this->received;
			std::ignore = co_await boost::asio::async_write(socket, boost::asio::buffer(this->first), token);
			boost::asio::steady_timer timer(socket.get_executor(), this->silence);
			std::ignore = co_await timer.async_wait(token);
			std::ignore = co_await boost::asio::async_write(socket, boost::asio::buffer(this->second), token);
		}

		boost::asio::ip::tcp::acceptor acceptor;
		std::string first;
		std::string second;
		duration silence;
		int received = 0;
	};
}
