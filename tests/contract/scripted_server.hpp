#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <godwittrestle/http/message.hpp>

namespace godwittrestle::testing
{
	// A server that reads a request and then sends fixed bytes, whatever was asked.
	class scripted_server
	{
	  public:
		enum class ending
		{
			closes,
			// The connection stays open and nothing more is said.
			stays_silent,
		};

		scripted_server(boost::asio::io_context& loop, std::string bytes, ending end);

		[[nodiscard]] std::string address() const;

		// What was received, one text for each connection.
		[[nodiscard]] std::vector<std::string> const& received() const noexcept
		{
			return this->requests;
		}

	  private:
		boost::asio::awaitable<void> serve();

		boost::asio::ip::tcp::acceptor acceptor;
		std::string bytes;
		ending end;
		std::vector<std::string> requests;
	};

	// A server that answers with a beginning and then sends the same bytes again and again until the caller closes.
	class dripping_server
	{
	  public:
		dripping_server(
			boost::asio::io_context& loop, std::string beginning, std::string drip, std::chrono::milliseconds interval);

		[[nodiscard]] std::string address() const;

	  private:
		boost::asio::awaitable<void> serve();
		boost::asio::awaitable<void> send_on(boost::asio::ip::tcp::socket socket);

		boost::asio::ip::tcp::acceptor acceptor;
		std::string beginning;
		std::string drip;
		std::chrono::milliseconds interval;
	};

	// Returns an address at which nothing listens.
	[[nodiscard]] std::string refused_address(boost::asio::io_context& loop);

	// Returns an HTTP answer's bytes.
	[[nodiscard]] std::string http_answer(
		std::string const& status, std::string const& headers, std::string const& body);

	// Runs the loop until the work is done and returns its outcome; fails by exception after a generous time.
	template <typename T>
	[[nodiscard]] T run_to_end(boost::asio::io_context& loop, boost::asio::awaitable<T> work)
	{
		std::optional<T> outcome;
		boost::asio::co_spawn(loop, std::move(work),
			[&](std::exception_ptr const& error, T value)
			{
				if (!error)
				{
					outcome = std::move(value);
				}
				loop.stop();
			});
		loop.restart();
		loop.run_for(std::chrono::seconds(60));
		return std::move(outcome).value();
	}
}
