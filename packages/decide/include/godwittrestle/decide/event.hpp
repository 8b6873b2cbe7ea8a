#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/platform.hpp>
#include <godwittrestle/policy/policy.pb.h>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::decide
{
	// A caller asks a model service for an answer.
	struct completion_requested
	{
		request_id request;
		service_id service;
		std::string bearer_token;
		std::shared_ptr<std::string const> prompt;
		// 0 asks for the service's maximum.
		token_count output_tokens;
	};

	// A caller calls a plain service.
	struct plain_requested
	{
		request_id request;
		service_id service;
		std::string bearer_token;
		std::string method;
		std::string target;
		std::string content_type;
		std::string body;
		std::string idempotency_key;
	};

	// A caller asks for idempotency keys.
	struct keys_requested
	{
		request_id request;
		std::string bearer_token;
		std::uint32_t count = 1;
	};

	// The connection of the caller closed, or the caller was silent for longer than its timeout.
	struct caller_gone
	{
		request_id request;
	};

	// A message from another daemon.
	struct peer_received
	{
		wire::PeerMessage message;
	};

	// A message to a daemon could not be sent and was dropped.
	struct peer_unreachable
	{
		instance_id peer;
	};

	enum class probe_outcome
	{
		// Nothing listens at the address: the process is gone.
		refused,
		connected,
		no_answer,
	};

	// The outcome of a probe_peer action.
	struct peer_probed
	{
		instance_id peer;
		// Incarnation that was believed to run at the peer's address when the probe was ordered.
		incarnation believed;
		probe_outcome outcome = probe_outcome::no_answer;
	};

	// A prefill engine finished a prefill.
	struct prefill_finished
	{
		call_id call;
		// Data that the decode engine needs to fetch the KV cache; opaque to the daemon.
		std::string transfer;
		token_count cached_tokens;
	};

	// A decode engine sent a token.
	struct token_received
	{
		call_id call;
		// Position in the answer, counted from 0 over all attempts.
		std::uint32_t index = 0;
		std::string text;
	};

	// A decode engine finished an answer.
	struct decode_finished
	{
		call_id call;
		// Tokens of the whole answer.
		std::uint32_t total = 0;
	};

	// A server of a plain service answered a call.
	struct plain_answered
	{
		call_id call;
		unsigned status = 200;
		std::string content_type;
		std::string body;
	};

	// How a call to a backend server failed.
	enum class call_failure
	{
		// No connection was established, so the call did not reach the server.
		not_connected,
		// The server answered that it is leaving and has not started the call.
		leaving,
		// The server answered that it has no capacity or no longer has the KV cache.
		rejected,
		// The connection broke or timed out after bytes may have been sent.
		lost,
	};

	// A call to a backend server failed.
	struct call_failed
	{
		call_id call;
		call_failure kind = call_failure::lost;
	};

	// An engine confirmed that it holds nothing for an attempt.
	struct cancel_acknowledged
	{
		server_id server;
		std::string attempt;
	};

	// An engine answered a poll with its load report.
	struct load_reported
	{
		server_id server;
		load_report report;
	};

	// The configuration service's policy value, read or watched.
	struct policy_read
	{
		platform_version version;
		policy::SealedPolicy document;
		// Why the value could not be parsed; empty when it could.
		std::string fault;
	};

	// The configuration service answered, whether or not it had something new.
	struct platform_confirmed
	{
	};

	// The instance list of the platform was read.
	struct instances_read
	{
		instance_list list;
	};

	// The operator or the platform asks the daemon to drain and leave.
	struct drain_requested
	{
	};

	// Reports that time has passed; due at core::next_wakeup at the latest.
	struct tick
	{
	};

	using event = std::variant<tick, completion_requested, plain_requested, keys_requested, caller_gone, peer_received,
		peer_unreachable, peer_probed, prefill_finished, token_received, decode_finished, plain_answered, call_failed,
		cancel_acknowledged, load_reported, policy_read, platform_confirmed, instances_read, drain_requested>;
}
