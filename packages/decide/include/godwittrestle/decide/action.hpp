#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::decide
{
	// Sends one token to the caller.
	struct answer_token
	{
		request_id request;
		std::uint32_t index = 0;
		std::string text;
	};

	// Ends a streamed answer that is complete.
	struct answer_end
	{
		request_id request;
		std::uint32_t total = 0;
		bool first_token_in_time = false;
		bool gaps_in_time = false;
	};

	enum class refusal_kind
	{
		invalid_request,
		unauthorised,
		unknown_service,
		too_large,
		key_required,
		key_invalid,
		key_mismatch,
		rate_limited,
		too_late,
		no_server,
		not_ready,
		draining,
		deadline,
		backend_failed,
		outcome_unknown,
		not_run,
	};

	// Returns the name of a kind as answers, logs and metrics show it.
	[[nodiscard]] std::string_view to_string(refusal_kind kind) noexcept;

	// Returns the HTTP status of an answer with this kind of refusal.
	[[nodiscard]] unsigned http_status(refusal_kind kind) noexcept;

	// Time after which to retry, for a refusal whose cause implies no particular time.
	inline constexpr duration default_retry_after = seconds(1);

	// Ends a request without a complete answer.
	struct answer_failure
	{
		request_id request;
		refusal_kind kind = refusal_kind::backend_failed;
		std::string message;
		std::string remedy;
		// Time after which the caller may retry; zero when a retry does not help.
		duration retry_after{};
		// For keyed calls: whether this attempt was sent to the daemon that issued the key or to a backend server.
		bool passed_on = false;
	};

	// What is known about the execution of a keyed call.
	enum class call_outcome
	{
		not_keyed,
		ran,
		not_run,
		unknown,
	};

	// Sends the answer of a plain service to the caller.
	struct answer_plain
	{
		request_id request;
		unsigned status = 200;
		std::string content_type;
		std::string body;
		call_outcome outcome = call_outcome::not_keyed;
		bool replay = false;
	};

	// Sends new idempotency keys to the caller.
	struct answer_keys
	{
		request_id request;
		std::vector<std::string> keys;
		duration valid_for{};
	};

	// Sends a message to another daemon.
	struct send_peer
	{
		instance_id to;
		std::string address;
		wire::PeerMessage message;
	};

	// Opens a connection to a peer's address and reports whether anything listens there.
	struct probe_peer
	{
		instance_id peer;
		std::string address;
		// Incarnation that is believed to run at the address.
		incarnation believed;
	};

	// Starts a prefill on a prefill engine.
	struct start_prefill
	{
		call_id call;
		server_id server;
		std::string address;
		std::string attempt;
		std::string model;
		std::shared_ptr<std::string const> prompt;
		token_count prompt_tokens;
		// Number of tokens that an earlier attempt has delivered; the engine prefills them as well.
		std::uint32_t resume_at = 0;
		std::uint32_t priority = 0;
		// The engine drops the request on its own after this time.
		duration hard_deadline{};
		std::vector<std::uint64_t> prefix_hashes;
	};

	// Starts decoding on a decode engine.
	struct start_decode
	{
		call_id call;
		server_id server;
		std::string address;
		std::string attempt;
		// Data that the decode engine needs to fetch the KV cache; opaque to the daemon.
		std::string transfer;
		std::shared_ptr<std::string const> prompt;
		std::uint32_t resume_at = 0;
		token_count output_tokens;
		std::uint32_t priority = 0;
		duration hard_deadline{};
	};

	// Sends a call to a server of a plain service.
	struct start_plain
	{
		call_id call;
		server_id server;
		std::string address;
		std::string method;
		std::string target;
		std::string content_type;
		std::string body;
		// Forbids reusing a connection, so that a failed connect proves that nothing was sent.
		bool fresh_connection = false;
		duration timeout{};
	};

	// Closes the connection of a running call; no event of that call follows.
	struct abort_call
	{
		call_id call;
	};

	// Asks an engine to drop an attempt.
	struct cancel_attempt
	{
		server_id server;
		std::string address;
		std::string attempt;
	};

	// Asks an engine for a load report.
	struct poll_load
	{
		server_id server;
		std::string address;
		// Sequence number of the newest cache event already known.
		std::uint64_t cache_sequence = 0;
	};

	// Orders an engine to load a model in a role. fence: the fencing number, which is the platform version of the
	// policy that assigns model and role.
	struct send_order
	{
		server_id server;
		std::string address;
		std::string model;
		std::string role;
		platform_version fence;
	};

	// Sets whether this daemon watches the configuration service or only polls it from time to time.
	struct set_watch
	{
		bool watching = true;
	};

	// A named value of an event, such as an input of a decision.
	struct event_field
	{
		std::string name;
		std::string value;
	};

	// Adds an event to the time line.
	struct record_event
	{
		// Hybrid logical timestamp in microseconds: a cause has a lower one than its effects in all processes.
		std::uint64_t timestamp = 0;
		std::string name;
		request_id request;
		std::string detail;
		std::vector<event_field> fields;
	};

	// Ends the process: all its work is finished or handed over.
	struct exit_process
	{
	};

	using action = std::variant<answer_token, answer_end, answer_failure, answer_plain, answer_keys, send_peer,
		probe_peer, start_prefill, start_decode, start_plain, abort_call, cancel_attempt, poll_load, send_order,
		set_watch, record_event, exit_process>;
}
