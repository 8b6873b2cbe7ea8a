#pragma once

#include <atomic>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <godwittrestle/http/message.hpp>

namespace godwittrestle::testing
{
	// A server on a thread of its own that answers each call, on any connection, with the next text of its script. An
	// empty text is no answer at all, and so is everything after the last one.
	class scripted_calls
	{
	  public:
		explicit scripted_calls(std::deque<std::string> script);
		~scripted_calls();

		scripted_calls(scripted_calls const&) = delete;
		scripted_calls& operator=(scripted_calls const&) = delete;
		scripted_calls(scripted_calls&&) = delete;
		scripted_calls& operator=(scripted_calls&&) = delete;

		[[nodiscard]] http::endpoint where() const;

		// Method and target of each call so far.
		[[nodiscard]] std::vector<std::string> calls();

		// Connections that the other side has closed.
		[[nodiscard]] int closed() const noexcept
		{
			return this->ended;
		}

	  private:
		void run();
		boost::asio::awaitable<void> accept();
		boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
		[[nodiscard]] std::string next(std::string call);

		boost::asio::io_context loop{1};
		boost::asio::ip::tcp::acceptor acceptor;
		std::mutex mutex;
		std::deque<std::string> script;
		std::vector<std::string> received;
		std::atomic<int> ended = 0;
		std::thread runner;
	};
}
