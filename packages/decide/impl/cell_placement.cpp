#include <godwittrestle/decide/cell_ledger.hpp>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>
#include <tuple>
#include <utility>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/decide/rendezvous.hpp>

#include "cell_support.hpp"

// Who is granted which engines now, who waits, and who is refused.
namespace godwittrestle::decide
{
	namespace
	{
		// A new owner refuses nobody as too late before it has had time to hear of its engines.
		constexpr duration warm_up_time = milliseconds(500);
		// A prefill is granted this long before its engine is expected to be free, to cover the way of the messages.
		constexpr duration grant_lead = milliseconds(10);
		constexpr std::size_t max_prefills_per_engine = 2;
		// A cell with less than this part of its slots free is saturated.
		constexpr int saturation_divisor = 20;
		constexpr duration network_allowance = milliseconds(5);
		constexpr duration cross_data_centre_cost = milliseconds(1);
		constexpr duration least_retry_after = milliseconds(100);
		// Expected stream length before any stream has ended.
		constexpr duration initial_stream_time = seconds(10);
		constexpr duration longest_wait = std::chrono::hours(1);
	}

	ledger_decisions cell_ledger::decide(time_point now)
	{
		auto ahead = this->make_forecast(now);
		this->note_capacity(ahead, now);
		ledger_decisions decisions;
		auto is_blocked = false;
		for (auto const& request : this->waiting_in_order(now))
		{
			// A late request gets only what those in time leave: its slot would be lost to several of them.
			auto const must_yield = is_late(request, now) && this->saturated_since;
			auto const where = is_blocked || must_yield ? std::nullopt : this->place(request, now);
			auto const awaits_prefix = !is_blocked && this->awaits_cached_prefix(request, where, now);
			if (where && !awaits_prefix)
			{
				decisions.granted.push_back(this->grant(request, *where, now));
				ahead = this->make_forecast(now);
			}
			else if (auto refusal = this->refusal_for(request, ahead, now))
			{
				decisions.refused.push_back(std::move(*refusal));
				this->queue.erase(request.attempt);
			}
			else
			{
				// Who waits for one engine by choice holds nobody up.
				is_blocked = is_blocked || !awaits_prefix;
				this->add_waiting(ahead, request);
			}
		}
		return decisions;
	}

	std::vector<waiting_request> cell_ledger::waiting_in_order(time_point now) const
	{
		std::vector<waiting_request> order;
		std::ranges::transform(this->queue.ordered(now), std::back_inserter(order),
			[](waiting_request const* request) { return *request; });
		return order;
	}

	std::optional<lease_refusal> cell_ledger::refusal_for(
		waiting_request const& request, forecast const& ahead, time_point now) const
	{
		auto const predicted = this->predict_first_token(request, ahead, now);
		auto const waited = now - request.waiting_since;
		auto const is_crowded_out =
			is_late(request, now) && this->saturated_since && now - *this->saturated_since > request.patience / 2;
		auto const is_hopeless = this->behaviour->mechanisms.immediate_refusal
									 ? is_crowded_out || waited + predicted > request.patience
									 : waited > request.patience;
		auto const stream_time = request.output_tokens.count() * this->usual_token_gap();
		if (!is_hopeless && now + predicted + stream_time <= request.deadline)
		{
			return std::nullopt;
		}
		auto const is_served = ahead.usable_prefill > 0 && ahead.usable_decode > 0;
		auto const reason = !is_served    ? wire::LeaseRefusal::NO_SERVER
							: is_hopeless ? wire::LeaseRefusal::TOO_LATE
										  : wire::LeaseRefusal::DEADLINE;
		auto const late_by = waited + predicted - request.patience;
		return lease_refusal{request, reason, std::max(late_by, least_retry_after)};
	}

	void cell_ledger::add_waiting(forecast& ahead, waiting_request const& request) const
	{
		auto const speed = this->prefill.empty() ? 1.0 : this->prefill.begin()->second.tokens_per_us;
		ahead.prefill_backlog += duration(static_cast<duration::rep>(request.prompt_tokens.count() / speed));
		--ahead.slots_left;
	}

	void cell_ledger::note_capacity(forecast const& ahead, time_point now)
	{
		if (ahead.usable_prefill > 0 && ahead.usable_decode > 0)
		{
			this->usable_at = now;
		}
		auto const slots = std::accumulate(this->decode.begin(), this->decode.end(), 0,
			[](int sum, auto const& engine) { return sum + static_cast<int>(engine.second.limit); });
		if (ahead.slots_left > slots / saturation_divisor)
		{
			this->saturated_since.reset();
		}
		else if (!this->saturated_since)
		{
			this->saturated_since = now;
		}
	}

	cell_ledger::forecast cell_ledger::make_forecast(time_point now) const
	{
		forecast ahead;
		for (auto const& [id, engine] : this->prefill)
		{
			if (engine.is_usable(now, report_timeout))
			{
				++ahead.usable_prefill;
				ahead.prefill_backlog += std::max(duration{}, engine.busy_until - now);
			}
		}
		for (auto const& [id, engine] : this->decode)
		{
			if (engine.is_usable(now, report_timeout))
			{
				++ahead.usable_decode;
				ahead.slots_left += engine.free_slots();
			}
		}
		auto const hazard =
			this->release_hazard == 0 ? 1.0 / static_cast<double>(initial_stream_time.count()) : this->release_hazard;
		ahead.releases_per_us = hazard * static_cast<double>(this->leases.size());
		return ahead;
	}

	duration cell_ledger::predict_first_token(
		waiting_request const& request, forecast const& ahead, time_point now) const
	{
		if (ahead.usable_prefill == 0 || ahead.usable_decode == 0)
		{
			// A short gap is waited out, as while a new owner or a new model has not been heard of yet.
			return now - this->usable_at < report_timeout ? duration{} : request.patience + least_retry_after;
		}
		if (now - this->created < warm_up_time)
		{
			// What the engines hold is not known yet.
			return {};
		}
		auto const prefill_wait = ahead.prefill_backlog / static_cast<duration::rep>(ahead.usable_prefill);
		auto slot_wait = duration{};
		if (this->behaviour->slots != slot_rule::without_reservation && ahead.slots_left < 1)
		{
			auto const needed = 1 - ahead.slots_left;
			slot_wait = duration(static_cast<duration::rep>(
				std::min(needed / std::max(ahead.releases_per_us, 1e-12), static_cast<double>(longest_wait.count()))));
		}
		auto fastest = duration::max();
		for (auto const& [id, engine] : this->prefill)
		{
			if (engine.is_usable(now, report_timeout))
			{
				fastest = std::min(fastest, engine.time_for(this->computed_on(engine, request)));
			}
		}
		auto const own = fastest + this->transfer_time(request.prompt_tokens);
		return std::max(prefill_wait, slot_wait) + own + this->usual_token_gap() + network_allowance;
	}

	std::optional<cell_ledger::placement> cell_ledger::place_on(
		prefill_engine& engine, waiting_request const& request, time_point now) const
	{
		auto const start = std::max(now, engine.busy_until);
		auto const is_open = engine.running.size() < max_prefills_per_engine && start <= now + grant_lead;
		if (!is_open || !engine.is_usable(now, report_timeout) || contains(request.excluded, engine.id))
		{
			return std::nullopt;
		}
		placement where;
		where.prefill = &engine;
		where.computed_tokens = this->computed_on(engine, request);
		where.prefill_time = engine.time_for(where.computed_tokens);
		auto const prefill_end = start + where.prefill_time;
		where.transfer_start = std::max(prefill_end, engine.link_busy_until);
		where.transfer_end = where.transfer_start + this->transfer_time(request.prompt_tokens);
		auto const* const pool = this->policy->find_pool(this->self.prefill_pool);
		auto const retention = milliseconds(pool->prefill_retention_ms());
		// A transfer that can't end before the eviction is not started.
		return where.transfer_end - prefill_end < retention ? std::optional(where) : std::nullopt;
	}

	std::optional<cell_ledger::placement> cell_ledger::place(waiting_request const& request, time_point now)
	{
		std::vector<placement> options;
		for (auto& [id, engine] : this->prefill)
		{
			if (auto const option = this->place_on(engine, request, now))
			{
				options.push_back(*option);
			}
		}
		// The earliest first token, or the least work done again, as the service's objective wants it.
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

	bool cell_ledger::awaits_cached_prefix(
		waiting_request const& request, std::optional<placement> const& open, time_point now) const
	{
		if (!request.prefers_no_waste || request.prefix_hashes.empty())
		{
			return false;
		}
		auto const computed_now = open ? open->computed_tokens : request.prompt_tokens;
		return std::ranges::any_of(this->prefill | std::views::values,
			[&](prefill_engine const& engine)
			{
				auto const computed = this->computed_on(engine, request);
				auto const ready = std::max(now, engine.busy_until) + engine.time_for(computed) +
								   this->transfer_time(request.prompt_tokens) + this->usual_token_gap();
				auto const is_in_time = ready - request.waiting_since <= request.first_token_target;
				return engine.is_usable(now, report_timeout) && computed < computed_now && is_in_time;
			});
	}

	token_count cell_ledger::computed_on(prefill_engine const& engine, waiting_request const& request) const
	{
		auto const cached = static_cast<std::uint32_t>(engine.hints.leading(request.prefix_hashes)) * piece_tokens;
		return token_count(request.prompt_tokens.count() - std::min(request.prompt_tokens.count(), cached));
	}

	decode_engine* cell_ledger::choose_decode(
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
			// A free slot near by first, then the emptiest engine.
			auto const score = std::tuple(free > 0 && engine.data_centre == near, free, engine.data_centre == near);
			if ((free > 0 || !must_be_free) && (best == nullptr || score > best_score))
			{
				best = &engine;
				best_score = score;
			}
		}
		return best;
	}

	duration cell_ledger::transfer_time(token_count prompt_tokens) const noexcept
	{
		auto const* const pool = this->policy->find_pool(this->self.prefill_pool);
		auto const bytes = static_cast<double>(prompt_tokens.count()) * pool->kv_bytes_per_token();
		// A megabyte a second is a byte a microsecond.
		return duration(static_cast<duration::rep>(bytes / pool->link_megabytes_per_second())) + cross_data_centre_cost;
	}

	duration cell_ledger::usual_token_gap() const noexcept
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

	lease cell_ledger::grant(waiting_request const& request, placement const& where, time_point now)
	{
		lease granted;
		granted.attempt = request.attempt;
		granted.request = request.request;
		granted.attempt_number = request.attempt_number;
		granted.entry = request.entry;
		granted.service = request.service;
		granted.account = request.account;
		granted.prefill_server = where.prefill->id;
		granted.prompt_tokens = request.prompt_tokens;
		granted.output_tokens = request.output_tokens;
		granted.granted_at = now;
		granted.renewed_at = now;
		granted.asked_clock = request.asked_clock;
		where.prefill->start(request.attempt, where.prefill_time, now);
		where.prefill->link_busy_until = where.transfer_end;
		std::ranges::for_each(request.prefix_hashes, [&](std::uint64_t piece) { where.prefill->hints.add(piece); });
		if (where.decode != nullptr)
		{
			granted.decode_server = where.decode->id;
			where.decode->active.insert(request.attempt);
		}
		this->queue.note_served(request);
		this->leases.emplace(request.attempt, granted);
		this->queue.erase(request.attempt);
		return granted;
	}
}
