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
		// No policy yet, or not all peers heard.
		starting,
		ready,
		leaving,
	};

	[[nodiscard]] std::string_view to_string(readiness state) noexcept;

	struct engine_status
	{
		server_id server;
		bool usable = false;
		// Requests running, and slots left; the latter for decode engines only.
		std::size_t running = 0;
		int free_slots = 0;
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

	// What a daemon shows of itself to operators.
	struct core_status
	{
		readiness state = readiness::starting;
		// False after a pause, until a peer or the platform has been heard again.
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

	// Why a request would go where.
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
