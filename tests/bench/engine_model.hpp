#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/platform.hpp>

namespace godwittrestle::bench
{
	// Runs callbacks in virtual time. Callbacks that are due at the same time run in the order of scheduling.
	class event_queue
	{
	  public:
		// Schedules a callback after a delay; a negative delay counts as zero.
		void schedule_after(duration delay, std::function<void()> run);

		// Runs all callbacks that are due up to `end`, then sets the clock to `end`. Later callbacks stay queued.
		void run_until(time_point end);

		[[nodiscard]] time_point now() const noexcept
		{
			return this->current_time;
		}

	  private:
		struct scheduled
		{
			time_point at;
			std::uint64_t order = 0;
			std::function<void()> run;

			[[nodiscard]] bool operator>(scheduled const& other) const noexcept
			{
				return std::pair(this->at, this->order) > std::pair(other.at, other.order);
			}
		};

		std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> queue;
		std::uint64_t last_order = 0;
		time_point current_time;
	};

	// Speeds and sizes of the modelled engines.
	struct engine_parameters
	{
		double prefill_tokens_per_us = 0.04;
		std::uint32_t slots = 20;
		// A decode step takes step_base + step_per_request * (number of requests in the batch).
		duration step_base = microseconds(20'500);
		duration step_per_request = microseconds(1'500);
		// Time after which a prefill engine evicts a result whose transfer has not started.
		duration result_retention = milliseconds(900);
		std::uint32_t kv_bytes_per_token = 131'072;
		double link_bytes_per_us = 10'000;
		std::size_t cached_blocks = 512;
	};

	// Work of all prefill engines over a run.
	struct engine_totals
	{
		std::uint64_t computed_tokens = 0;
		// Computed tokens of results that were never decoded from, of cancelled prefills, and of prefills that were
		// repeated for a request that had already received tokens.
		std::uint64_t wasted_tokens = 0;
		// Tokens computed although another living engine had them in its cache.
		std::uint64_t recomputed_tokens = 0;
		// Number of living engines that have each block in their cache, by block hash.
		std::unordered_map<std::uint64_t, int> cached_copies;
	};

	enum class engine_failure
	{
		// The engine died.
		lost,
		// The prefill result no longer exists.
		evicted,
	};

	// Models a prefill engine. It runs one prefill at a time, has an LRU prefix cache of limited size, evicts results
	// after the retention time and has one link whose bandwidth the active transfers share equally.
	class prefill_model
	{
	  public:
		prefill_model(event_queue& events, engine_parameters parameters, engine_totals& totals);

		// Queues a prefill. `is_repeat` says that the request has received tokens from an earlier result, so that the
		// computed tokens count as waste. Calls `on_done` with the number of tokens that came from the cache, or
		// `on_failed` if the engine dies first or is dead already.
		void run(std::string const& attempt, std::uint32_t tokens, bool is_repeat,
			std::vector<std::uint64_t> const& blocks, std::function<void(std::uint32_t)> on_done,
			std::function<void(engine_failure)> on_failed);

		// Sends a result over the link. Calls `on_done` with true when all bytes are sent, with false if the result
		// does not exist (any more) or the engine dies first, and never if the prefill is cancelled first.
		void transfer(std::string const& attempt, std::function<void(bool)> on_done);

		// Marks a result as used and frees it. A decode engine calls this for each token that it produces from the
		// result; only the first call has an effect.
		void release_used(std::string const& attempt);

		// Drops a queued, running or finished prefill; tokens computed so far count as waste. Unknown attempts are
		// ignored.
		void cancel(std::string const& attempt);

		// Stops the engine for good: its calls and transfers fail.
		void kill();

		// Divides the prefill speed by a factor.
		void slow_down(double factor);

		// Returns a load report with the cache events after `cache_after`. A cache event appears in reports only after
		// a lag. At random, the report says that it has a gap in its cache events.
		[[nodiscard]] decide::load_report report(std::uint64_t cache_after, std::mt19937_64& random);

		[[nodiscard]] bool is_alive() const noexcept
		{
			return !this->is_dead;
		}

		// Returns the number of queued and running prefills.
		[[nodiscard]] std::size_t load() const noexcept
		{
			return this->waiting.size() + (this->current.empty() ? 0 : 1);
		}

	  private:
		struct job
		{
			std::uint32_t tokens = 0;
			bool is_repeat = false;
			std::vector<std::uint64_t> blocks;
			std::function<void(std::uint32_t)> on_done;
			std::function<void(engine_failure)> on_failed;
			std::uint32_t cached = 0;
			time_point started;
			duration compute_time{};
			bool is_done = false;
			bool is_transferring = false;
			bool is_used = false;
			double bytes_left = 0;
			std::function<void(bool)> on_transferred;
		};

		struct cache_event
		{
			time_point at;
			bool is_added = true;
			std::uint64_t block = 0;
		};

		void start_next();
		void finish(std::string const& attempt, std::uint64_t generation);
		// Counts the tokens of a finished result as waste if the result was not used.
		void count_waste(job const& lost);
		// Subtracts the bytes sent since the last call from the active transfers.
		void advance_link();
		// Schedules the end of the transfer that finishes first at its current share of the bandwidth.
		void schedule_transfer_end();
		// Returns the length of the cached prefix; at least one token of a prompt is always computed.
		[[nodiscard]] std::uint32_t cached_tokens(job const& request) const;
		void add_to_cache(std::vector<std::uint64_t> const& blocks);

		event_queue* events;
		engine_parameters parameters;
		engine_totals* totals;
		std::map<std::string, job> jobs;
		std::deque<std::string> waiting;
		// The attempt whose prefill is running; empty if the engine is idle.
		std::string current;
		// Raised when a prefill starts or is cancelled or the engine dies; ends scheduled before that are ignored.
		std::uint64_t generation = 0;
		// Raised when the next end of a transfer is rescheduled or the engine dies; ends scheduled before are ignored.
		std::uint64_t link_generation = 0;
		time_point link_advanced_at;
		// Cached blocks, least recently used first.
		std::list<std::uint64_t> least_recent_first;
		std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
		// All cache events so far. The sequence number of a report counts the events reported so far.
		std::vector<cache_event> cache_events;
		bool is_dead = false;
	};

	// Models a decode engine with continuous batching: each step produces one token for every request of the batch.
	class decode_model
	{
	  public:
		decode_model(event_queue& events, engine_parameters parameters);

		// Waits for a slot, fetches the prefill result from `source` and produces the tokens with the indexes `first`
		// to `total` - 1. Calls `on_token` with each index and `on_end` with `total`; calls `on_failed` if the result
		// is gone or the engine dies.
		void run(std::string const& attempt, prefill_model& source, std::uint32_t first, std::uint32_t total,
			std::function<void(std::uint32_t)> on_token, std::function<void(std::uint32_t)> on_end,
			std::function<void(engine_failure)> on_failed);

		// Drops a request. Unknown attempts are ignored.
		void cancel(std::string const& attempt);

		// Stops the engine for good: its requests fail.
		void kill();

		// Multiplies the time of a step by a factor.
		void slow_down(double factor);

		[[nodiscard]] decide::load_report report() const;

		[[nodiscard]] bool is_alive() const noexcept
		{
			return !this->is_dead;
		}

		// Returns the number of waiting and running requests.
		[[nodiscard]] std::size_t load() const noexcept
		{
			return this->streams.size();
		}

	  private:
		struct stream
		{
			prefill_model* source = nullptr;
			std::uint32_t next = 0;
			std::uint32_t total = 0;
			// Set once the request has a slot: while its result is fetched and while its tokens are produced.
			bool has_slot = false;
			bool is_running = false;
			std::function<void(std::uint32_t)> on_token;
			std::function<void(std::uint32_t)> on_end;
			std::function<void(engine_failure)> on_failed;
		};

		void admit();
		// Produces one token for each running request. Does nothing if `expected` is not the current generation.
		void step(std::uint64_t expected);
		void schedule_step();

		event_queue* events;
		engine_parameters parameters;
		std::map<std::string, stream> streams;
		std::deque<std::string> waiting;
		std::size_t occupied_slots = 0;
		bool is_step_scheduled = false;
		// Raised when the engine dies, so that a scheduled step is ignored.
		std::uint64_t generation = 0;
		bool is_dead = false;
	};
}
