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
	// Hands out ids of calls to backend servers.
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

	// The part of a daemon that serves callers of model services: it asks the cell owner for a lease, then runs the
	// prefill, the transfer and the decode, and passes each token on exactly once and in order.
	class completions
	{
	  public:
		completions(core_settings const& settings, hooks const& behaviour, limits& accounts, cancellations& cancels,
			call_id_generator& calls, counters& totals);

		// Begins a request that has been admitted for an account.
		void start(completion_requested const& asked, std::shared_ptr<active_policy const> const& policy,
			account_id const& account, turn& now);

		// Takes over changed cells, then asks again where an owner has changed.
		void update(std::shared_ptr<std::vector<cell> const> derived, membership const& members, turn& now);

		void handle(
			wire::LeaseGrant const& grant, wire::PeerMessage const& message, membership const& members, turn& now);
		void handle(wire::LeaseRefusal const& refusal, membership const& members, turn& now);
		void handle(
			wire::DisownQuery const& query, wire::PeerMessage const& message, membership const& members, turn& now);
		void handle(prefill_finished const& finished, membership const& members, turn& now);
		void handle(token_received const& token, membership const& members, turn& now);
		void handle(decode_finished const& finished, membership const& members, turn& now);
		// Returns false when the call belongs to no completion.
		bool handle(call_failed const& failed, membership& members, turn& now);
		void handle(caller_gone const& gone, membership const& members, turn& now);

		// Renews leases, asks again, finds stalls and deadlines.
		void handle_tick(membership const& members, turn& now);

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
			// The policy under which the request started stays its policy to the end.
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
			std::string transfer;
			time_point transfer_ready;
			token_count cached;
			// Whether the finished prefill of this attempt has given a token yet.
			bool is_prefill_used = false;
			// Whether a prefill was finished in this attempt.
			bool is_prefilled = false;
			std::uint32_t finished_prefills = 0;
			std::uint32_t delivered = 0;
			// Tokens that came ahead of their turn.
			std::map<std::uint32_t, std::string> out_of_order_tokens;
			std::optional<time_point> first_token;
			time_point last_progress;
			std::uint32_t gap_start_token = 0;
			time_point gap_start;
		};

		[[nodiscard]] stream* find(call_id call);
		[[nodiscard]] cell const* choose_cell(stream const& wanted) const;
		[[nodiscard]] cell const* find_cell(cell_id const& id) const;
		void request_lease(stream& asking, membership const& members, turn& now);
		void begin_prefill(stream& granted, membership const& members, turn& now);
		void begin_decode(stream& ready, membership const& members, turn& now);
		void deliver(stream& receiving, std::uint32_t index, std::string const& text, turn& now);
		void finish(stream& done, membership const& members, turn& now);
		void fail(stream& failed, refusal_kind kind, std::string message, std::string remedy, duration retry_after,
			membership const& members, turn& now);
		void retry(stream& failed, membership const& members, turn& now);
		void abandon_attempt(
			stream& failed, bool prefill_failed, bool decode_failed, membership const& members, turn& now);
		void close(stream const& done, turn& now);
		void send_update(stream& reporting, wire::LeaseUpdate::Phase reached, membership const& members, turn& now);
		[[nodiscard]] wire::LeaseUpdate make_update(stream const& reporting, wire::LeaseUpdate::Phase reached) const;
		void renew_leases(membership const& members, turn& now);
		void check_progress(stream& running, membership const& members, turn& now);
		void count_wasted_prefill(stream const& lost, turn& now);
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
