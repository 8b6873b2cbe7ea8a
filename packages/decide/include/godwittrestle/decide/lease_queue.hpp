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
		instance_id entry;
		service_id service;
		account_id account;
		std::uint32_t priority = 0;
		token_count prompt_tokens;
		token_count output_tokens;
		std::vector<std::uint64_t> prefix_hashes;
		std::vector<server_id> excluded;
		time_point deadline;
		// When the caller's request began to wait, over all owners.
		time_point waiting_since;
		// When the entry daemon last asked; a request that is no longer asked for is dropped.
		time_point asked_at;
		// The entry daemon's clock when it last asked, in microseconds.
		std::uint64_t asked_clock = 0;
		duration patience{};
		duration first_token_target{};
		// Time from a grant to the first token, at the least.
		duration min_time_to_first_token{};
		bool is_resumed = false;
		bool prefers_no_waste = false;
		// Position within its class, by start-time fair queueing over the accounts.
		std::uint64_t start_tag = 0;
	};

	// Whether a request's first token would miss its target even if it were granted now.
	[[nodiscard]] bool is_late(waiting_request const& request, time_point now) noexcept;

	// The waiting requests of one cell in the order in which they are served: those that can still meet their
	// first-token target first, then by priority, then fairly between the accounts by token cost, so that one account's
	// burst does not starve another. A request that has waited for half of its patience moves up to the first priority.
	class lease_queue
	{
	  public:
		// Adds a request, or refreshes the one of the same attempt.
		void push(waiting_request request);

		// Removes an attempt; does nothing when it does not wait.
		void erase(std::string const& attempt);

		// Returns the requests in the order to serve them.
		[[nodiscard]] std::vector<waiting_request const*> ordered(time_point now) const;

		[[nodiscard]] bool contains(std::string const& attempt) const
		{
			return this->requests.contains(attempt);
		}

		[[nodiscard]] std::size_t size() const noexcept
		{
			return this->requests.size();
		}

		// Takes note that a request was served, which moves the queue's virtual time on.
		void advance_virtual_time(waiting_request const& request);

		// Returns the attempts that their entry daemons stopped asking for.
		[[nodiscard]] std::vector<std::string> abandoned(time_point asked_before) const;

	  private:
		std::map<std::string, waiting_request> requests;
		std::map<account_id, std::uint64_t> finish_tags;
		std::uint64_t virtual_time = 0;
	};
}
