#include <godwittrestle/decide/keyed_calls.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/decide/event_context.hpp>
#include <godwittrestle/decide/limits.hpp>
#include <godwittrestle/decide/membership.hpp>
#include <godwittrestle/decide/rendezvous.hpp>
#include <godwittrestle/decide/wire_time.hpp>

namespace godwittrestle::decide
{
	namespace
	{
		constexpr duration resend_interval = milliseconds(300);
		constexpr std::uint32_t max_keys_at_once = 100;

		std::uint64_t fingerprint_of(wire::KeyedCall const& call)
		{
			return hash_bytes(call.body(), hash_bytes(call.method() + " " + call.service() + call.target()));
		}

		wire::KeyedOutcome make_outcome(wire::KeyedOutcome::Outcome outcome, std::string reason)
		{
			wire::KeyedOutcome result;
			result.set_outcome(outcome);
			result.set_reason(std::move(reason));
			return result;
		}
	}

	keyed_calls::keyed_calls(core_settings const& core, mechanism_set const& enabled, limits& account_limits,
		plain_server_choice& choice, call_id_generator& call_ids, counters& sums)
		: settings(&core)
		, mechanisms(&enabled)
		, accounts(&account_limits)
		, servers(&choice)
		, calls(&call_ids)
		, totals(&sums)
	{
		this->tables.emplace(table_key(core.instance, core.started),
			key_table(core.instance, core.started, core.key_secret, core.key_answer_budget));
	}

	void keyed_calls::issue(keys_requested const& asked, account_id const& account, event_context& context)
	{
		if (this->is_leaving)
		{
			context.emit(answer_failure{asked.request, refusal_kind::draining, "this daemon is leaving",
				"ask again; another daemon will answer", default_retry_after, false});
			return;
		}
		auto& own = this->tables.at(table_key(this->settings->instance, this->settings->started));
		std::vector<std::string> keys;
		std::generate_n(std::back_inserter(keys), std::clamp(asked.count, 1U, max_keys_at_once),
			[&] { return own.issue(account, context.now() + this->settings->key_lifetime); });
		context.record("keys_issued", asked.request, std::to_string(keys.size()));
		context.emit(answer_keys{asked.request, std::move(keys), this->settings->key_lifetime});
	}

	void keyed_calls::start(plain_requested const& asked, key_parts const& key,
		std::shared_ptr<active_policy const> const& active, account_id const& account, membership const& members,
		event_context& context)
	{
		accepted_call next;
		next.key = key;
		next.account = account;
		next.deadline = context.now() + milliseconds(active->find_service(asked.service)->deadline_ms());
		next.call.set_request(asked.request.str());
		next.call.set_key(asked.idempotency_key);
		next.call.set_service(asked.service.str());
		next.call.set_method(asked.method);
		next.call.set_target(asked.target);
		next.call.set_content_type(asked.content_type);
		next.call.set_body(asked.body);
		next.call.set_account(account.str());
		context.record("request_accepted", asked.request, asked.method + " " + asked.target);
		auto const [entry, is_new] = this->accepted_calls.emplace(asked.request.str(), std::move(next));
		this->send_to_holder(entry->second, members, context);
	}

	instance_id keyed_calls::holder_of(key_parts const& key) const
	{
		table_key const wanted(key.issuer, key.started);
		if (this->tables.contains(wanted))
		{
			return this->settings->instance;
		}
		auto const successor = this->successors.find(wanted);
		return successor == this->successors.end() ? key.issuer : successor->second;
	}

	void keyed_calls::send_to_holder(accepted_call& entry, membership const& members, event_context& context)
	{
		entry.sent_at = context.now();
		auto const holder = this->holder_of(entry.key);
		auto const holder_clock = members.remote_clock(holder, context.now());
		if (!holder_clock)
		{
			// The latest start time is sent as a reading of the holder's clock, so the call can't be sent before that
			// clock is known. handle_tick tries again.
			return;
		}
		entry.call.set_start_before(*holder_clock + to_wire(entry.deadline - context.now()));
		entry.passed_on = true;
		wire::PeerMessage message;
		*message.mutable_keyed_call() = entry.call;
		context.send(holder, members.address_of(holder), std::move(message));
	}

	void keyed_calls::handle(wire::KeyedCall const& call, wire::PeerMessage const& message, membership const& members,
		event_context& context)
	{
		outcome_recipient const recipient{instance_id(message.from()), call.request()};
		auto const key = parse_key(call.key());
		auto const table = key ? this->tables.find(table_key(key->issuer, key->started)) : this->tables.end();
		if (table == this->tables.end())
		{
			// Another daemon holds the key's table. The entry daemon repeats the call until it is answered, and sends
			// it to the holder as soon as a heartbeat has named that daemon.
			return;
		}
		auto& keys = table->second;
		if (!keys.is_genuine(*key, account_id(call.account())))
		{
			this->reply(recipient,
				make_outcome(wire::KeyedOutcome::MISMATCH, "the key was not issued for this account"), members,
				context);
			return;
		}
		auto const state = keys.state_of(key->sequence);
		if (state != key_table::state::unused)
		{
			auto const running = std::ranges::find_if(this->running_calls, [&](auto const& each)
				{ return each.second.table == table->first && each.second.sequence == key->sequence; });
			if (keys.is_mismatch(key->sequence, fingerprint_of(call)))
			{
				this->reply(recipient, make_outcome(wire::KeyedOutcome::MISMATCH, "the key was used for another call"),
					members, context);
			}
			else if (running != this->running_calls.end())
			{
				running->second.recipients.push_back(recipient);
			}
			else
			{
				auto result = keys.result_of(key->sequence);
				result.set_replay(true);
				this->reply(recipient, std::move(result), members, context);
			}
			return;
		}
		auto const* const service = this->policy ? this->policy->find_service(service_id(call.service())) : nullptr;
		running_call next{table->first, key->sequence, call, service == nullptr ? policy::Service{} : *service,
			this->policy, {}, {}, {recipient}};
		keys.begin(key->sequence, fingerprint_of(call));
		if (service == nullptr || to_wire(context.now()) > key->expires || this->is_too_late(call, context.now()))
		{
			this->conclude(next, make_outcome(wire::KeyedOutcome::NOT_RUN, "the call came too late to be started"),
				members, context);
			return;
		}
		this->attempt(std::move(next), members, context);
	}

	bool keyed_calls::is_too_late(wire::KeyedCall const& call, time_point now) const
	{
		return this->mechanisms->issuer_checks_start_time && to_wire(now) > call.start_before();
	}

	void keyed_calls::attempt(running_call next, membership const& members, event_context& context)
	{
		auto const* const server =
			this->servers->choose(pool_id(next.service.plain_pool()), next.excluded, members, context.now());
		if (server == nullptr || this->is_too_late(next.call, context.now()))
		{
			this->conclude(next,
				make_outcome(wire::KeyedOutcome::NOT_RUN,
					server == nullptr ? "no server of the service takes calls" : "the deadline has passed"),
				members, context);
			return;
		}
		next.server = server->id;
		this->servers->note_start(server->id);
		if (!this->mechanisms->key_recorded_before_send)
		{
			this->tables.at(next.table).forget(next.sequence);
		}
		auto const call = this->calls->next();
		context.record("keyed_call_started", request_id(next.call.request()), server->id.str());
		context.emit(start_plain{call, server->id, server->address, next.call.method(), next.call.target(),
			next.call.content_type(), next.call.body(), true, milliseconds(next.service.deadline_ms())});
		this->running_calls.emplace(call, std::move(next));
	}

	bool keyed_calls::handle(plain_answered const& answered, membership const& members, event_context& context)
	{
		auto const found = this->running_calls.find(answered.call);
		if (found == this->running_calls.end())
		{
			return false;
		}
		auto const done = std::move(found->second);
		this->running_calls.erase(found);
		this->servers->note_end(done.server, false, context.now());
		auto result = make_outcome(wire::KeyedOutcome::RAN, {});
		result.set_status(answered.status);
		result.set_content_type(answered.content_type);
		result.set_body(answered.body);
		this->conclude(done, std::move(result), members, context);
		return true;
	}

	bool keyed_calls::handle(call_failed const& failed, membership& members, event_context& context)
	{
		auto const found = this->running_calls.find(failed.call);
		if (found == this->running_calls.end())
		{
			return false;
		}
		auto broken = std::move(found->second);
		this->running_calls.erase(found);
		this->servers->note_end(broken.server, true, context.now());
		context.record("call_failed", request_id(broken.call.request()), broken.server.str());
		if (failed.kind == call_failure::leaving)
		{
			members.mark_leaving(broken.server, context);
		}
		if (failed.kind == call_failure::lost)
		{
			this->conclude(broken,
				make_outcome(wire::KeyedOutcome::UNKNOWN, "the connection broke after the call was sent"), members,
				context);
			return true;
		}
		// In all other cases the call provably did not start on that server.
		broken.excluded.push_back(broken.server);
		this->attempt(std::move(broken), members, context);
		return true;
	}

	void keyed_calls::conclude(
		running_call const& done, wire::KeyedOutcome result, membership const& members, event_context& context)
	{
		this->tables.at(done.table).finish(done.sequence, result);
		context.record("keyed_call_concluded", request_id(done.call.request()),
			wire::KeyedOutcome::Outcome_Name(result.outcome()));
		auto is_replay = false;
		for (auto const& recipient : done.recipients)
		{
			result.set_replay(is_replay);
			this->reply(recipient, result, members, context);
			is_replay = true;
		}
	}

	void keyed_calls::reply(outcome_recipient const& recipient, wire::KeyedOutcome result, membership const& members,
		event_context& context)
	{
		result.set_request(recipient.request);
		wire::PeerMessage message;
		*message.mutable_keyed_outcome() = std::move(result);
		context.send(recipient.entry_daemon, members.address_of(recipient.entry_daemon), std::move(message));
	}

	void keyed_calls::handle(
		wire::KeyedOutcome const& outcome, wire::PeerMessage const& /*message*/, event_context& context)
	{
		auto const found = this->accepted_calls.find(outcome.request());
		if (found == this->accepted_calls.end())
		{
			return;
		}
		auto const answered = std::move(found->second);
		this->accepted_calls.erase(found);
		this->accounts->finish(answered.account);
		request_id const request(outcome.request());
		this->totals->keyed_replays += outcome.replay() ? 1 : 0;
		context.record("keyed_call_answered", request, wire::KeyedOutcome::Outcome_Name(outcome.outcome()));
		switch (outcome.outcome())
		{
			case wire::KeyedOutcome::RAN:
				++this->totals->keyed_ran;
				context.emit(answer_plain{request, outcome.answer_dropped() ? 200 : outcome.status(),
					outcome.content_type(), outcome.body(), call_outcome::ran, outcome.replay()});
				break;
			case wire::KeyedOutcome::NOT_RUN:
				++this->totals->keyed_not_run;
				context.emit(answer_failure{request, refusal_kind::not_run, "the call did not run: " + outcome.reason(),
					"send it again with a new idempotency key", default_retry_after, true});
				break;
			case wire::KeyedOutcome::MISMATCH:
				context.emit(answer_failure{request, refusal_kind::key_mismatch, outcome.reason(),
					"use a new key for each call", duration{}, false});
				break;
			default:
				++this->totals->keyed_unknown;
				context.emit(answer_failure{request, refusal_kind::outcome_unknown, outcome.reason(),
					"ask the service whether the call took effect before sending it with a new key", duration{}, true});
				break;
		}
	}

	void keyed_calls::answer_unknown(
		accepted_call const& call, std::string const& request, std::string reason, event_context& context)
	{
		++this->totals->keyed_unknown;
		this->accounts->finish(call.account);
		context.record("keyed_call_answered", request_id(request), "UNKNOWN");
		context.emit(answer_failure{request_id(request), refusal_kind::outcome_unknown, std::move(reason),
			"ask the service whether the call took effect before sending it with a new key", duration{},
			call.passed_on});
	}

	void keyed_calls::handle(caller_gone const& gone)
	{
		// If the call was sent to the holder of its key, the holder still runs it and records its outcome.
		auto const found = this->accepted_calls.find(gone.request.str());
		if (found != this->accepted_calls.end())
		{
			this->accounts->finish(found->second.account);
			this->accepted_calls.erase(found);
		}
	}

	void keyed_calls::handle_tick(membership const& members, event_context& context)
	{
		std::vector<std::string> unanswered;
		for (auto& [request, entry] : this->accepted_calls)
		{
			auto const is_gone = this->holder_of(entry.key) == entry.key.issuer &&
								 members.is_proved_gone(entry.key.issuer, entry.key.started, context.now());
			if (is_gone || context.now() >= entry.deadline)
			{
				unanswered.push_back(request);
			}
			else if (context.now() - entry.sent_at >= resend_interval)
			{
				this->send_to_holder(entry, members, context);
			}
		}
		for (auto const& request : unanswered)
		{
			auto const entry = std::move(this->accepted_calls.at(request));
			this->accepted_calls.erase(request);
			this->answer_unknown(entry, request,
				context.now() >= entry.deadline ? "the daemon that issued the key did not answer in time"
												: "the daemon that issued the key is gone",
				context);
		}
	}

	void keyed_calls::update(std::shared_ptr<active_policy const> const& active)
	{
		this->policy = active;
	}

	void keyed_calls::note_successions(wire::Heartbeat const& heartbeat)
	{
		for (auto const& succession : heartbeat.successions())
		{
			this->successors[table_key(instance_id(succession.issuer()), incarnation(succession.incarnation()))] =
				instance_id(succession.successor());
		}
	}

	std::vector<wire::KeySuccession> keyed_calls::successions() const
	{
		std::vector<wire::KeySuccession> taken;
		for (auto const& [key, table] : this->tables)
		{
			if (key.first != this->settings->instance || key.second != this->settings->started)
			{
				auto& entry = taken.emplace_back();
				entry.set_issuer(key.first.str());
				entry.set_incarnation(key.second.count());
				entry.set_successor(this->settings->instance.str());
			}
		}
		return taken;
	}

	void keyed_calls::start_leaving() noexcept
	{
		this->is_leaving = true;
	}

	bool keyed_calls::hand_over_tables(membership const& members, event_context& context)
	{
		if (!this->running_calls.empty() || !this->mechanisms->key_table_move)
		{
			return this->running_calls.empty();
		}
		std::erase_if(this->tables, [](auto const& table) { return table.second.issued() == 0; });
		if (!this->tables_in_transfer && !this->tables.empty())
		{
			auto const successor = members.highest_ranked(this->settings->instance.str(), {}, context.now());
			if (!successor)
			{
				return true;
			}
			std::vector<wire::KeyTableMove> moves;
			std::ranges::transform(
				this->tables, std::back_inserter(moves), [](auto const& table) { return table.second.export_table(); });
			// From here on this daemon makes no decision about these keys.
			this->tables.clear();
			this->tables_in_transfer.emplace(*successor, std::move(moves));
			this->tables_sent_at = {};
		}
		if (this->tables_in_transfer && context.now() - this->tables_sent_at >= resend_interval)
		{
			this->tables_sent_at = context.now();
			for (auto const& table : this->tables_in_transfer->second)
			{
				wire::PeerMessage message;
				*message.mutable_key_table_move() = table;
				context.send(this->tables_in_transfer->first, members.address_of(this->tables_in_transfer->first),
					std::move(message));
			}
		}
		return !this->tables_in_transfer || !members.is_reachable(this->tables_in_transfer->first, context.now());
	}

	void keyed_calls::handle(wire::KeyTableMove const& moved, wire::PeerMessage const& message,
		membership const& members, event_context& context)
	{
		table_key const key(instance_id(moved.issuer()), incarnation(moved.incarnation()));
		auto const declines = this->is_leaving && !this->tables.contains(key);
		if (!declines &&
			this->tables.try_emplace(key, key_table::import_table(moved, this->settings->key_answer_budget)).second)
		{
			context.record("keys_taken_over", {}, moved.issuer());
		}
		wire::PeerMessage reply;
		reply.mutable_key_table_taken()->set_declined(declines);
		reply.mutable_key_table_taken()->set_issuer(moved.issuer());
		reply.mutable_key_table_taken()->set_incarnation(moved.incarnation());
		instance_id const sender(message.from());
		context.send(sender, members.address_of(sender), std::move(reply));
	}

	void keyed_calls::handle(wire::KeyTableTaken const& taken, event_context& context)
	{
		if (!this->tables_in_transfer)
		{
			return;
		}
		if (taken.declined())
		{
			// A daemon never decides about the keys of a table that it declined, so another daemon can get it.
			for (auto const& move : this->tables_in_transfer->second)
			{
				this->tables.emplace(table_key(instance_id(move.issuer()), incarnation(move.incarnation())),
					key_table::import_table(move, this->settings->key_answer_budget));
			}
			this->tables_in_transfer.reset();
			return;
		}
		std::erase_if(this->tables_in_transfer->second, [&](wire::KeyTableMove const& move)
			{ return move.issuer() == taken.issuer() && move.incarnation() == taken.incarnation(); });
		if (this->tables_in_transfer->second.empty())
		{
			this->tables_in_transfer.reset();
			context.record("keys_handed_over", {});
		}
	}
}
