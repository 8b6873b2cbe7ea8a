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

	bool is_proved_replaced(registered_server const& called, process_evidence const& seen) noexcept
	{
		auto const states_other = states_start(called) && seen.stated != incarnation() && seen.stated != called.started;
		return seen.is_replaced || states_other;
	}

	process_state judge_process(registered_server const& called, process_evidence const& seen) noexcept
	{
		if (seen.is_refused || is_proved_replaced(called, seen))
		{
			return process_state::ended;
		}
		auto const is_confirmed = states_start(called) && seen.stated == called.started;
		auto const can_be_asked = states_start(called) && !seen.wants_pause;
		return is_confirmed || (seen.is_accepted && !can_be_asked) ? process_state::same : process_state::unknown;
	}

	std::optional<incarnation> find_writer(incarnation sent_to, process_evidence const& seen, request_id const& attempt)
	{
		if (seen.stated == incarnation())
		{
			return std::nullopt;
		}
		auto const is_running = seen.running && seen.running->contains(attempt);
		return seen.stated == sent_to || is_running ? std::optional(seen.stated) : std::nullopt;
	}
}
