#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::decide
{
	// What the core is told once, at its start.
	struct core_settings
	{
		instance_id instance;
		incarnation started;
		data_centre_id data_centre;
		// Wall-clock time at the epoch of time_point, in microseconds since 1970; orders the time line over processes.
		std::uint64_t wall_offset = 0;
		// Keeps issued idempotency keys from being forged; lives in memory only.
		std::string key_secret;
		duration heartbeat_interval = milliseconds(500);
		// A peer that has been silent for this long is taken for dead.
		duration peer_timeout = seconds(2);
		duration load_poll_interval = milliseconds(100);
		// A lease without renewal lapses after this time.
		duration lease_lifetime = seconds(3);
		duration key_lifetime = std::chrono::minutes(10);
		// Recorded answers of finished keyed calls, in bytes; older ones are dropped first.
		byte_count key_answer_budget{16'777'216};
		// Above this many daemons the fleet uses the ring instead of the full mesh.
		std::size_t full_mesh_limit = 32;
		// Most engines of one cell.
		std::size_t cell_size = 32;
	};

	// Mechanisms that a test can switch off, to show that the scenario which proves one fails without it.
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

	// Which decode slots the owner counts on when it grants a prefill.
	enum class slot_rule
	{
		// The slot is free when the prefill starts and is held from then on.
		with_reservation,
		// No reservation: grants a prefill whatever the slots.
		without_reservation,
	};

	// Behaviour that varies between deployments, tests and experiments.
	struct hooks
	{
		// Estimates the tokens of a text.
		std::function<token_count(std::string_view)> count_tokens;
		slot_rule slots = slot_rule::with_reservation;
		mechanism_set mechanisms;
	};

	// Returns hooks with the usual behaviour: four bytes of text are counted as one token.
	[[nodiscard]] hooks default_hooks();
}
