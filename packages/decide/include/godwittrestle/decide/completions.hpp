#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/cell.hpp>
#include <godwittrestle/decide/counters.hpp>
#include <godwittrestle/decide/event.hpp>
#include <godwittrestle/decide/fwd.hpp>
#include <godwittrestle/decide/settings.hpp>

namespace godwittrestle::decide
{
	// Generates the ids of calls to backend servers.
	class call_id_generator
	{
	  public:
		[[nodiscard]] call_id next() noexcept
		{
			return this->last += call_id(1);
		}

	  private:
		call_id last;
	};

	// Serves the callers of model services. For each request, completions asks the cell owner for a lease, runs the
	// prefill, the KV cache transfer and the decode, and sends each token to the caller exactly once and in order.
	class completions
	{
	  public:
		completions(core_settings const& settings, hooks const& behaviour, limits& accounts, cancellations& cancels,
			call_id_generator& calls, counters& totals);

		// Starts a request that was admitted for an account. The lease is requested by the next update or tick.
		void start(completion_requested const& asked, std::shared_ptr<active_policy const> const& policy,
			account_id const& account, event_context& context);

		// Replaces the list of cells. For each request whose cell has a new owner, requests a lease from the new owner
		// or, when the request already runs, reports its lease to the new owner.
		void update(
			std::shared_ptr<std::vector<cell> const> derived, membership const& members, event_context& context);

		void handle(wire::LeaseGrant const& grant, wire::PeerMessage const& message, membership const& members,
			event_context& context);
		void handle(wire::LeaseRefusal const& refusal, membership const& members, event_context& context);
		void handle(wire::DisownQuery const& query, wire::PeerMessage const& message, membership const& members,
			event_context& context);
		void handle(prefill_finished const& finished, membership const& members, event_context& context);
		void handle(token_received const& token, membership const& members, event_context& context);
		void handle(decode_finished const& finished, membership const& members, event_context& context);
		// Returns false if the call belongs to no completion.
		bool handle(call_failed const& failed, membership& members, event_context& context);
		void handle(caller_gone const& gone, membership const& members, event_context& context);

		// Renews leases, repeats lease requests, and handles stalled attempts and expired deadlines.
		void handle_tick(membership const& members, event_context& context);

		[[nodiscard]] std::size_t running() const noexcept
		{
			return this->streams.size();
		}

	  private:
		enum class phase
		{
			waiting,
			prefilling,
			decoding,
		};

		struct stream
		{
			request_id request;
			// The policy that was active when the request started; it applies until the request ends.
			std::shared_ptr<active_policy const> policy;
			policy::Service const* service = nullptr;
			account_id account;
			std::shared_ptr<std::string const> prompt;
			token_count prompt_tokens;
			token_count output_tokens;
			std::vector<std::uint64_t> hashes;
			time_point arrived;
			time_point deadline;
			phase current_phase = phase::waiting;
			std::uint32_t attempt = 0;
			cell_id cell;
			instance_id owner;
			time_point waiting_since;
			time_point lease_requested_at;
			server_id prefill_server;
			server_id decode_server;
			std::vector<server_id> excluded;
			std::optional<call_id> call;
			time_point call_started;
			// Data that the decode engine needs to fetch the KV cache; opaque to the daemon.
			std::string transfer;
			time_point transfer_ready;
			token_count cached;
			// Whether the decode of this attempt has produced a token.
			bool is_prefill_used = false;
			// Whether the prefill of this attempt has finished.
			bool is_prefilled = false;
			// Number of prefills that have finished, over all attempts.
			std::uint32_t finished_prefills = 0;
			// Tokens sent to the caller.
			std::uint32_t delivered = 0;
			// Tokens that arrived before a token with a lower index; the key is the index.
			std::map<std::uint32_t, std::string> out_of_order_tokens;
			std::optional<time_point> first_token;
			time_point last_progress;
			// Number of delivered tokens and time at the start of the current measurement of the mean token gap.
			std::uint32_t gap_start_token = 0;
			time_point gap_start;
		};

		[[nodiscard]] stream* find(call_id call);
		[[nodiscard]] cell const* choose_cell(stream const& wanted) const;
		[[nodiscard]] cell const* find_cell(cell_id const& id) const;
		void request_lease(stream& asking, membership const& members, event_context& context);
		void begin_prefill(stream& granted, membership const& members, event_context& context);
		void begin_decode(stream& ready, membership const& members, event_context& context);
		void deliver(stream& receiving, std::uint32_t index, std::string const& text, event_context& context);
		void finish(stream& done, membership const& members, event_context& context);
		void fail(stream& failed, refusal_kind kind, std::string message, std::string remedy, duration retry_after,
			membership const& members, event_context& context);
		void retry(stream& failed, membership const& members, event_context& context);
		void abandon_attempt(
			stream& failed, bool prefill_failed, bool decode_failed, membership const& members, event_context& context);
		void close(stream const& done, event_context& context);
		void send_update(
			stream& reporting, wire::LeaseUpdate::Phase reached, membership const& members, event_context& context);
		[[nodiscard]] wire::LeaseUpdate make_update(stream const& reporting, wire::LeaseUpdate::Phase reached) const;
		void renew_leases(membership const& members, event_context& context);
		void check_progress(stream& running, membership const& members, event_context& context);
		void count_wasted_prefill(stream const& lost, event_context& context);
		[[nodiscard]] std::string attempt_of(stream const& running) const;

		core_settings const* settings;
		hooks const* behaviour;
		limits* accounts;
		cancellations* cancels;
		call_id_generator* calls;
		counters* totals;
		std::shared_ptr<std::vector<cell> const> cells = std::make_shared<std::vector<cell> const>();
		std::map<request_id, stream> streams;
		std::map<call_id, request_id> requests_by_call;
		time_point leases_renewed_at;
	};
}
