#pragma once

#include <cstdint>
#include <string_view>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/server.hpp>

namespace godwittrestle::routing
{
	// What an attempt to reach the process of a backend server has shown.
	struct process_evidence
	{
		// Time at which the attempt began. It tells nothing of what has happened since.
		time_point asked_at;
		// The host is up, and no process listens at the server's address.
		bool is_refused = false;
		// A process accepted a connection.
		bool is_accepted = false;
		// A process answered the question for its start.
		bool has_answered = false;
		// The start that the process stated; 0 when it was not asked, gave no answer or stated none.
		incarnation stated;
	};

	// What has become of the process that a call was sent to.
	enum class process_state : std::uint8_t
	{
		same,
		ended,
		// Nothing proves either.
		unknown,
	};

	[[nodiscard]] std::string_view to_string(process_state state) noexcept;

	// Returns whether a server can be asked for its start: engines state it, and the entry must state one to compare.
	[[nodiscard]] bool states_start(registered_server const& server) noexcept;

	// Returns what has become of the process of a server. called: the server's entry when the call was sent. A port
	// that accepts connections proves nothing where the server states its start, since another process may have taken
	// its place; of other servers nothing better can be had.
	[[nodiscard]] process_state judge_process(registered_server const& called, process_evidence const& seen) noexcept;
}
