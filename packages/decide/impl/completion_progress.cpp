#include <godwittrestle/decide/completions.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/decide/cancellations.hpp>
#include <godwittrestle/decide/event_context.hpp>
#include <godwittrestle/decide/limits.hpp>
#include <godwittrestle/decide/membership.hpp>

#include "completion_support.hpp"

// The part of completions that watches the progress of streams, retries and ends them, and sends lease updates to the
// cell owners.
namespace godwittrestle::decide
{
	namespace
	{
		constexpr duration renew_interval = seconds(1);
		// Time beyond the service's patience after which a request without an answer from the cell owner fails.
		constexpr duration owner_reply_margin = milliseconds(500);
		// A decode call that sends no token for this long has stalled. For prefills and transfers, this time is added
		// to the time that the factors below allow.
		constexpr duration stall_timeout = milliseconds(1500);
		// A transfer or a prefill has stalled when it takes this many times as long as the pool's link speed or prefill
		// speed implies.
		constexpr int transfer_time_factor = 4;
		constexpr int prefill_time_factor = 4;
		// A finished prefill is repeated at most once.
		constexpr std::uint32_t max_finished_prefills = 2;
		constexpr std::uint32_t max_attempts = 4;
	}

	void completions::finish(stream& done, membership const& members, event_context& context)
	{
		this->send_update(done, wire::LeaseUpdate::RELEASED, members, context);
		auto const first = done.first_token.value_or(context.now());
		auto const gaps = std::max<std::uint32_t>(done.delivered, 2) - 1;
		auto const is_first_in_time = first - done.arrived <= milliseconds(done.service->first_token_target_ms());
		auto const are_gaps_in_time =
			(context.now() - first) / gaps <= duration(milliseconds(done.service->token_gap_target_ms()));
		++this->totals->answers;
		this->totals->answers_in_time += is_first_in_time && are_gaps_in_time ? 1 : 0;
		context.record("answer_whole", done.request, fmt::format("{} tokens", done.delivered));
		context.emit(answer_end{done.request, done.delivered, is_first_in_time, are_gaps_in_time});
		this->close(done, context);
	}

	void completions::handle_tick(membership const& members, event_context& context)
	{
		if (context.now() - this->leases_renewed_at >= renew_interval)
		{
			this->leases_renewed_at = context.now();
			this->renew_leases(members, context);
		}
		std::vector<request_id> running;
		running.reserve(this->streams.size());
		std::ranges::transform(this->streams, std::back_inserter(running), [](auto const& each) { return each.first; });
		for (auto const& request : running)
		{
			this->check_progress(this->streams.at(request), members, context);
		}
	}

	void completions::check_progress(stream& running, membership const& members, event_context& context)
	{
		if (context.now() >= running.deadline)
		{
			this->abandon_attempt(running, false, false, members, context);
			this->fail(running, refusal_kind::deadline, "the answer was not whole by its deadline",
				"come back after the time in Retry-After", default_retry_after, members, context);
			return;
		}
		if (running.current_phase == phase::waiting)
		{
			auto const patience = milliseconds(running.service->patience_ms()) + owner_reply_margin;
			if (running.delivered == 0 && context.now() - running.waiting_since > patience)
			{
				this->fail(running, refusal_kind::no_server, "no daemon that could grant a lease answered in time",
					"come back after the time in Retry-After", default_retry_after, members, context);
			}
			else if (context.now() - running.lease_requested_at >= lease_request_interval)
			{
				this->request_lease(running, members, context);
			}
			return;
		}
		if (!this->behaviour->mechanisms.stall_detection)
		{
			return;
		}
		auto const* const pool = running.policy->find_pool(running.service->prefill_pool());
		auto const tokens = running.prompt_tokens.count() + running.delivered;
		duration allowed = stall_timeout;
		if (running.current_phase == phase::prefilling)
		{
			allowed +=
				prefill_time_factor * duration(std::uint64_t{tokens} * 1'000'000 / pool->prefill_tokens_per_second());
		}
		else if (!running.is_prefill_used)
		{
			auto const bytes = std::uint64_t{tokens} * pool->kv_bytes_per_token();
			allowed += transfer_time_factor * duration(bytes / pool->link_megabytes_per_second());
		}
		if (context.now() - running.last_progress > allowed)
		{
			auto const is_prefill = running.current_phase == phase::prefilling;
			auto const is_decode = running.current_phase == phase::decoding;
			context.record(
				"stalled", running.request, is_prefill ? running.prefill_server.str() : running.decode_server.str());
			if (!running.decode_server.empty() && is_decode)
			{
				running.excluded.push_back(running.decode_server);
			}
			this->abandon_attempt(running, is_prefill, is_decode, members, context);
			this->retry(running, members, context);
		}
	}

	void completions::retry(stream& failed, membership const& members, event_context& context)
	{
		auto const prefills_left = failed.finished_prefills < max_finished_prefills;
		if (failed.attempt + 1 >= max_attempts || !prefills_left || context.now() >= failed.deadline)
		{
			this->fail(failed, refusal_kind::backend_failed, "the engines failed this request more than once",
				"come back after the time in Retry-After", default_retry_after, members, context);
			return;
		}
		if (failed.delivered >= failed.output_tokens.count())
		{
			// The caller has received all tokens; only the end of the decode call was lost.
			this->finish(failed, members, context);
			return;
		}
		++this->totals->resumed;
		++failed.attempt;
		failed.current_phase = phase::waiting;
		failed.waiting_since = context.now();
		context.record("attempt_started", failed.request,
			fmt::format("attempt {} from token {}", failed.attempt, failed.delivered));
		this->request_lease(failed, members, context);
	}

	void completions::abandon_attempt(
		stream& failed, bool prefill_failed, bool decode_failed, membership const& members, event_context& context)
	{
		if (failed.call)
		{
			context.emit(abort_call{*failed.call});
			this->requests_by_call.erase(*failed.call);
			failed.call.reset();
		}
		this->count_wasted_prefill(failed, context);
		auto const attempt = this->attempt_of(failed);
		if (failed.current_phase != phase::waiting)
		{
			this->cancels->start(failed.prefill_server, attempt, members, context);
		}
		if (failed.current_phase == phase::decoding)
		{
			this->cancels->start(failed.decode_server, attempt, members, context);
		}
		if (!failed.owner.empty())
		{
			wire::PeerMessage message;
			*message.mutable_lease_update() = this->make_update(failed, wire::LeaseUpdate::RELEASED);
			message.mutable_lease_update()->set_prefill_failed(prefill_failed);
			message.mutable_lease_update()->set_decode_failed(decode_failed);
			context.send(failed.owner, members.address_of(failed.owner), std::move(message));
		}
		failed.out_of_order_tokens.clear();
		failed.prefill_server = {};
		failed.decode_server = {};
		failed.is_prefilled = false;
	}

	void completions::count_wasted_prefill(stream const& lost, event_context& context)
	{
		auto const is_cut_short = lost.current_phase == phase::prefilling;
		auto const is_unused = lost.is_prefilled && !lost.is_prefill_used;
		if (is_unused)
		{
			this->totals->wasted_tokens += lost.prompt_tokens.count() + lost.delivered - lost.cached.count();
			this->totals->wasted_prefill_us += to_wire(lost.transfer_ready - lost.call_started);
			context.record("prefill_wasted", lost.request);
		}
		else if (is_cut_short)
		{
			this->totals->wasted_prefill_us += to_wire(context.now() - lost.call_started);
		}
	}

	void completions::fail(stream& failed, refusal_kind kind, std::string message, std::string remedy,
		duration retry_after, membership const& members, event_context& context)
	{
		if (failed.current_phase == phase::waiting && !failed.owner.empty())
		{
			this->send_update(failed, wire::LeaseUpdate::RELEASED, members, context);
		}
		++this->totals->refusals[kind];
		context.record("request_refused", failed.request, std::string(to_string(kind)));
		context.emit(answer_failure{failed.request, kind, std::move(message), std::move(remedy), retry_after, false});
		this->close(failed, context);
	}

	void completions::close(stream const& done, event_context& /*context*/)
	{
		if (done.call)
		{
			this->requests_by_call.erase(*done.call);
		}
		this->accounts->finish(done.account);
		this->streams.erase(done.request);
	}

	wire::LeaseUpdate completions::make_update(stream const& reporting, wire::LeaseUpdate::Phase reached) const
	{
		wire::LeaseUpdate update;
		update.set_request(reporting.request.str());
		update.set_attempt(reporting.attempt);
		update.set_phase(reached);
		update.set_service(reporting.service->name());
		update.set_account(reporting.account.str());
		update.set_prefill_server(reporting.prefill_server.str());
		update.set_decode_server(reporting.decode_server.str());
		update.set_prompt_tokens(reporting.prompt_tokens.count() + reporting.delivered);
		update.set_cached_tokens(reporting.cached.count());
		update.set_output_tokens(reporting.output_tokens.count());
		update.set_produced_tokens(reporting.delivered);
		update.set_cell(reporting.cell.str());
		return update;
	}

	void completions::send_update(
		stream& reporting, wire::LeaseUpdate::Phase reached, membership const& members, event_context& context)
	{
		if (reached == wire::LeaseUpdate::DECODING)
		{
			reporting.gap_start = context.now();
			reporting.gap_start_token = reporting.delivered;
		}
		wire::PeerMessage message;
		*message.mutable_lease_update() = this->make_update(reporting, reached);
		context.send(reporting.owner, members.address_of(reporting.owner), std::move(message));
	}

	void completions::renew_leases(membership const& members, event_context& context)
	{
		std::map<instance_id, wire::PeerMessage> renewals;
		for (auto& [request, running] : this->streams)
		{
			if (running.current_phase == phase::waiting)
			{
				continue;
			}
			auto const reached = reached_phase(running.current_phase == phase::prefilling, running.is_prefill_used);
			auto update = this->make_update(running, reached);
			auto const produced = running.delivered - std::min(running.delivered, running.gap_start_token);
			if (reached == wire::LeaseUpdate::DECODING && running.is_prefill_used && produced > 0)
			{
				update.set_token_gap(to_wire(context.now() - running.gap_start) / produced);
				running.gap_start = context.now();
				running.gap_start_token = running.delivered;
			}
			*renewals[running.owner].mutable_lease_renewal()->add_leases() = std::move(update);
		}
		for (auto& [owner, message] : renewals)
		{
			context.send(owner, members.address_of(owner), std::move(message));
		}
	}
}
