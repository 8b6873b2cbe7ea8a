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
	// A server on its own thread. It answers each call, on any connection, with the next text of its script. To a call
	// whose text is empty, and to all calls after the end of the script, it sends no answer and keeps the connection
	// open.
	class scripted_http_server
	{
	  public:
		// late_bytes: sent before the answers to all but the first call of a connection.
		explicit scripted_http_server(std::deque<std::string> script, std::string late_bytes = "");
		~scripted_http_server();

		scripted_http_server(scripted_http_server const&) = delete;
		scripted_http_server& operator=(scripted_http_server const&) = delete;
		scripted_http_server(scripted_http_server&&) = delete;
		scripted_http_server& operator=(scripted_http_server&&) = delete;

		[[nodiscard]] http::endpoint listen_address() const;

		// Returns the method and target of each call so far. May be called from any thread.
		[[nodiscard]] std::vector<std::string> calls();

		// Returns the number of connections that the peer has closed. May be called from any thread.
		[[nodiscard]] int closed_connections() const noexcept
		{
			return this->closed_count;
		}

	  private:
		void run();
		boost::asio::awaitable<void> accept();
		boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
		[[nodiscard]] std::string next_answer(std::string call);

		std::string late_bytes;
		boost::asio::io_context loop{1};
		boost::asio::ip::tcp::acceptor acceptor;
		std::mutex mutex;
		std::deque<std::string> script;
		std::vector<std::string> received;
		std::atomic<int> closed_count = 0;
		std::thread runner;
	};
}
