#pragma once

#include <cstddef>
#include <map>
#include <set>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// Tells whether this daemon reaches the backend servers at all. One server that fails says something about the
	// server; when several fail and nothing has been heard of any, of whatever service, the daemon's own path is cut or
	// all servers are gone.
	class server_reach
	{
	  public:
		// Records that something arrived from a server, or that it accepted a connection.
		void note_heard(time_point now);

		// Records that a server could not be connected to, broke a connection off or left a call unanswered.
		void note_failure(server_id const& server);

		// Records whether a new connection to a server could be opened.
		void note_connect(server_id const& server, bool is_connected, time_point now);

		// Returns whether new connections can be opened, as far as is known. Open ones may live on while they can't.
		[[nodiscard]] bool can_connect(time_point now) const;

		// Returns whether no server is reached. known_servers: number of servers that are in service.
		[[nodiscard]] bool is_cut_off(std::size_t known_servers, time_point now) const;

		// Returns whether so many servers have failed, and nothing has been heard since, that the failure of one says
		// nothing about it.
		[[nodiscard]] bool is_doubtful() const noexcept;

		// Returns the time since something arrived from any server.
		[[nodiscard]] duration unheard_for(time_point now) const;

		// Returns the number of servers that have failed since then.
		[[nodiscard]] std::size_t failed_servers() const noexcept
		{
			return this->failed.size();
		}

	  private:
		time_point heard_at;
		std::set<server_id> failed;
		// Servers to which a new connection failed since the last one that was opened, and when it last did.
		std::map<server_id, time_point> unconnected;
	};
}
