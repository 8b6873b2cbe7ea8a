#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::decide
{
	// Settings that the core receives once, at its start.
	struct core_settings
	{
		instance_id instance;
		incarnation started;
		data_centre_id data_centre;
		// Wall-clock time at the epoch of time_point, in microseconds since 1970; used to order the timeline events of
		// different processes.
		std::uint64_t wall_offset = 0;
		// Secret of the MAC that protects idempotency keys against forgery; kept in memory only.
		std::string key_secret;
		duration heartbeat_interval = milliseconds(500);
		// A peer that has sent nothing for this long is considered dead.
		duration peer_timeout = seconds(2);
		duration load_poll_interval = milliseconds(100);
		// A lease that is not renewed for this long lapses.
		duration lease_lifetime = seconds(3);
		duration key_lifetime = std::chrono::minutes(10);
		// Size limit, in bytes, of the recorded answers of finished keyed calls; the oldest answers are dropped first.
		byte_count key_answer_budget{16'777'216};
		// With more daemons than this, heartbeats follow the hash ring instead of the full mesh, and only some daemons
		// of each data centre watch the configuration service.
		std::size_t full_mesh_limit = 32;
		// Maximum number of engines in one cell.
		std::size_t cell_size = 32;
	};

	// Mechanisms that a test can switch off, to show that the scenario for a mechanism fails without it.
	struct mechanism_set
	{
		bool key_recorded_before_send = true;
		bool issuer_checks_start_time = true;
		bool orphan_cleanup = true;
		bool disown_proof = true;
		bool cancel_retry = true;
		bool token_deduplication = true;
		bool leaving_exclusion = true;
		bool lease_expiry_check = true;
		bool version_order = true;
		bool out_of_turn_refusal = true;
		bool order_repetition = true;
		bool orders_need_current_policy = true;
		bool wake_up_check = true;
		bool immediate_refusal = true;
		bool key_table_move = true;
		bool peer_config_exchange = true;
		bool stall_detection = true;
	};

	// Whether the cell owner reserves a decode slot when it grants a prefill.
	enum class slot_rule
	{
		// Grants a prefill only with a free decode slot, and holds the slot from then on.
		with_reservation,
		// Grants a prefill even if no decode slot is free.
		without_reservation,
	};

	// Behaviour that varies between deployments, tests and experiments.
	struct hooks
	{
		// Estimates the number of tokens in a text.
		std::function<token_count(std::string_view)> count_tokens;
		slot_rule slots = slot_rule::with_reservation;
		mechanism_set mechanisms;
	};

	// Returns the default hooks: four bytes of text count as one token.
	[[nodiscard]] hooks default_hooks();
}
