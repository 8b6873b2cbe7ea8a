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

	// Keeps connections to backend servers open for reuse. An idle connection is closed before the server would close
	// it, and at once when the server sends anything on it or closes it.
	class connection_pool
	{
	  public:
		// Called after each attempt to open a new connection.
		using connect_callback = std::function<void(server_id const& server, bool is_connected)>;
		// Called when a server has closed or reset an idle connection, or sent something on it.
		using idle_end_callback = std::function<void(server_id const& server)>;

		connection_pool(asio::any_io_executor executor, connect_callback on_connect, idle_end_callback on_idle_end);

		// Returns a connection to a server, reused or new. Returns nothing when connecting fails or times out, the
		// server's address can't be parsed or the limit is reached. limit: the most connections to this server, idle
		// ones included. max_idle: a connection that was idle for longer is closed instead of reused.
		[[nodiscard]] asio::awaitable<http::upstream_pointer> acquire(
			routing::registered_server const& server, std::size_t limit, duration max_idle, duration timeout);

		// Returns a connection to the pool; one that can't be reused is closed.
		void release(routing::registered_server const& server, http::upstream_pointer const& connection);

		// Closes the idle connections of a server that was removed; those in use are closed when they are released.
		void remove_server(server_id const& server);

		// Closes the pool and drops its idle connections; those in use are closed when they are released.
		void close();

		// Closes the idle connections that were unused for too long, that the server has closed or on which it has sent
		// something.
		void close_expired(time_point now);

		// Returns the number of idle connections.
		[[nodiscard]] std::size_t idle_connections() const;

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
			server_id const& server, server_connections& connections, duration max_idle, time_point now);

		asio::any_io_executor executor;
		connect_callback on_connect;
		idle_end_callback on_idle_end;
		std::map<server_id, server_connections> servers;
		bool is_closed = false;
	};
}
