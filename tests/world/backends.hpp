#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <godwittrestle/decide.hpp>

namespace godwittrestle::testing
{
	// Returns the token at a position of the reference answer to a prompt.
	[[nodiscard]] std::string reference_token(std::string const& prompt, std::uint32_t index);

	// Returns the first tokens of the reference answer to a prompt.
	[[nodiscard]] std::string reference_text(std::string const& prompt, std::uint32_t tokens);

	// What an engine holds memory for.
	struct held_memory
	{
		std::string prompt;
		time_point drop_at;
	};

	// A fake engine: memory, a prefill queue and slots, with the faults that scenarios switch on.
	struct fake_engine
	{
		std::string id;
		std::string role;
		std::string model;
		platform_version fence;
		bool checks_fence = true;
		// Reports never show which fencing number was obeyed.
		bool hides_fence = false;
		bool is_dead = false;
		bool is_silent = false;
		// The engine itself says that it is leaving.
		bool says_leaving = false;
		// The next call is begun only after this time, whatever happens to its connection.
		duration call_delay{};
		// Transfers from this engine never finish.
		bool stalls_transfers = false;
		std::uint32_t slots = 20;
		double tokens_per_us = 0.02;
		duration token_gap = milliseconds(20);
		duration retention = milliseconds(900);
		time_point busy_until;
		std::map<std::string, held_memory> held;
		std::uint64_t work_started = 0;

		// Counts a call that arrives, and returns why it is not begun; nothing when it is.
		[[nodiscard]] std::optional<decide::call_failure> refuse_work();

		void drop_expired(time_point now);
		[[nodiscard]] decide::load_report report(time_point now);
		// Returns whether the order was taken.
		bool obey(decide::send_order const& order);
	};

	// A fake plain service's server: it counts how often each body ran.
	struct fake_plain_server
	{
		std::string id;
		bool is_dead = false;
		bool is_silent = false;
		bool says_leaving = false;
		bool drops_answers = false;
		duration delay = milliseconds(20);
		std::uint64_t work_started = 0;
	};

	// What a caller has seen of its request.
	struct caller_view
	{
		std::string daemon;
		request_id request;
		std::string prompt;
		std::string body;
		std::string text;
		std::uint32_t expected_tokens = 0;
		// The whole answer as it should be.
		std::string reference;
		std::uint32_t next_index = 0;
		bool is_out_of_order = false;
		bool is_whole = false;
		bool is_connection_lost = false;
		bool is_gone = false;
		std::optional<decide::answer_failure> failure;
		std::optional<decide::answer_plain> reply;
		time_point asked_at;
		std::optional<time_point> answered_at;

		[[nodiscard]] bool is_answered() const noexcept
		{
			return this->is_whole || this->failure || this->reply;
		}
	};
}
