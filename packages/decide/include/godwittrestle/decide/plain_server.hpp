#pragma once

#include <map>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/fwd.hpp>
#include <godwittrestle/decide/platform.hpp>

namespace godwittrestle::decide
{
	// Chooses servers of plain services. Servers without a recent failure come first, then servers of this daemon's
	// data centre, then the server that runs the fewest calls of this daemon.
	class plain_server_choice
	{
	  public:
		explicit plain_server_choice(data_centre_id own);

		// Returns a server of the pool that accepts work and is not excluded, or a null pointer if there is none.
		[[nodiscard]] listed_server const* choose(pool_id const& pool, std::vector<server_id> const& excluded,
			membership const& members, time_point now) const;

		void note_start(server_id const& server);
		// Ends a call. A server whose call failed is avoided for a while.
		void note_end(server_id const& server, bool failed, time_point now);

	  private:
		struct server_state
		{
			std::size_t running = 0;
			time_point avoid_until;
		};

		data_centre_id own_data_centre;
		std::map<server_id, server_state> states;
	};
}
