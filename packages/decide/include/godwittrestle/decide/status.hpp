#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/counters.hpp>

namespace godwittrestle::decide
{
	enum class readiness
	{
		// No policy or no instance list yet, or a listed daemon has not been heard from and the startup timeout has not
		// passed.
		starting,
		ready,
		leaving,
	};

	[[nodiscard]] std::string_view to_string(readiness state) noexcept;

	struct engine_status
	{
		server_id server;
		bool usable = false;
		std::size_t running = 0;
		// Decode engines only.
		int free_slots = 0;
		// Requests that a decode engine reports but that belong to no current or released lease of the cell.
		std::uint32_t foreign = 0;
	};

	struct cell_status
	{
		cell_id cell;
		std::size_t waiting = 0;
		std::size_t leased = 0;
		std::vector<engine_status> engines;
	};

	struct refusal_status
	{
		platform_version version;
		std::string reason;
	};

	// The state of a daemon as shown to operators.
	struct core_status
	{
		readiness state = readiness::starting;
		// False after a pause of the process, until a peer has answered a new heartbeat, the daemon has no peers, or a
		// grace period has passed.
		bool trusted = true;
		platform_version config_version;
		std::uint64_t revision = 0;
		std::string digest;
		duration config_age{};
		platform_version list_version;
		std::vector<instance_id> live_daemons;
		std::vector<cell_status> owned_cells;
		std::vector<refusal_status> refused;
		std::size_t completions = 0;
		std::size_t plain_calls = 0;
		std::size_t keyed_calls = 0;
		counters totals;
	};

	// Explains where a request to a service would go, and why.
	struct explanation
	{
		bool known_service = false;
		std::string kind;
		cell_id cell;
		std::string owner;
		std::vector<server_id> candidates;
		std::string objective;
		std::uint32_t priority = 0;
		duration patience{};
		std::string note;
	};
}
