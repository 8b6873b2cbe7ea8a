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
	// Passes one token on to the caller.
	struct answer_token
	{
		request_id request;
		std::uint32_t index = 0;
		std::string text;
	};

	// Ends a streamed answer that is whole.
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

	// Returns the name of a kind as it stands in answers, logs and metrics.
	[[nodiscard]] std::string_view to_string(refusal_kind kind) noexcept;

	// Returns the HTTP status that a kind is answered with.
	[[nodiscard]] unsigned http_status(refusal_kind kind) noexcept;

	// When to come back after a refusal whose cause has no time of its own.
	inline constexpr duration default_retry_after = seconds(1);

	// Ends a request without a whole answer.
	struct answer_failure
	{
		request_id request;
		refusal_kind kind = refusal_kind::backend_failed;
		std::string message;
		std::string remedy;
		// When the caller should come back; zero when coming back does not help.
		duration retry_after{};
		// For keyed calls: whether this attempt was passed on to the issuer or a backend server.
		bool passed_on = false;
	};

	// What is known of a keyed call.
	enum class call_outcome
	{
		not_keyed,
		ran,
		not_run,
		unknown,
	};

	// Passes a plain service's answer on to the caller.
	struct answer_reply
	{
		request_id request;
		unsigned status = 200;
		std::string content_type;
		std::string body;
		call_outcome outcome = call_outcome::not_keyed;
		bool replay = false;
	};

	struct answer_keys
	{
		request_id request;
		std::vector<std::string> keys;
		duration valid_for{};
	};

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
		incarnation believed;
	};

	struct start_prefill
	{
		call_id call;
		server_id server;
		std::string address;
		std::string attempt;
		std::string model;
		std::shared_ptr<std::string const> prompt;
		token_count prompt_tokens;
		// Tokens already delivered by an earlier attempt; the engine prefills them as well.
		std::uint32_t resume_at = 0;
		std::uint32_t priority = 0;
		// The engine drops the request by itself after this time.
		duration hard_deadline{};
		std::vector<std::uint64_t> prefix_hashes;
	};

	struct start_decode
	{
		call_id call;
		server_id server;
		std::string address;
		std::string attempt;
		std::string transfer;
		std::shared_ptr<std::string const> prompt;
		std::uint32_t resume_at = 0;
		token_count output_tokens;
		std::uint32_t priority = 0;
		duration hard_deadline{};
	};

	struct start_plain
	{
		call_id call;
		server_id server;
		std::string address;
		std::string method;
		std::string target;
		std::string content_type;
		std::string body;
		// True forbids reusing a connection, so that a failed connect proves that nothing was sent.
		bool fresh_connection = false;
		duration timeout{};
	};

	// Closes the connection of a running call; no event of that call follows.
	struct abort_call
	{
		call_id call;
	};

	struct cancel_attempt
	{
		server_id server;
		std::string address;
		std::string attempt;
	};

	struct poll_load
	{
		server_id server;
		std::string address;
		// Newest cache event already known.
		std::uint64_t cache_sequence = 0;
	};

	// Orders an engine to load a model in a role. The fence is the platform version of the policy that wants it.
	struct send_order
	{
		server_id server;
		std::string address;
		std::string model;
		std::string role;
		platform_version fence;
	};

	// Whether this daemon shall watch the configuration service or only read it now and then.
	struct set_watch
	{
		bool watching = true;
	};

	// One named fact of an event, such as an input of a decision.
	struct event_field
	{
		std::string name;
		std::string value;
	};

	// One event of the time line.
	struct record_event
	{
		// Hybrid logical timestamp: a cause is before its effects over all processes.
		std::uint64_t timestamp = 0;
		std::string name;
		request_id request;
		std::string detail;
		std::vector<event_field> fields;
	};

	// Everything is handed over or finished; the process may exit.
	struct leave
	{
	};

	using action = std::variant<answer_token, answer_end, answer_failure, answer_reply, answer_keys, send_peer,
		probe_peer, start_prefill, start_decode, start_plain, abort_call, cancel_attempt, poll_load, send_order,
		set_watch, record_event, leave>;
}
