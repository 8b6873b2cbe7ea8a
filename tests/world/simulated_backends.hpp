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

	// The KV cache memory that an engine holds for one attempt.
	struct held_kv_cache
	{
		std::string prompt;
		// The engine frees the memory at this time.
		time_point expires_at;
	};

	// The state of a simulated prefill or decode engine, with the faults that a scenario can inject.
	struct simulated_engine
	{
		std::string id;
		std::string role;
		std::string model;
		// Fencing number of the last order that the engine applied.
		platform_version fence;
		// Whether the engine rejects an order whose fencing number is lower than that of the last applied order.
		bool checks_fence = true;
		// Whether the engine's load reports omit the fencing number.
		bool hides_fence = false;
		bool is_dead = false;
		// Whether the engine only accepts connections and does not answer. Running streams pause while this is set.
		bool is_silent = false;
		// The engine refuses calls because it is leaving, and its load reports say so.
		bool reports_leaving = false;
		// Delays the start of the next prefill by this time, even if the daemon closes the connection meanwhile.
		duration call_delay{};
		// Transfers of the KV cache from this engine never finish.
		bool stalls_transfers = false;
		std::uint32_t slots = 20;
		double prefill_tokens_per_us = 0.02;
		duration token_gap = milliseconds(20);
		// Time after which a prefill engine drops the KV cache of a finished prefill that was not fetched.
		duration retention = milliseconds(900);
		// Time at which the last queued prefill ends.
		time_point busy_until;
		// Held KV caches by attempt id.
		std::map<std::string, held_kv_cache> held;
		std::uint64_t calls_received = 0;

		// Counts an arriving call. Returns why the engine refuses it, or std::nullopt if the engine accepts it.
		[[nodiscard]] std::optional<decide::call_failure> receive_call();

		// Frees the memory whose expiry time has come.
		void drop_expired(time_point now);

		// Returns the engine's load report, after freeing expired memory.
		[[nodiscard]] decide::load_report make_load_report(time_point now);

		// Loads the model and role of an order. Returns false, and changes nothing, if the engine checks fencing
		// numbers and the order's number is lower than that of the last applied order.
		bool apply_order(decide::send_order const& order);
	};

	// The state of a simulated server of the plain service, with the faults that a scenario can inject.
	struct simulated_plain_server
	{
		std::string id;
		bool is_dead = false;
		// Whether the server only accepts connections and does not answer.
		bool is_silent = false;
		// Whether the server refuses calls because it is leaving.
		bool reports_leaving = false;
		// Whether the server executes calls but the connection breaks before the answer.
		bool drops_answers = false;
		// Time from the execution of a call to its answer.
		duration delay = milliseconds(20);
		std::uint64_t calls_received = 0;
	};

	// A simulated caller with one request and the part of its answer received so far.
	struct simulated_caller
	{
		std::string daemon;
		request_id request;
		std::string prompt;
		std::string body;
		std::string text;
		std::uint32_t expected_tokens = 0;
		// The text of the complete, correct answer.
		std::string expected_text;
		// Index of the token that must come next.
		std::uint32_t next_index = 0;
		bool is_out_of_order = false;
		bool is_complete = false;
		// The daemon was not running or was killed before it answered.
		bool is_connection_lost = false;
		// The caller closed its connection.
		bool has_hung_up = false;
		std::optional<decide::answer_failure> failure;
		std::optional<decide::answer_plain> reply;
		time_point requested_at;
		std::optional<time_point> answered_at;

		[[nodiscard]] bool is_answered() const noexcept
		{
			return this->is_complete || this->failure || this->reply;
		}
	};
}
