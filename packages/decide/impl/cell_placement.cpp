#include <godwittrestle/decide/cell_scheduler.hpp>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>
#include <tuple>
#include <utility>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/decide/rendezvous.hpp>

#include "cell_support.hpp"

// Scheduling decisions of a cell: which waiting requests are granted which engines, which wait and which are refused.
namespace godwittrestle::decide
{
	namespace
	{
		// A new owner predicts no waiting time for this long, so that it refuses no request as too late while reports
		// from its engines are still missing.
		constexpr duration warm_up_time = milliseconds(500);
		// A prefill is granted this long before its engine is expected to be free, to cover the delay of the messages.
		constexpr duration grant_lead = milliseconds(10);
		constexpr std::size_t max_prefills_per_engine = 2;
		// A cell is saturated while at most 1/saturation_divisor of its decode slots is free.
		constexpr int saturation_divisor = 20;
		constexpr duration network_allowance = milliseconds(5);
		constexpr duration cross_data_centre_cost = milliseconds(1);
		constexpr duration min_retry_after = milliseconds(100);
		// Assumed duration of a stream until the release rate has been measured.
		constexpr duration initial_stream_time = seconds(10);
		constexpr duration max_slot_wait = std::chrono::hours(1);
	}

	scheduling_decisions cell_scheduler::decide(time_point now)
	{
		auto capacity = this->make_forecast(now);
		this->update_capacity_state(capacity, now);
		scheduling_decisions decisions;
		auto is_blocked = false;
		for (auto const& request : this->waiting_in_order(now))
		{
			// While the cell is saturated, a late request is not placed: its slot could serve several requests that can
			// still meet their targets.
			auto const must_yield = is_late(request, now) && this->saturated_since;
			auto const target = is_blocked || must_yield ? std::nullopt : this->place(request, now);
			auto const awaits_prefix = !is_blocked && this->awaits_cached_prefix(request, target, now);
			if (target && !awaits_prefix)
			{
				decisions.granted.push_back(this->grant(request, *target, now));
				capacity = this->make_forecast(now);
			}
			else if (auto refusal = this->refusal_for(request, capacity, now))
			{
				decisions.refused.push_back(std::move(*refusal));
				this->queue.erase(request.attempt);
			}
			else
			{
				// A request that waits for an engine with its cached prefix does not block the requests behind it.
				is_blocked = is_blocked || !awaits_prefix;
				this->add_waiting(capacity, request);
			}
		}
		return decisions;
	}

	std::vector<waiting_request> cell_scheduler::waiting_in_order(time_point now) const
	{
		std::vector<waiting_request> order;
		std::ranges::transform(this->queue.ordered(now), std::back_inserter(order),
			[](waiting_request const* request) { return *request; });
		return order;
	}

	std::optional<lease_refusal> cell_scheduler::refusal_for(
		waiting_request const& request, capacity_forecast const& capacity, time_point now) const
	{
		auto const predicted = this->predict_first_token(request, capacity, now);
		auto const waited = now - request.waiting_since;
		auto const is_late_while_saturated =
			is_late(request, now) && this->saturated_since && now - *this->saturated_since > request.patience / 2;
		auto const is_beyond_patience = this->behaviour->mechanisms.immediate_refusal
											? is_late_while_saturated || waited + predicted > request.patience
											: waited > request.patience;
		auto const stream_time = request.output_tokens.count() * this->expected_token_gap();
		if (!is_beyond_patience && now + predicted + stream_time <= request.deadline)
		{
			return std::nullopt;
		}
		auto const has_usable_engines = capacity.usable_prefill > 0 && capacity.usable_decode > 0;
		auto const reason = !has_usable_engines  ? wire::LeaseRefusal::NO_SERVER
							: is_beyond_patience ? wire::LeaseRefusal::TOO_LATE
												 : wire::LeaseRefusal::DEADLINE;
		auto const late_by = waited + predicted - request.patience;
		return lease_refusal{request, reason, std::max(late_by, min_retry_after)};
	}

	void cell_scheduler::add_waiting(capacity_forecast& capacity, waiting_request const& request) const
	{
		auto const speed = this->prefill.empty() ? 1.0 : this->prefill.begin()->second.tokens_per_us;
		capacity.prefill_backlog += duration(static_cast<duration::rep>(request.prompt_tokens.count() / speed));
		--capacity.slots_left;
	}

	void cell_scheduler::update_capacity_state(capacity_forecast const& capacity, time_point now)
	{
		if (capacity.usable_prefill > 0 && capacity.usable_decode > 0)
		{
			this->usable_at = now;
		}
		auto const slots = std::accumulate(this->decode.begin(), this->decode.end(), 0,
			[](int sum, auto const& engine) { return sum + static_cast<int>(engine.second.limit); });
		if (capacity.slots_left > slots / saturation_divisor)
		{
			this->saturated_since.reset();
		}
		else if (!this->saturated_since)
		{
			this->saturated_since = now;
		}
	}

	cell_scheduler::capacity_forecast cell_scheduler::make_forecast(time_point now) const
	{
		capacity_forecast capacity;
		for (auto const& [id, engine] : this->prefill)
		{
			if (engine.is_usable(now, report_timeout))
			{
				++capacity.usable_prefill;
				capacity.prefill_backlog += std::max(duration{}, engine.busy_until - now);
			}
		}
		for (auto const& [id, engine] : this->decode)
		{
			if (engine.is_usable(now, report_timeout))
			{
				++capacity.usable_decode;
				capacity.slots_left += engine.free_slots();
			}
		}
		auto const rate_per_lease =
			this->release_rate == 0 ? 1.0 / static_cast<double>(initial_stream_time.count()) : this->release_rate;
		capacity.releases_per_us = rate_per_lease * static_cast<double>(this->leases.size());
		return capacity;
	}

	duration cell_scheduler::predict_first_token(
		waiting_request const& request, capacity_forecast const& capacity, time_point now) const
	{
		if (capacity.usable_prefill == 0 || capacity.usable_decode == 0)
		{
			// Requests wait through a short time without usable engines, for example until the engines have reported to
			// a new owner or have loaded a new model.
			return now - this->usable_at < report_timeout ? duration{} : request.patience + min_retry_after;
		}
		if (now - this->created < warm_up_time)
		{
			// The load of the engines is not known yet.
			return {};
		}
		auto const prefill_wait = capacity.prefill_backlog / static_cast<duration::rep>(capacity.usable_prefill);
		auto slot_wait = duration{};
		if (this->behaviour->slots != slot_rule::without_reservation && capacity.slots_left < 1)
		{
			auto const needed = 1 - capacity.slots_left;
			slot_wait = duration(static_cast<duration::rep>(std::min(
				needed / std::max(capacity.releases_per_us, 1e-12), static_cast<double>(max_slot_wait.count()))));
		}
		auto fastest = duration::max();
		for (auto const& [id, engine] : this->prefill)
		{
			if (engine.is_usable(now, report_timeout))
			{
				fastest = std::min(fastest, engine.time_for(this->tokens_to_compute(engine, request)));
			}
		}
		auto const prefill_and_transfer = fastest + this->transfer_time(request.prompt_tokens);
		return std::max(prefill_wait, slot_wait) + prefill_and_transfer + this->expected_token_gap() +
			   network_allowance;
	}

	std::optional<cell_scheduler::placement> cell_scheduler::place_on(
		prefill_engine& engine, waiting_request const& request, time_point now) const
	{
		auto const start = std::max(now, engine.busy_until);
		auto const is_accepting = engine.running.size() < max_prefills_per_engine && start <= now + grant_lead;
		if (!is_accepting || !engine.is_usable(now, report_timeout) || contains(request.excluded, engine.id))
		{
			return std::nullopt;
		}
		placement target;
		target.prefill = &engine;
		target.computed_tokens = this->tokens_to_compute(engine, request);
		target.prefill_time = engine.time_for(target.computed_tokens);
		auto const prefill_end = start + target.prefill_time;
		target.transfer_start = std::max(prefill_end, engine.link_busy_until);
		target.transfer_end = target.transfer_start + this->transfer_time(request.prompt_tokens);
		auto const* const pool = this->policy->find_pool(this->cell_definition.prefill_pool);
		auto const retention = milliseconds(pool->prefill_retention_ms());
		// Rejects a prefill engine that would evict the KV cache before the transfer could end.
		return target.transfer_end - prefill_end < retention ? std::optional(target) : std::nullopt;
	}

	std::optional<cell_scheduler::placement> cell_scheduler::place(waiting_request const& request, time_point now)
	{
		std::vector<placement> options;
		for (auto& [id, engine] : this->prefill)
		{
			if (auto const option = this->place_on(engine, request, now))
			{
				options.push_back(*option);
			}
		}
		// Sorts by the end of the transfer; for the WASTE objective, by the number of tokens to compute first.
		std::ranges::sort(options, std::less{},
			[&](placement const& option)
			{
				auto const computed = request.prefers_no_waste ? option.computed_tokens : token_count{};
				return std::pair(computed, option.transfer_end);
			});
		auto const must_be_free = this->behaviour->slots == slot_rule::with_reservation;
		for (auto& option : options)
		{
			option.decode = this->choose_decode(option.prefill->data_centre, request.excluded, must_be_free, now);
			if (option.decode != nullptr)
			{
				return option;
			}
		}
		return std::nullopt;
	}

	bool cell_scheduler::awaits_cached_prefix(
		waiting_request const& request, std::optional<placement> const& available, time_point now) const
	{
		if (!request.prefers_no_waste || request.prefix_hashes.empty())
		{
			return false;
		}
		auto const computed_now = available ? available->computed_tokens : request.prompt_tokens;
		return std::ranges::any_of(this->prefill | std::views::values,
			[&](prefill_engine const& engine)
			{
				auto const computed = this->tokens_to_compute(engine, request);
				auto const ready = std::max(now, engine.busy_until) + engine.time_for(computed) +
								   this->transfer_time(request.prompt_tokens) + this->expected_token_gap();
				auto const is_in_time = ready - request.waiting_since <= request.first_token_target;
				return engine.is_usable(now, report_timeout) && computed < computed_now && is_in_time;
			});
	}

	token_count cell_scheduler::tokens_to_compute(prefill_engine const& engine, waiting_request const& request) const
	{
		auto const cached =
			static_cast<std::uint32_t>(engine.hints.cached_prefix_length(request.prefix_hashes)) * block_tokens;
		return token_count(request.prompt_tokens.count() - std::min(request.prompt_tokens.count(), cached));
	}

	decode_engine* cell_scheduler::choose_decode(
		data_centre_id const& near, std::vector<server_id> const& excluded, bool must_be_free, time_point now)
	{
		decode_engine* best = nullptr;
		auto best_score = std::tuple(false, 0, false);
		for (auto& [id, engine] : this->decode)
		{
			if (!engine.is_usable(now, report_timeout) || contains(excluded, id))
			{
				continue;
			}
			auto const free = engine.free_slots();
			// Prefers a free slot in the data centre of the prefill engine, then the engine with the most free slots.
			auto const score = std::tuple(free > 0 && engine.data_centre == near, free, engine.data_centre == near);
			if ((free > 0 || !must_be_free) && (best == nullptr || score > best_score))
			{
				best = &engine;
				best_score = score;
			}
		}
		return best;
	}

	duration cell_scheduler::transfer_time(token_count prompt_tokens) const noexcept
	{
		auto const* const pool = this->policy->find_pool(this->cell_definition.prefill_pool);
		auto const bytes = static_cast<double>(prompt_tokens.count()) * pool->kv_bytes_per_token();
		// 1 MB/s equals 1 byte per microsecond.
		return duration(static_cast<duration::rep>(bytes / pool->link_megabytes_per_second())) + cross_data_centre_cost;
	}

	duration cell_scheduler::expected_token_gap() const noexcept
	{
		auto sum = 0.0;
		auto known = 0;
		for (auto const& [id, engine] : this->decode)
		{
			sum += engine.token_gap_us;
			known += engine.token_gap_us > 0 ? 1 : 0;
		}
		return known == 0 ? this->token_gap_target : duration(static_cast<duration::rep>(sum / known));
	}

	lease cell_scheduler::grant(waiting_request const& request, placement const& target, time_point now)
	{
		lease granted;
		granted.attempt = request.attempt;
		granted.request = request.request;
		granted.attempt_number = request.attempt_number;
		granted.entry_daemon = request.entry_daemon;
		granted.service = request.service;
		granted.account = request.account;
		granted.prefill_server = target.prefill->id;
		granted.prompt_tokens = request.prompt_tokens;
		granted.output_tokens = request.output_tokens;
		granted.granted_at = now;
		granted.renewed_at = now;
		granted.asked_clock = request.asked_clock;
		target.prefill->start(request.attempt, target.prefill_time, now);
		target.prefill->link_busy_until = target.transfer_end;
		std::ranges::for_each(request.prefix_hashes, [&](std::uint64_t block) { target.prefill->hints.add(block); });
		if (target.decode != nullptr)
		{
			granted.decode_server = target.decode->id;
			target.decode->active.insert(request.attempt);
		}
		this->queue.advance_virtual_time(request);
		this->leases.emplace(request.attempt, granted);
		this->queue.erase(request.attempt);
		return granted;
	}
}
