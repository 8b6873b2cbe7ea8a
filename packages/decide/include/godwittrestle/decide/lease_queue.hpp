#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::decide
{
	// A request that waits at the cell owner for its lease.
	struct waiting_request
	{
		std::string attempt;
		request_id request;
		std::uint32_t attempt_number = 0;
		// The daemon that received the request from the caller.
		instance_id entry_daemon;
		service_id service;
		account_id account;
		std::uint32_t priority = 0;
		token_count prompt_tokens;
		token_count output_tokens;
		std::vector<std::uint64_t> prefix_hashes;
		std::vector<server_id> excluded;
		time_point deadline;
		// When the request began to wait, at this owner or an earlier one.
		time_point waiting_since;
		// When the entry daemon last asked. A request is dropped when its entry daemon stops asking for it.
		time_point asked_at;
		// The entry daemon's clock when it last asked, in microseconds.
		std::uint64_t asked_clock = 0;
		// Maximum time from waiting_since to the expected first token; beyond it the request is refused.
		duration patience{};
		duration first_token_target{};
		// Estimate of the shortest time from a grant to the first token.
		duration min_time_to_first_token{};
		// Whether the caller has already received part of the answer.
		bool is_resumed = false;
		// Whether the objective of the service is WASTE: fewer tokens to prefill matter more than an early first token.
		bool prefers_no_waste = false;
		// Start tag of start-time fair queueing over the accounts; orders requests of equal priority.
		std::uint64_t start_tag = 0;
	};

	// Returns whether the first token of a request would miss its target even if the request were granted now. A
	// resumed request is never late.
	[[nodiscard]] bool is_late(waiting_request const& request, time_point now) noexcept;

	// The waiting requests of one cell in the order in which they are served. Requests that can still meet their
	// first-token target come first. The order is then by priority, then by start-time fair queueing over the accounts,
	// with a cost in tokens, so that a burst of one account does not starve another. A request that has waited for more
	// than half of its patience moves up to priority 0, the highest.
	class lease_queue
	{
	  public:
		// Adds a request. If the same attempt already waits, updates its entry, which keeps its position.
		void push(waiting_request request);

		// Removes an attempt; does nothing when it is not in the queue.
		void erase(std::string const& attempt);

		// Returns the requests in the order in which to serve them.
		[[nodiscard]] std::vector<waiting_request const*> ordered(time_point now) const;

		[[nodiscard]] bool contains(std::string const& attempt) const
		{
			return this->requests.contains(attempt);
		}

		[[nodiscard]] std::size_t size() const noexcept
		{
			return this->requests.size();
		}

		// Advances the virtual time of the queue to the start tag of a request that was served.
		void advance_virtual_time(waiting_request const& request);

		// Returns the attempts that their entry daemons last asked for before the given time.
		[[nodiscard]] std::vector<std::string> abandoned(time_point asked_before) const;

	  private:
		std::map<std::string, waiting_request> requests;
		std::map<account_id, std::uint64_t> finish_tags;
		std::uint64_t virtual_time = 0;
	};
}
