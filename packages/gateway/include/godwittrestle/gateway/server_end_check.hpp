#pragma once

#include <functional>
#include <map>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/http/port_probe.hpp>
#include <godwittrestle/routing/server.hpp>

namespace godwittrestle::gateway
{
	// Finds out whether the process of a backend server has ended after a connection to it broke. A connection also
	// breaks when the network, the server or this daemon resets it; only a host that refuses new connections shows that
	// the process is gone. Used only on the thread that serves callers.
	class server_end_check
	{
	  public:
		// Called with what the check has shown.
		using result_callback = std::function<void(http::port_state)>;

		server_end_check(boost::asio::any_io_executor executor, event_log log);

		// Starts a check. Connections to one server that break together share one check. The callback is called when it
		// has ended, never within this call.
		void start(routing::registered_server const& server, result_callback callback);

	  private:
		[[nodiscard]] boost::asio::awaitable<void> run(routing::registered_server server);

		boost::asio::any_io_executor executor;
		event_log log;
		std::map<server_id, std::vector<result_callback>> waiting;
	};
}
