#pragma once

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/completions.hpp>
#include <godwittrestle/decide/key_table.hpp>
#include <godwittrestle/decide/plain_server.hpp>

namespace godwittrestle::decide
{
	// Handles calls that must not be repeated. The entry daemon, which accepted the call from the caller, sends it to
	// the daemon that holds the table of the call's key: the issuer of the key or the issuer's successor. Only this
	// holder runs the call, at most once, and only the holder can state that the call did not run.
	class keyed_calls
	{
	  public:
		keyed_calls(core_settings const& settings, mechanism_set const& mechanisms, limits& accounts,
			plain_server_choice& servers, call_id_generator& calls, counters& totals);

		// Issues keys for an account.
		void issue(keys_requested const& asked, account_id const& account, event_context& context);

		// Starts a call that was admitted for an account and carries a key.
		void start(plain_requested const& asked, key_parts const& key,
			std::shared_ptr<active_policy const> const& policy, account_id const& account, membership const& members,
			event_context& context);

		void handle(wire::KeyedCall const& call, wire::PeerMessage const& message, membership const& members,
			event_context& context);
		void handle(wire::KeyedOutcome const& outcome, wire::PeerMessage const& message, event_context& context);
		void handle(wire::KeyTableMove const& moved, wire::PeerMessage const& message, membership const& members,
			event_context& context);
		void handle(wire::KeyTableTaken const& taken, event_context& context);
		// Records which daemons hold the tables of departed issuers.
		void note_successions(wire::Heartbeat const& heartbeat);

		// Each returns false if the call belongs to no keyed call.
		bool handle(plain_answered const& answered, membership const& members, event_context& context);
		bool handle(call_failed const& failed, membership& members, event_context& context);

		void handle(caller_gone const& gone);

		// Sends unanswered calls to the key's holder again. Tells the caller that the outcome is unknown if the
		// deadline has passed or the issuer is proved gone without a successor.
		void handle_tick(membership const& members, event_context& context);

		// Sets the policy for calls that start from now on.
		void update(std::shared_ptr<active_policy const> const& policy);

		// Stops issuing keys.
		void start_leaving() noexcept;

		// Sends the tables to a successor once no call runs here. Returns true when nothing is left to do: the
		// successor has taken the tables or is unreachable, or no successor exists.
		[[nodiscard]] bool hand_over_tables(membership const& members, event_context& context);

		[[nodiscard]] std::size_t running() const noexcept
		{
			return this->running_calls.size() + this->accepted_calls.size();
		}

		// Returns the tables that this daemon took over, for heartbeats.
		[[nodiscard]] std::vector<wire::KeySuccession> successions() const;

	  private:
		using table_key = std::pair<instance_id, incarnation>;

		// A call that this daemon accepted from a caller.
		struct accepted_call
		{
			wire::KeyedCall call;
			key_parts key;
			account_id account;
			time_point deadline;
			time_point sent_at;
			// Whether the call was sent to a holder at least once.
			bool passed_on = false;
		};

		// An entry daemon and its request that wait for the outcome of a running call.
		struct outcome_recipient
		{
			instance_id entry_daemon;
			std::string request;
		};

		// A call that this daemon runs as the holder of its key.
		struct running_call
		{
			table_key table;
			std::uint64_t sequence = 0;
			wire::KeyedCall call;
			policy::Service service;
			std::shared_ptr<active_policy const> policy;
			server_id server;
			std::vector<server_id> excluded;
			std::vector<outcome_recipient> recipients;
		};

		// Returns the daemon that holds the key's table as far as this daemon knows.
		[[nodiscard]] instance_id holder_of(key_parts const& key) const;
		void send_to_holder(accepted_call& call, membership const& members, event_context& context);
		void attempt(running_call next, membership const& members, event_context& context);
		void conclude(
			running_call const& done, wire::KeyedOutcome result, membership const& members, event_context& context);
		void reply(outcome_recipient const& recipient, wire::KeyedOutcome result, membership const& members,
			event_context& context);
		void answer_unknown(
			accepted_call const& call, std::string const& request, std::string reason, event_context& context);
		[[nodiscard]] bool is_too_late(wire::KeyedCall const& call, time_point now) const;

		core_settings const* settings;
		mechanism_set const* mechanisms;
		limits* accounts;
		plain_server_choice* servers;
		call_id_generator* calls;
		counters* totals;
		std::shared_ptr<active_policy const> policy;
		std::map<table_key, key_table> tables;
		std::map<std::string, accepted_call> accepted_calls;
		std::map<call_id, running_call> running_calls;
		// The daemons that hold the tables of departed issuers, as their heartbeats state.
		std::map<table_key, instance_id> successors;
		// A successor and the tables that it has not confirmed yet, kept only to send them to this successor again.
		std::optional<std::pair<instance_id, std::vector<wire::KeyTableMove>>> tables_in_transfer;
		time_point tables_sent_at;
		bool is_leaving = false;
	};
}
