#include <godwittrestle/routing/process_evidence.hpp>

namespace godwittrestle::routing
{
	bool process_evidence::has_answered() const noexcept
	{
		return !std::holds_alternative<no_statement>(this->statement) &&
			   !std::holds_alternative<pause_wanted>(this->statement);
	}

	std::optional<incarnation> process_evidence::stated() const noexcept
	{
		auto const* const stated = std::get_if<start_stated>(&this->statement);
		return stated == nullptr ? std::nullopt : std::optional(stated->start);
	}

	bool process_evidence::names_run(request_id const& attempt) const
	{
		auto const* const stated = std::get_if<start_stated>(&this->statement);
		return stated != nullptr && stated->running && stated->running->contains(attempt);
	}

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

	registered_server as_stream_server(registered_server entry)
	{
		entry.role = entry.role == server_role::plain ? server_role::decode : entry.role;
		return entry;
	}

	bool is_proved_replaced(registered_server const& called, process_evidence const& seen) noexcept
	{
		auto const stated = seen.stated();
		return std::holds_alternative<other_process>(seen.statement) ||
			   (states_start(called) && stated && *stated != called.started);
	}

	process_state judge_start(registered_server const& called, process_evidence const& seen) noexcept
	{
		if (seen.port == port_evidence::refused || is_proved_replaced(called, seen))
		{
			return process_state::ended;
		}
		auto const is_confirmed = states_start(called) && seen.stated() == called.started;
		return is_confirmed ? process_state::same : process_state::unknown;
	}

	process_state judge_process(registered_server const& called, process_evidence const& seen) noexcept
	{
		auto const judged = judge_start(called, seen);
		auto const can_be_asked = states_start(called) && !std::holds_alternative<pause_wanted>(seen.statement);
		auto const is_accepted = seen.port == port_evidence::accepted || seen.has_answered();
		return judged == process_state::unknown && is_accepted && !can_be_asked ? process_state::same : judged;
	}

	std::optional<incarnation> find_writer(incarnation sent_to, process_evidence const& seen, request_id const& attempt)
	{
		auto const* const stated = std::get_if<start_stated>(&seen.statement);
		if (stated == nullptr)
		{
			return std::nullopt;
		}
		return stated->start == sent_to || seen.names_run(attempt) ? std::optional(stated->start) : std::nullopt;
	}
}
