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
	// Chooses servers of plain services: the one with the fewest calls of this daemon, those of its own data centre and
	// those without recent failures first.
	class plain_server_choice
	{
	  public:
		explicit plain_server_choice(data_centre_id own);

		// Returns a server that takes work, or nothing.
		[[nodiscard]] listed_server const* choose(pool_id const& pool, std::vector<server_id> const& excluded,
			membership const& members, time_point now) const;

		void note_start(server_id const& server);
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
