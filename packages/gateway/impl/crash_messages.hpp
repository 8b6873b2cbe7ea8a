#pragma once

#include <functional>

#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/routing.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::gateway
{
	// Adds reports and answers to a notice: those learnt a moment ago; all while another daemon has just started; else
	// one of them, so that a daemon that has missed messages learns of all in time. Their number is bounded.
	// has_arrivals: whether another daemon has just started or returned. draw: returns a uniform random number in [0,
	// 1).
	void add_crash_evidence(wire::GatewayNotice& notice, routing::crash_evidence const& evidence, bool has_arrivals,
		std::function<double()> const& draw, time_point now);

	// Records the reports and answers of a notice. Ignores malformed ones.
	void apply_crash_evidence(wire::GatewayNotice const& notice, routing::crash_evidence& evidence, time_point now);

	// Logs the blocks that began or ended since the last call.
	void log_block_changes(routing::crash_evidence& evidence, event_log const& log, time_point now);

	// Returns the fields that say why a request is blocked.
	[[nodiscard]] std::vector<decide::event_field> block_fields(routing::crash_block const& block, time_point now);
}
