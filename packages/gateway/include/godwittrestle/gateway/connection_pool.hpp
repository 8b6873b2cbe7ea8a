#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/upstream.hpp>
#include <godwittrestle/routing/server.hpp>

namespace godwittrestle::gateway
{
	namespace asio = boost::asio;

	// A connection to a backend server, and what is known of the process at its other end. One process holds a
	// connection from the accept to its end, so what it has stated on the connection stays true as long as that lives.
	struct server_connection
	{
		// Null when no connection could be had.
		http::upstream_pointer stream;
		// The start that the process has stated on this connection, or the name that a routing::server_watch has given
		// the process; nothing while it is not known.
		std::optional<incarnation> holder = std::nullopt;
		// Time at which the process was last asked on this connection.
		std::optional<time_point> asked_at = std::nullopt;
		// Time at which it answered that question.
		std::optional<time_point> answered_at = std::nullopt;
		// Time by which the connection was open.
		time_point opened_at;

		[[nodiscard]] explicit operator bool() const noexcept
		{
			return this->stream != nullptr;
		}
	};

	// Which idle connection to a server is taken first.
	enum class connection_preference : std::uint8_t
	{
		latest,
		// One whose process is known.
		known_holder,
	};

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
		[[nodiscard]] asio::awaitable<server_connection> acquire(routing::registered_server const& server,
			std::size_t limit, duration max_idle, duration timeout,
			connection_preference preference = connection_preference::latest);

		// Returns a connection to the pool; one that can't be reused is closed, and one whose process has started
		// before the server's entry says, since that process has ended.
		void release(routing::registered_server const& server, server_connection const& connection);

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
			server_connection connection;
			time_point since;
		};

		struct server_connections
		{
			incarnation started;
			std::string address;
			std::vector<idle_connection> idle;
			std::size_t in_use = 0;
		};

		// Closes the idle connections that are not known to be held by a process of this start or a later one.
		static void begin_process(server_connections& connections, incarnation started);
		[[nodiscard]] server_connection take_idle(server_id const& server, server_connections& connections,
			duration max_idle, connection_preference preference, time_point now);

		asio::any_io_executor executor;
		connect_callback on_connect;
		idle_end_callback on_idle_end;
		std::map<server_id, server_connections> servers;
		bool is_closed = false;
	};
}
