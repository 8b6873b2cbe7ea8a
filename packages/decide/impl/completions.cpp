#include <godwittrestle/decide/completions.hpp>

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/decide/cancellations.hpp>
#include <godwittrestle/decide/cell_owner.hpp>
#include <godwittrestle/decide/event_context.hpp>
#include <godwittrestle/decide/limits.hpp>
#include <godwittrestle/decide/membership.hpp>
#include <godwittrestle/decide/rendezvous.hpp>
#include <godwittrestle/decide/request_id.hpp>

#include "completion_support.hpp"

namespace godwittrestle::decide
{
	namespace
	{
		// Maximum number of buffered out-of-order tokens of a request. More of them show a fault of the engine.
		constexpr std::size_t max_out_of_order_tokens = 256;
	}

	completions::completions(core_settings const& core, hooks const& varying, limits& account_limits,
		cancellations& pending_cancels, call_id_generator& call_ids, counters& sums)
		: settings(&core)
		, behaviour(&varying)
		, accounts(&account_limits)
		, cancels(&pending_cancels)
		, calls(&call_ids)
		, totals(&sums)
	{
	}

	void completions::start(completion_requested const& asked, std::shared_ptr<active_policy const> const& policy,
		account_id const& account, event_context& context)
	{
		stream next;
		next.request = asked.request;
		next.policy = policy;
		next.service = policy->find_service(asked.service);
		next.account = account;
		next.prompt = asked.prompt;
		next.prompt_tokens = this->behaviour->count_tokens(*asked.prompt);
		next.output_tokens =
			asked.output_tokens.count() == 0 ? token_count(next.service->max_output_tokens()) : asked.output_tokens;
		next.hashes = prefix_hashes(*asked.prompt, next.prompt_tokens.count());
		next.arrived = context.now();
		next.deadline = context.now() + milliseconds(next.service->deadline_ms());
		next.waiting_since = context.now();
		next.last_progress = context.now();
		++this->totals->completions;
		context.record("request_accepted", asked.request, fmt::format("{} prompt tokens", next.prompt_tokens.count()));
		this->streams.emplace(asked.request, std::move(next));
	}

	void completions::update(
		std::shared_ptr<std::vector<cell> const> derived, membership const& members, event_context& context)
	{
		this->cells = std::move(derived);
		for (auto& [request, running] : this->streams)
		{
			auto const* const target = this->find_cell(running.cell);
			auto const owner = target == nullptr ? std::nullopt : owner_of(*target, members, context.now());
			if (target != nullptr && owner && *owner == running.owner)
			{
				continue;
			}
			if (running.current_phase == phase::waiting)
			{
				this->request_lease(running, members, context);
			}
			else if (owner)
			{
				// Reports the lease to the new owner at once, without waiting for the next renewal.
				running.owner = *owner;
				auto const reached = reached_phase(running.current_phase == phase::prefilling, running.is_prefill_used);
				this->send_update(running, reached, members, context);
			}
		}
	}

	void completions::request_lease(stream& asking, membership const& members, event_context& context)
	{
		asking.lease_requested_at = context.now();
		auto const* const target = this->choose_cell(asking);
		auto const owner = target == nullptr ? std::nullopt : owner_of(*target, members, context.now());
		if (!owner)
		{
			return;
		}
		asking.cell = target->id;
		asking.owner = *owner;
		wire::PeerMessage message;
		auto& request = *message.mutable_lease_request();
		request.set_request(asking.request.str());
		request.set_service(asking.service->name());
		request.set_account(asking.account.str());
		request.set_prompt_tokens(asking.prompt_tokens.count() + asking.delivered);
		request.set_output_tokens(asking.output_tokens.count() - asking.delivered);
		request.mutable_prefix_hashes()->Add(asking.hashes.begin(), asking.hashes.end());
		request.set_remaining(to_wire(asking.deadline - context.now()));
		request.set_waited(to_wire(context.now() - asking.waiting_since));
		request.set_attempt(asking.attempt);
		request.set_asked(to_wire(context.now()));
		request.set_cell(asking.cell.str());
		request.set_resumed(asking.delivered > 0);
		std::ranges::for_each(asking.excluded, [&](server_id const& server) { request.add_excluded(server.str()); });
		context.send(*owner, members.address_of(*owner), std::move(message));
	}

	cell const* completions::choose_cell(stream const& wanted) const
	{
		auto const own_region = wanted.policy->region_of(this->settings->data_centre);
		cell const* best = nullptr;
		auto best_rank = std::pair(false, std::uint64_t{0});
		for (auto const& candidate : *this->cells)
		{
			if (candidate.prefill_pool != wanted.service->prefill_pool() ||
				candidate.decode_pool != wanted.service->decode_pool())
			{
				continue;
			}
			// Requests with the same prefix go to the same cell, because its engines have the prefix in their caches.
			auto const key = wanted.hashes.empty() ? wanted.request.str() : std::to_string(wanted.hashes.front());
			auto const candidate_rank = std::pair(candidate.region == own_region, rank(key, candidate.id.str()));
			if (best == nullptr || candidate_rank > best_rank)
			{
				best = &candidate;
				best_rank = candidate_rank;
			}
		}
		return best;
	}

	cell const* completions::find_cell(cell_id const& id) const
	{
		auto const found = std::ranges::find(*this->cells, id, &cell::id);
		return found == this->cells->end() ? nullptr : &*found;
	}

	void completions::handle(wire::LeaseGrant const& grant, wire::PeerMessage const& message, membership const& members,
		event_context& context)
	{
		auto const found = this->streams.find(request_id(grant.request()));
		auto const is_current = found != this->streams.end() && found->second.attempt == grant.attempt();
		if (!is_current)
		{
			// The request has ended, for example because the caller is gone, or a later attempt runs. The lease is
			// released so that its slot does not stay held.
			wire::PeerMessage reply;
			auto& update = *reply.mutable_lease_update();
			update.set_request(grant.request());
			update.set_attempt(grant.attempt());
			update.set_phase(wire::LeaseUpdate::RELEASED);
			update.set_cell(grant.cell());
			context.send(
				instance_id(message.from()), members.address_of(instance_id(message.from())), std::move(reply));
			return;
		}
		auto& granted = found->second;
		if (granted.current_phase != phase::waiting)
		{
			return;
		}
		auto const asked = time_point_from_wire(grant.asked());
		auto const expires = asked + duration_from_wire(grant.valid_for());
		if (context.now() >= expires && this->behaviour->mechanisms.lease_expiry_check)
		{
			context.record("lease_expired", granted.request);
			this->request_lease(granted, members, context);
			return;
		}
		granted.prefill_server = server_id(grant.prefill_server());
		granted.decode_server = server_id(grant.decode_server());
		this->totals->queue_time_us += to_wire(context.now() - granted.waiting_since);
		this->begin_prefill(granted, members, context);
	}

	void completions::begin_prefill(stream& granted, membership const& members, event_context& context)
	{
		auto const* const server = members.find_server(granted.prefill_server);
		if (server == nullptr || !members.accepts_work(granted.prefill_server))
		{
			this->abandon_attempt(granted, true, false, members, context);
			this->retry(granted, members, context);
			return;
		}
		granted.current_phase = phase::prefilling;
		granted.call = this->calls->next();
		granted.call_started = context.now();
		granted.last_progress = context.now();
		granted.is_prefilled = false;
		granted.is_prefill_used = false;
		this->requests_by_call.emplace(*granted.call, granted.request);
		context.record("prefill_started", granted.request, granted.prefill_server.str());
		auto const* const pool = granted.policy->find_pool(granted.service->prefill_pool());
		context.emit(start_prefill{*granted.call, granted.prefill_server, server->address, this->attempt_of(granted),
			pool->model(), granted.prompt, granted.prompt_tokens, granted.delivered, granted.service->priority(),
			granted.deadline - context.now(), granted.hashes});
	}

	void completions::handle(prefill_finished const& finished, membership const& members, event_context& context)
	{
		auto* const ready = this->find(finished.call);
		if (ready == nullptr || ready->current_phase != phase::prefilling)
		{
			return;
		}
		this->requests_by_call.erase(finished.call);
		ready->call.reset();
		ready->transfer = finished.transfer;
		ready->cached = finished.cached_tokens;
		ready->transfer_ready = context.now();
		ready->is_prefilled = true;
		++ready->finished_prefills;
		auto const computed = ready->prompt_tokens.count() + ready->delivered - ready->cached.count();
		this->totals->prefilled_tokens += computed;
		if (ready->first_token)
		{
			// Counts this prefill as wasted: an earlier attempt prefilled the same prompt and already produced tokens.
			this->totals->wasted_tokens += computed;
		}
		context.record("prefill_finished", ready->request, fmt::format("{} tokens from cache", ready->cached.count()));
		this->send_update(*ready, wire::LeaseUpdate::TRANSFERRING, members, context);
		this->begin_decode(*ready, members, context);
	}

	void completions::begin_decode(stream& ready, membership const& members, event_context& context)
	{
		auto const* const server = members.find_server(ready.decode_server);
		if (server == nullptr || !members.accepts_work(ready.decode_server))
		{
			this->abandon_attempt(ready, false, true, members, context);
			this->retry(ready, members, context);
			return;
		}
		ready.current_phase = phase::decoding;
		ready.call = this->calls->next();
		ready.call_started = context.now();
		ready.last_progress = context.now();
		this->requests_by_call.emplace(*ready.call, ready.request);
		context.record("decode_started", ready.request, ready.decode_server.str());
		context.emit(start_decode{*ready.call, ready.decode_server, server->address, this->attempt_of(ready),
			ready.transfer, ready.prompt, ready.delivered, ready.output_tokens, ready.service->priority(),
			ready.deadline - context.now()});
	}

	void completions::handle(token_received const& token, membership const& members, event_context& context)
	{
		auto* const receiving = this->find(token.call);
		if (receiving == nullptr)
		{
			return;
		}
		receiving->last_progress = context.now();
		if (!receiving->is_prefill_used)
		{
			receiving->is_prefill_used = true;
			this->send_update(*receiving, wire::LeaseUpdate::DECODING, members, context);
		}
		if (token.index < receiving->delivered && this->behaviour->mechanisms.token_deduplication)
		{
			++this->totals->dropped_duplicates;
			return;
		}
		if (token.index > receiving->delivered)
		{
			receiving->out_of_order_tokens.emplace(token.index, token.text);
			if (receiving->out_of_order_tokens.size() > max_out_of_order_tokens)
			{
				this->abandon_attempt(*receiving, false, true, members, context);
				this->retry(*receiving, members, context);
			}
			return;
		}
		this->deliver(*receiving, token.index, token.text, context);
	}

	void completions::deliver(stream& receiving, std::uint32_t index, std::string const& text, event_context& context)
	{
		if (!receiving.first_token)
		{
			receiving.first_token = context.now();
			context.record("first_token", receiving.request);
		}
		++this->totals->delivered_tokens;
		context.emit(answer_token{receiving.request, index, text});
		receiving.delivered = std::max(receiving.delivered, index + 1);
		receiving.out_of_order_tokens.erase(index);
		if (auto const next = receiving.out_of_order_tokens.find(receiving.delivered);
			next != receiving.out_of_order_tokens.end())
		{
			auto const next_text = next->second;
			this->deliver(receiving, receiving.delivered, next_text, context);
		}
	}

	void completions::handle(decode_finished const& finished, membership const& members, event_context& context)
	{
		auto* const done = this->find(finished.call);
		if (done == nullptr)
		{
			return;
		}
		if (done->delivered != finished.total)
		{
			// The engine reported the end before all tokens arrived. A new attempt fetches the rest.
			context.record(
				"answer_incomplete", done->request, fmt::format("{} of {}", done->delivered, finished.total));
			this->abandon_attempt(*done, false, true, members, context);
			this->retry(*done, members, context);
			return;
		}
		this->finish(*done, members, context);
	}

	bool completions::handle(call_failed const& failed, membership& members, event_context& context)
	{
		auto* const running = this->find(failed.call);
		if (running == nullptr)
		{
			return false;
		}
		auto const is_prefill = running->current_phase == phase::prefilling;
		auto const& server = is_prefill ? running->prefill_server : running->decode_server;
		context.record(is_prefill ? "prefill_failed" : "decode_failed", running->request, server.str());
		if (failed.kind == call_failure::leaving)
		{
			members.mark_leaving(server, context);
		}
		auto const is_fault = failed.kind != call_failure::rejected;
		running->excluded.push_back(server);
		this->abandon_attempt(*running, is_prefill && is_fault, !is_prefill && is_fault, members, context);
		this->retry(*running, members, context);
		return true;
	}

	void completions::handle(caller_gone const& gone, membership const& members, event_context& context)
	{
		auto const found = this->streams.find(gone.request);
		if (found == this->streams.end())
		{
			return;
		}
		context.record("caller_gone", gone.request);
		this->abandon_attempt(found->second, false, false, members, context);
		this->close(found->second, context);
	}

	void completions::handle(wire::DisownQuery const& query, wire::PeerMessage const& message,
		membership const& members, event_context& context)
	{
		wire::PeerMessage reply;
		auto& disowned = *reply.mutable_disown_reply();
		for (auto const& attempt : query.requests())
		{
			auto const found = this->streams.find(request_of(attempt));
			auto const is_run = found != this->streams.end() && found->second.current_phase != phase::waiting &&
								this->attempt_of(found->second) == attempt;
			if (!is_run)
			{
				disowned.add_disowned(attempt);
			}
		}
		if (!disowned.disowned().empty())
		{
			instance_id const asker(message.from());
			context.send(asker, members.address_of(asker), std::move(reply));
		}
	}

	void completions::handle(wire::LeaseRefusal const& refusal, membership const& members, event_context& context)
	{
		auto const found = this->streams.find(request_id(refusal.request()));
		if (found == this->streams.end() || found->second.attempt != refusal.attempt() ||
			found->second.current_phase != phase::waiting)
		{
			return;
		}
		auto& refused = found->second;
		auto const retry_after = duration_from_wire(refusal.retry_after());
		if (refusal.reason() == wire::LeaseRefusal::NOT_OWNER)
		{
			// Repeats the request after retry_after, when both daemons should have the same view of the membership.
			refused.lease_requested_at = context.now() - lease_request_interval + retry_after;
			return;
		}
		if (refusal.reason() == wire::LeaseRefusal::NO_SERVER)
		{
			this->fail(refused, refusal_kind::no_server, "no engine of the service can be used now",
				"come back after the time in Retry-After", retry_after, members, context);
			return;
		}
		auto const is_late = refusal.reason() == wire::LeaseRefusal::TOO_LATE;
		this->fail(refused, is_late ? refusal_kind::too_late : refusal_kind::deadline,
			is_late ? "the first token would come later than the service allows"
					: "the answer would not be whole by its deadline",
			"come back after the time in Retry-After", retry_after, members, context);
	}

	completions::stream* completions::find(call_id call)
	{
		auto const request = this->requests_by_call.find(call);
		if (request == this->requests_by_call.end())
		{
			return nullptr;
		}
		auto const found = this->streams.find(request->second);
		return found == this->streams.end() ? nullptr : &found->second;
	}

	std::string completions::attempt_of(stream const& running) const
	{
		return attempt_id(running.request, running.attempt);
	}
}
