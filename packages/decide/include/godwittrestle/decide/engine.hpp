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
	// Which prompt blocks an engine most likely has in its cache, least recently used first out. It is a hint: the
	// engine's cache events come late and with gaps.
	class prefix_hints
	{
	  public:
		explicit prefix_hints(std::size_t capacity) noexcept
			: limit(capacity)
		{
		}

		// Returns how many leading blocks of the chain are believed to be cached.
		[[nodiscard]] std::size_t cached_prefix_length(std::vector<std::uint64_t> const& chain) const;

		void add(std::uint64_t block);
		void remove(std::uint64_t block);
		void clear() noexcept;

	  private:
		std::size_t limit;
		std::list<std::uint64_t> recency;
		std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
	};

	// What every engine's record has: whether it may be used now.
	struct engine_base
	{
		server_id id;
		data_centre_id data_centre;
		bool accepts_work = false;
		// Whether the engine's last report shows the model and the role that the policy wants.
		bool matches_policy = false;
		std::optional<time_point> reported_at;
		// Until then the engine is passed over, since a call to it failed.
		time_point avoid_until;

		[[nodiscard]] bool is_usable(time_point now, duration report_timeout) const noexcept;
	};

	// A prefill engine as the cell owner sees it.
	struct prefill_engine : engine_base
	{
		explicit prefill_engine(double tokens_per_second);

		// Prefills granted and not finished, with the time that each is expected to take.
		std::unordered_map<std::string, duration> running;
		time_point busy_until;
		time_point link_busy_until;
		time_point last_finish;
		double tokens_per_us;
		prefix_hints hints;
		std::uint64_t cache_sequence = 0;

		// Expected time to prefill some tokens.
		[[nodiscard]] duration time_for(token_count tokens) const noexcept;

		void start(std::string const& attempt, duration expected, time_point now);

		// Takes note that a prefill ended. computed_tokens: what was computed; nothing when it failed, which teaches
		// nothing about speed.
		void finish(std::string const& attempt, std::optional<token_count> computed_tokens, time_point now);

		void apply_cache_events(load_report const& report);
	};

	// A decode engine as the cell owner sees it.
	struct decode_engine : engine_base
	{
		// Requests that the policy lets it hold.
		std::uint32_t slots = 0;
		// Requests that it may hold with its tokens in time; at most slots.
		std::uint32_t limit = 0;
		std::set<std::string> active;
		// Requests that it reported and that no lease of this owner accounts for.
		std::uint32_t foreign = 0;
		// Smoothed time between tokens, in microseconds; 0 before the first reading.
		double token_gap_us = 0;
		time_point limit_changed_at;

		// Slots left; negative when the limit has sunk below the number of requests.
		[[nodiscard]] int free_slots() const noexcept;

		void record_token_gap(duration gap) noexcept;

		// Lowers the limit while tokens come later than the target, and raises it again when they come earlier.
		void adapt_limit(duration target, time_point now) noexcept;
	};
}
