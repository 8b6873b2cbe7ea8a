#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/upstream.hpp>
#include <godwittrestle/routing/server.hpp>

namespace godwittrestle::gateway
{
	namespace asio = boost::asio;

	// Keeps connections to backend servers open for reuse. An idle connection is given up before the server would close
	// it, and at once when anything comes on it unasked.
	class connection_pool
	{
	  public:
		// on_connect: called for each new connection.
		connection_pool(asio::any_io_executor executor, std::function<void()> on_connect);

		// Returns a connection to a server; nothing when none came about in time or the server has as many as it may.
		// limit: most connections to this server. longest_idle: an older idle connection is not used.
		[[nodiscard]] asio::awaitable<http::upstream_pointer> acquire(
			routing::registered_server const& server, std::size_t limit, duration longest_idle, duration timeout);

		// Takes a connection back; one that can't be used again is closed.
		void release(routing::registered_server const& server, http::upstream_pointer const& connection);

		// Closes the connections of a server that is gone.
		void forget(server_id const& server);

		// Closes all idle connections; those in use are closed as they come back.
		void close();

		// Closes connections that were idle for too long or that the server has closed.
		void sweep(time_point now);

	  private:
		struct idle_connection
		{
			http::upstream_pointer connection;
			time_point since;
		};

		struct server_connections
		{
			incarnation started;
			std::string address;
			std::vector<idle_connection> idle;
			std::size_t in_use = 0;
		};

		[[nodiscard]] http::upstream_pointer take_idle(
			server_connections& connections, duration longest_idle, time_point now);

		asio::any_io_executor executor;
		std::function<void()> on_connect;
		std::map<server_id, server_connections> servers;
		bool is_closed = false;
	};
}
