#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/http/message.hpp>

namespace godwittrestle::testing
{
	// A backend server on a thread of its own. It answers each request with a short stream, but ends, with all its
	// connections, when it begins to answer a deadly one, and listens again at the same address a moment later.
	class crashing_server
	{
	  public:
		// Returns whether the server ends when it begins to answer a request. text: the head and body of the request.
		using deadly_test = std::function<bool(std::string const& text)>;

		explicit crashing_server(deadly_test is_deadly);
		~crashing_server();

		crashing_server(crashing_server const&) = delete;
		crashing_server& operator=(crashing_server const&) = delete;
		crashing_server(crashing_server&&) = delete;
		crashing_server& operator=(crashing_server&&) = delete;

		[[nodiscard]] std::string address() const;

		// Returns the times at which deadly requests arrived. The server has ended at each of them.
		[[nodiscard]] std::vector<time_point> deadly_arrivals();

	  private:
		using socket_pointer = std::shared_ptr<boost::asio::ip::tcp::socket>;

		void listen();
		void end();
		[[nodiscard]] boost::asio::awaitable<void> accept();
		[[nodiscard]] boost::asio::awaitable<void> serve(socket_pointer socket);

		deadly_test is_deadly;
		std::mutex mutex;
		std::vector<time_point> arrivals;
		daemon::io_thread thread;
		http::endpoint where;
		boost::asio::ip::tcp::acceptor acceptor;
		boost::asio::steady_timer restart_timer;
		std::list<std::weak_ptr<boost::asio::ip::tcp::socket>> open;
	};
}
