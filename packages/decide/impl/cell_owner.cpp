#include <godwittrestle/decide/cell_owner.hpp>

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/decide/cancellations.hpp>
#include <godwittrestle/decide/event_context.hpp>
#include <godwittrestle/decide/membership.hpp>
#include <godwittrestle/decide/request_id.hpp>
#include <godwittrestle/decide/wire_time.hpp>

namespace godwittrestle::decide
{
	namespace
	{
		// Minimum time between two queries about the same attempt.
		constexpr duration disown_interval = milliseconds(300);
		// A load report may be older than the release of an attempt. resolve_orphan is called only for an attempt that
		// has been reported without a lease for this long.
		constexpr duration unclaimed_delay = milliseconds(400);
		constexpr duration unclaimed_retention = seconds(5);
		constexpr duration order_interval = milliseconds(500);
		constexpr duration lapse_check_interval = milliseconds(50);
		constexpr duration not_owner_retry = milliseconds(50);

		std::string_view role_name(policy::PoolRole role) noexcept
		{
			return role == policy::PREFILL ? "prefill" : "decode";
		}

		wire::PeerMessage make_refusal(
			std::string const& request, std::uint32_t attempt, wire::LeaseRefusal::Reason reason, duration retry_after)
		{
			wire::PeerMessage message;
			auto& refusal = *message.mutable_lease_refusal();
			refusal.set_request(request);
			refusal.set_attempt(attempt);
			refusal.set_reason(reason);
			refusal.set_retry_after(to_wire(retry_after));
			return message;
		}

		wire::PeerMessage make_grant(lease const& held, cell_id const& cell, duration lifetime)
		{
			wire::PeerMessage message;
			auto& grant = *message.mutable_lease_grant();
			grant.set_request(held.request.str());
			grant.set_attempt(held.attempt_number);
			grant.set_prefill_server(held.prefill_server.str());
			grant.set_decode_server(held.decode_server.str());
			grant.set_valid_for(to_wire(lifetime));
			grant.set_asked(held.asked_clock);
			grant.set_cell(cell.str());
			return message;
		}

		waiting_request make_waiting(wire::PeerMessage const& message, wire::LeaseRequest const& asked,
			policy::Service const& service, time_point now)
		{
			waiting_request request;
			request.request = request_id(asked.request());
			request.attempt_number = asked.attempt();
			request.attempt = attempt_id(request.request, asked.attempt());
			request.entry_daemon = instance_id(message.from());
			request.service = service_id(asked.service());
			request.account = account_id(asked.account());
			// A retry gets the highest priority, because the request may already have cost a prefill.
			request.priority = asked.attempt() == 0 ? service.priority() : 0;
			request.prompt_tokens = token_count(asked.prompt_tokens());
			request.output_tokens = token_count(asked.output_tokens());
			request.prefix_hashes.assign(asked.prefix_hashes().begin(), asked.prefix_hashes().end());
			std::ranges::transform(asked.excluded(), std::back_inserter(request.excluded),
				[](std::string const& server) { return server_id(server); });
			request.deadline = now + duration_from_wire(asked.remaining());
			request.waiting_since = now - duration_from_wire(asked.waited());
			request.asked_at = now;
			request.asked_clock = asked.asked();
			// A caller that has received part of its answer waits for the rest until the deadline of the request.
			request.patience =
				asked.resumed() ? duration_from_wire(asked.remaining()) : duration(milliseconds(service.patience_ms()));
			request.first_token_target = milliseconds(service.first_token_target_ms());
			request.is_resumed = asked.resumed();
			request.prefers_no_waste = service.objective() == policy::WASTE;
			return request;
		}
	}

	std::optional<instance_id> owner_of(cell const& target, membership const& members, time_point now)
	{
		return members.highest_ranked(target.id.str(), target.data_centres, now);
	}

	cell_owner::cell_owner(core_settings const& core, hooks const& injected_hooks, cancellations& pending_cancels,
		counters& shared_counters)
		: settings(&core)
		, behaviour(&injected_hooks)
		, cancels(&pending_cancels)
		, totals(&shared_counters)
	{
	}

	void cell_owner::update(std::vector<cell> const& cells, std::shared_ptr<active_policy const> const& active,
		membership const& members, event_context& context)
	{
		this->policy = active;
		std::set<cell_id> owned;
		for (auto const& each : cells)
		{
			if (owner_of(each, members, context.now()) != this->settings->instance)
			{
				continue;
			}
			owned.insert(each.id);
			auto const [entry, is_new] =
				this->schedulers.try_emplace(each.id, each, active, *this->settings, *this->behaviour, context.now());
			entry->second.update(each, active, members);
			if (is_new)
			{
				context.record("cell_taken", {}, each.id.str());
			}
		}
		for (auto entry = this->schedulers.begin(); entry != this->schedulers.end();)
		{
			if (owned.contains(entry->first))
			{
				++entry;
				continue;
			}
			context.record("cell_given_up", {}, entry->first.str());
			for (auto const& waiting : entry->second.remove_all_waiting())
			{
				context.send(waiting.entry_daemon, members.address_of(waiting.entry_daemon),
					make_refusal(
						waiting.request.str(), waiting.attempt_number, wire::LeaseRefusal::NOT_OWNER, not_owner_retry));
			}
			entry = this->schedulers.erase(entry);
		}
	}

	void cell_owner::handle(wire::PeerMessage const& message, wire::LeaseRequest const& asked,
		membership const& members, event_context& context)
	{
		auto* const scheduler = this->scheduler_for(cell_id(asked.cell()));
		auto const* const service = this->policy ? this->policy->find_service(service_id(asked.service())) : nullptr;
		instance_id const entry_daemon(message.from());
		if (scheduler == nullptr || service == nullptr)
		{
			context.send(entry_daemon, members.address_of(entry_daemon),
				make_refusal(asked.request(), asked.attempt(), wire::LeaseRefusal::NOT_OWNER, not_owner_retry));
			return;
		}
		auto const attempt = attempt_id(request_id(asked.request()), asked.attempt());
		if (auto const* const held = scheduler->find(attempt))
		{
			// The attempt already has a lease: its grant was lost, or had not arrived when the request was sent.
			auto renewed = *held;
			renewed.asked_clock = asked.asked();
			context.send(entry_daemon, members.address_of(entry_daemon),
				make_grant(renewed, scheduler->definition().id, this->settings->lease_lifetime));
			return;
		}
		scheduler->enqueue(make_waiting(message, asked, *service, context.now()));
		this->decide(*scheduler, members, context);
	}

	void cell_owner::handle(wire::PeerMessage const& message, wire::LeaseUpdate const& update,
		membership const& members, event_context& context)
	{
		auto* const scheduler = this->scheduler_for(cell_id(update.cell()));
		if (scheduler == nullptr)
		{
			return;
		}
		scheduler->apply(update, instance_id(message.from()), context.now());
		this->decide(*scheduler, members, context);
	}

	void cell_owner::handle(wire::PeerMessage const& message, wire::DisownReply const& reply, membership const& members,
		event_context& context)
	{
		for (auto const& attempt : reply.disowned())
		{
			auto const origin = origin_of(attempt);
			auto const known = this->unclaimed.find(attempt);
			auto const is_from_origin =
				origin && origin->instance.str() == message.from() && origin->started.count() == message.incarnation();
			if (known != this->unclaimed.end() && is_from_origin)
			{
				this->cancel_orphan(attempt, known->second.server, members, context);
			}
		}
	}

	void cell_owner::handle(load_reported const& reported, membership& members, event_context& context)
	{
		if (reported.report.leaving)
		{
			members.mark_leaving(reported.server, context);
		}
		auto* const scheduler = this->scheduler_with(reported.server);
		if (scheduler == nullptr)
		{
			return;
		}
		auto const matches_policy = this->ensure_model_and_role(*scheduler, reported, members, context);
		scheduler->apply(reported.server, reported.report, matches_policy, context.now());
		this->find_orphans(*scheduler, reported, members, context);
		this->decide(*scheduler, members, context);
	}

	void cell_owner::handle_tick(membership& members, owner_authority current, event_context& context)
	{
		this->authority = current;
		auto const is_check_due = context.now() - this->lapses_checked_at >= lapse_check_interval;
		this->lapses_checked_at = is_check_due ? context.now() : this->lapses_checked_at;
		for (auto& [id, scheduler] : this->schedulers)
		{
			if (is_check_due)
			{
				this->totals->leases_lapsed += scheduler.remove_expired(members, context.now());
				this->poll_engines(scheduler, members, context);
			}
			this->decide(scheduler, members, context);
		}
		std::erase_if(this->unclaimed,
			[&](auto const& each) { return context.now() - each.second.first_seen > unclaimed_retention; });
	}

	void cell_owner::reset() noexcept
	{
		this->schedulers.clear();
		this->unclaimed.clear();
		this->pending_orders.clear();
	}

	cell_scheduler* cell_owner::scheduler_for(cell_id const& target)
	{
		auto const found = this->schedulers.find(target);
		return found == this->schedulers.end() ? nullptr : &found->second;
	}

	cell_scheduler* cell_owner::scheduler_with(server_id const& server)
	{
		auto const found = std::ranges::find_if(this->schedulers,
			[&](auto const& each)
			{
				auto const& cell = each.second.definition();
				return contains(cell.prefill, server) || contains(cell.decode, server);
			});
		return found == this->schedulers.end() ? nullptr : &found->second;
	}

	void cell_owner::decide(cell_scheduler& scheduler, membership const& members, event_context& context)
	{
		if (!this->authority.may_grant)
		{
			return;
		}
		auto const decisions = scheduler.decide(context.now());
		for (auto const& granted : decisions.granted)
		{
			++this->totals->leases_granted;
			context.record("lease_granted", granted.request,
				fmt::format("{} -> {}", granted.prefill_server.str(), granted.decode_server.str()));
			context.send(granted.entry_daemon, members.address_of(granted.entry_daemon),
				make_grant(granted, scheduler.definition().id, this->settings->lease_lifetime));
		}
		for (auto const& refused : decisions.refused)
		{
			context.record("lease_refused", refused.request.request, wire::LeaseRefusal::Reason_Name(refused.reason));
			context.send(refused.request.entry_daemon, members.address_of(refused.request.entry_daemon),
				make_refusal(refused.request.request.str(), refused.request.attempt_number, refused.reason,
					refused.retry_after));
		}
	}

	void cell_owner::poll_engines(cell_scheduler const& scheduler, membership const& members, event_context& context)
	{
		auto const poll = [&](server_id const& id)
		{
			auto const [entry, is_new] = this->last_polled.try_emplace(id, context.now());
			auto const* const server = members.find_server(id);
			if (server == nullptr || (!is_new && context.now() - entry->second < this->settings->load_poll_interval))
			{
				return;
			}
			entry->second = context.now();
			context.emit(poll_load{id, server->address, scheduler.cache_sequence(id)});
		};
		std::ranges::for_each(scheduler.definition().prefill, poll);
		std::ranges::for_each(scheduler.definition().decode, poll);
	}

	void cell_owner::find_orphans(
		cell_scheduler const& scheduler, load_reported const& reported, membership& members, event_context& context)
	{
		if (!this->behaviour->mechanisms.orphan_cleanup)
		{
			return;
		}
		for (auto const& held : reported.report.held)
		{
			if (scheduler.find(held.attempt) != nullptr)
			{
				this->unclaimed.erase(held.attempt);
				continue;
			}
			auto const [entry, is_new] =
				this->unclaimed.try_emplace(held.attempt, unclaimed_attempt{context.now(), {}, reported.server});
			entry->second.server = reported.server;
			auto const is_lasting = context.now() - entry->second.first_seen >= unclaimed_delay;
			if (is_lasting && context.now() - entry->second.last_asked >= disown_interval)
			{
				entry->second.last_asked = context.now();
				this->resolve_orphan(held.attempt, reported.server, members, context);
			}
		}
	}

	void cell_owner::resolve_orphan(
		std::string const& attempt, server_id const& server, membership& members, event_context& context)
	{
		auto const origin = origin_of(attempt);
		if (!origin)
		{
			// The request comes from another system: its load counts, but this daemon must not cancel it.
			return;
		}
		auto const is_gone = members.is_proved_gone(origin->instance, origin->started, context.now());
		if (is_gone || !this->behaviour->mechanisms.disown_proof)
		{
			this->cancel_orphan(attempt, server, members, context);
			return;
		}
		if (!members.is_reachable(origin->instance, context.now()))
		{
			members.probe(origin->instance, context);
			return;
		}
		wire::PeerMessage query;
		query.mutable_disown_query()->add_requests(attempt);
		context.send(origin->instance, members.address_of(origin->instance), std::move(query));
	}

	void cell_owner::cancel_orphan(
		std::string const& attempt, server_id const& server, membership const& members, event_context& context)
	{
		++this->totals->orphans_cancelled;
		context.record("orphan_cancelled", request_of(attempt), server.str());
		this->cancels->start(server, attempt, members, context);
	}

	bool cell_owner::ensure_model_and_role(cell_scheduler const& scheduler, load_reported const& reported,
		membership const& members, event_context& context)
	{
		auto const is_prefill = contains(scheduler.definition().prefill, reported.server);
		auto const* const pool = this->policy->find_pool(
			is_prefill ? scheduler.definition().prefill_pool : scheduler.definition().decode_pool);
		auto const* const server = members.find_server(reported.server);
		if (pool == nullptr || server == nullptr)
		{
			return false;
		}
		auto const role = role_name(pool->role());
		if (reported.report.model == pool->model() && reported.report.role == role)
		{
			this->pending_orders.erase(reported.server);
			return true;
		}
		auto const fence = this->policy->version();
		auto const [entry, is_new] =
			this->pending_orders.try_emplace(reported.server, pending_order{fence, context.now()});
		auto const is_due = entry->second.fence != fence || (context.now() - entry->second.sent >= order_interval &&
																this->behaviour->mechanisms.order_repetition);
		// If the engine reports a higher fencing number, this daemon's policy is out of date.
		auto const may_order =
			this->authority.may_grant && this->authority.may_send_orders && reported.report.fence <= fence;
		if (is_due && may_order)
		{
			this->pending_orders[reported.server] = pending_order{fence, context.now()};
			++this->totals->orders_sent;
			context.emit(send_order{reported.server, server->address, pool->model(), std::string(role), fence});
			context.record(
				"order_sent", {}, fmt::format("{} {} {}", reported.server.str(), pool->model(), fence.count()));
		}
		return false;
	}
}
