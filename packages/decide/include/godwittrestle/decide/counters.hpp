#pragma once

#include <cstdint>
#include <map>

#include <godwittrestle/decide/action.hpp>

namespace godwittrestle::decide
{
	// Totals since the start of the daemon, for metrics and reports.
	struct counters
	{
		std::uint64_t completions = 0;
		std::uint64_t answers = 0;
		// Answers that met both the first-token and the per-token target.
		std::uint64_t answers_in_time = 0;
		std::uint64_t prefilled_tokens = 0;
		// Prefilled tokens that were never decoded, and tokens that were prefilled again.
		std::uint64_t wasted_tokens = 0;
		std::uint64_t wasted_prefill_us = 0;
		std::uint64_t delivered_tokens = 0;
		std::uint64_t dropped_duplicates = 0;
		std::uint64_t resumed = 0;
		std::uint64_t queue_time_us = 0;
		std::uint64_t leases_granted = 0;
		std::uint64_t leases_lapsed = 0;
		std::uint64_t cancels_sent = 0;
		std::uint64_t orphans_cancelled = 0;
		std::uint64_t orders_sent = 0;
		std::uint64_t plain_calls = 0;
		std::uint64_t plain_retries = 0;
		std::uint64_t keyed_ran = 0;
		std::uint64_t keyed_not_run = 0;
		std::uint64_t keyed_unknown = 0;
		std::uint64_t keyed_replays = 0;
		std::map<refusal_kind, std::uint64_t> refusals;
	};
}
