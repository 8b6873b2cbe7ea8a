#include <godwittrestle/routing/process_evidence.hpp>

namespace godwittrestle::routing
{
	std::string_view to_string(process_state state) noexcept
	{
		switch (state)
		{
			case process_state::same:
				return "same";
			case process_state::ended:
				return "ended";
			case process_state::unknown:
				return "unknown";
		}
		return "unknown";
	}

	bool states_start(registered_server const& server) noexcept
	{
		return server.role != server_role::plain && server.started != incarnation();
	}

	process_state judge_process(registered_server const& called, process_evidence const& seen) noexcept
	{
		if (seen.is_refused)
		{
			return process_state::ended;
		}
		if (states_start(called) && seen.stated != incarnation())
		{
			return seen.stated == called.started ? process_state::same : process_state::ended;
		}
		return seen.is_accepted && !states_start(called) ? process_state::same : process_state::unknown;
	}
}
