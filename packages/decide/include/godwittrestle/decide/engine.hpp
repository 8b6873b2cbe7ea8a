#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/platform.hpp>

namespace godwittrestle::decide
{
	// Estimates which prompt blocks a prefill engine has in its KV cache. Holds the most recently used block hashes, up
	// to a capacity. It is only a hint: the cache events of the engine come late and with gaps.
	class prefix_hints
	{
	  public:
		explicit prefix_hints(std::size_t capacity) noexcept
			: limit(capacity)
		{
		}

		// Returns how many leading blocks of a hash chain are believed to be cached.
		[[nodiscard]] std::size_t cached_prefix_length(std::vector<std::uint64_t> const& chain) const;

		void add(std::uint64_t block);
		void remove(std::uint64_t block);
		void clear() noexcept;

	  private:
		std::size_t limit;
		std::list<std::uint64_t> recency;
		std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
	};

	// State that prefill and decode engines have in common; it decides whether an engine may get new work.
	struct engine_base
	{
		server_id id;
		data_centre_id data_centre;
		bool accepts_work = false;
		// Whether the last load report shows the model and the role that the policy assigns to the engine.
		bool matches_policy = false;
		std::optional<time_point> reported_at;
		// The engine gets no new work before this time, because a call to it failed.
		time_point avoid_until;

		[[nodiscard]] bool is_usable(time_point now, duration report_timeout) const noexcept;
	};

	// The cell owner's view of a prefill engine.
	struct prefill_engine : engine_base
	{
		explicit prefill_engine(double tokens_per_second);

		// Granted and unfinished prefills by attempt, with the expected duration of each.
		std::unordered_map<std::string, duration> running;
		time_point busy_until;
		time_point link_busy_until;
		time_point last_finish;
		double tokens_per_us;
		prefix_hints hints;
		std::uint64_t cache_sequence = 0;

		// Returns the expected time to prefill a number of tokens.
		[[nodiscard]] duration time_for(token_count tokens) const noexcept;

		void start(std::string const& attempt, duration expected, time_point now);

		// Records the end of a prefill. computed_tokens: the number of tokens computed, from which the speed is
		// estimated; nothing when the prefill failed or was released early, which leaves the estimate as it is.
		void finish(std::string const& attempt, std::optional<token_count> computed_tokens, time_point now);

		void apply_cache_events(load_report const& report);
	};

	// The cell owner's view of a decode engine.
	struct decode_engine : engine_base
	{
		// Maximum number of requests that the policy allows.
		std::uint32_t slots = 0;
		// Maximum number of requests at which tokens are expected to keep to the target gap; at most slots.
		std::uint32_t limit = 0;
		std::set<std::string> active;
		// Number of requests in its last load report for which this owner has no lease.
		std::uint32_t foreign = 0;
		// Smoothed time between tokens, in microseconds; 0 before the first reading.
		double token_gap_us = 0;
		time_point limit_changed_at;

		// Returns the free slots; negative when the limit has dropped below the number of requests.
		[[nodiscard]] int free_slots() const noexcept;

		void record_token_gap(duration gap) noexcept;

		// Lowers the limit to one below the number of requests on the engine while the token gap exceeds the target,
		// and raises it by one when the gap is clearly below the target. Changes the limit at most once a second.
		void adapt_limit(duration target, time_point now) noexcept;
	};
}
