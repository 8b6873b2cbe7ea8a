#include <godwittrestle/decide/cell_scheduler.hpp>

#include <algorithm>
#include <numeric>
#include <ranges>
#include <utility>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/decide/membership.hpp>
#include <godwittrestle/decide/request_id.hpp>
#include <godwittrestle/decide/wire_time.hpp>

#include "cell_support.hpp"

namespace godwittrestle::decide
{
	namespace
	{
		// Time for which a report may still name a released attempt.
		constexpr duration released_retention = seconds(2);
		// Time for which an engine gets no new work after a call to it failed.
		constexpr duration failure_avoidance = seconds(2);
		constexpr duration release_rate_interval = milliseconds(500);
		constexpr double release_rate_smoothing = 0.1;

		template <typename Engines>
		void keep_only(Engines& engines, std::vector<server_id> const& ids)
		{
			std::erase_if(engines, [&](auto const& engine) { return !contains(ids, engine.first); });
		}
	}

	cell_scheduler::cell_scheduler(cell definition, std::shared_ptr<active_policy const> active,
		core_settings const& core, hooks const& injected_hooks, time_point now)
		: cell_definition(std::move(definition))
		, policy(std::move(active))
		, settings(&core)
		, behaviour(&injected_hooks)
		, created(now)
		, usable_at(now)
		, release_rate_read_at(now)
	{
	}

	void cell_scheduler::update(cell definition, std::shared_ptr<active_policy const> active, membership const& members)
	{
		this->cell_definition = std::move(definition);
		this->policy = std::move(active);
		keep_only(this->prefill, this->cell_definition.prefill);
		keep_only(this->decode, this->cell_definition.decode);
		auto const* const prefill_pool = this->policy->find_pool(this->cell_definition.prefill_pool);
		auto const* const decode_pool = this->policy->find_pool(this->cell_definition.decode_pool);
		auto const refresh = [&](engine_base& engine, server_id const& id)
		{
			engine.id = id;
			engine.data_centre = members.find_server(id)->data_centre;
			engine.accepts_work = members.accepts_work(id);
		};
		for (auto const& id : this->cell_definition.prefill)
		{
			auto const speed = static_cast<double>(prefill_pool->prefill_tokens_per_second());
			refresh(this->prefill.try_emplace(id, speed).first->second, id);
		}
		for (auto const& id : this->cell_definition.decode)
		{
			auto& engine = this->decode[id];
			refresh(engine, id);
			if (engine.slots != decode_pool->slots_per_server())
			{
				engine.slots = decode_pool->slots_per_server();
				engine.limit = engine.slots;
			}
		}
		this->token_gap_target = {};
		for (auto const& service : this->policy->document().policy().services())
		{
			if (service.decode_pool() == this->cell_definition.decode_pool)
			{
				duration const target = milliseconds(service.token_gap_target_ms());
				this->token_gap_target =
					this->token_gap_target == duration{} ? target : std::min(this->token_gap_target, target);
			}
		}
	}

	void cell_scheduler::enqueue(waiting_request request)
	{
		auto least = duration::max();
		for (auto const& [id, engine] : this->prefill)
		{
			least = std::min(least, engine.time_for(this->tokens_to_compute(engine, request)));
		}
		request.min_time_to_first_token =
			this->prefill.empty() ? duration{}
								  : least + this->transfer_time(request.prompt_tokens) + this->expected_token_gap();
		this->queue.push(std::move(request));
	}

	lease const* cell_scheduler::find(std::string const& attempt) const
	{
		auto const found = this->leases.find(attempt);
		return found == this->leases.end() ? nullptr : &found->second;
	}

	void cell_scheduler::apply(wire::LeaseUpdate const& update, instance_id const& entry_daemon, time_point now)
	{
		auto const attempt = attempt_id(request_id(update.request()), update.attempt());
		this->record_failures(update, now);
		if (update.phase() == wire::LeaseUpdate::RELEASED)
		{
			this->queue.erase(attempt);
			this->release(attempt, true, now);
			return;
		}
		if (!this->leases.contains(attempt))
		{
			this->restore_lease(update, entry_daemon, now);
		}
		if (auto const found = this->leases.find(attempt); found != this->leases.end())
		{
			this->update_phase(found->second, update, now);
		}
	}

	void cell_scheduler::restore_lease(wire::LeaseUpdate const& update, instance_id const& entry_daemon, time_point now)
	{
		lease held;
		held.request = request_id(update.request());
		held.attempt_number = update.attempt();
		held.attempt = attempt_id(held.request, held.attempt_number);
		if (this->released.contains(held.attempt))
		{
			return;
		}
		held.entry_daemon = entry_daemon;
		held.service = service_id(update.service());
		held.account = account_id(update.account());
		held.prefill_server = server_id(update.prefill_server());
		held.prompt_tokens = token_count(update.prompt_tokens());
		held.output_tokens = token_count(update.output_tokens());
		held.granted_at = now;
		if (auto const engine = this->prefill.find(held.prefill_server);
			engine != this->prefill.end() && update.phase() == wire::LeaseUpdate::PREFILLING)
		{
			engine->second.start(held.attempt, engine->second.time_for(held.prompt_tokens), now);
		}
		this->queue.erase(held.attempt);
		this->leases.emplace(held.attempt, std::move(held));
	}

	void cell_scheduler::update_phase(lease& held, wire::LeaseUpdate const& update, time_point now)
	{
		held.renewed_at = now;
		held.produced = std::max(held.produced, update.produced_tokens());
		if (held.decode_server.empty() && !update.decode_server().empty())
		{
			held.decode_server = server_id(update.decode_server());
		}
		if (auto const engine = this->decode.find(held.decode_server); engine != this->decode.end())
		{
			engine->second.active.insert(held.attempt);
			if (update.token_gap() != 0)
			{
				engine->second.record_token_gap(duration_from_wire(update.token_gap()));
			}
		}
		if (update.phase() > held.phase && held.phase == wire::LeaseUpdate::PREFILLING)
		{
			if (auto const engine = this->prefill.find(held.prefill_server); engine != this->prefill.end())
			{
				auto const computed = token_count(
					held.prompt_tokens.count() - std::min(held.prompt_tokens.count(), update.cached_tokens()));
				engine->second.finish(held.attempt, computed, now);
			}
		}
		held.phase = std::max(held.phase, update.phase());
	}

	void cell_scheduler::record_failures(wire::LeaseUpdate const& update, time_point now)
	{
		auto const avoid = [now](auto& engines, std::string const& id)
		{
			if (auto const engine = engines.find(server_id(id)); engine != engines.end())
			{
				engine->second.avoid_until = now + failure_avoidance;
			}
		};
		if (update.prefill_failed())
		{
			avoid(this->prefill, update.prefill_server());
		}
		if (update.decode_failed())
		{
			avoid(this->decode, update.decode_server());
		}
	}

	void cell_scheduler::release(std::string const& attempt, bool has_ended, time_point now)
	{
		auto const found = this->leases.find(attempt);
		if (found == this->leases.end())
		{
			return;
		}
		auto const& held = found->second;
		if (auto const engine = this->prefill.find(held.prefill_server); engine != this->prefill.end())
		{
			engine->second.finish(attempt, std::nullopt, now);
		}
		if (auto const engine = this->decode.find(held.decode_server); engine != this->decode.end())
		{
			engine->second.active.erase(attempt);
		}
		if (has_ended)
		{
			this->released[attempt] = now;
			++this->releases_since_reading;
		}
		this->leases.erase(found);
	}

	void cell_scheduler::apply(server_id const& server, load_report const& report, bool matches_policy, time_point now)
	{
		auto const note = [&](engine_base& engine)
		{
			engine.reported_at = now;
			engine.matches_policy = matches_policy;
		};
		if (auto const engine = this->prefill.find(server); engine != this->prefill.end())
		{
			note(engine->second);
			engine->second.apply_cache_events(report);
		}
		if (auto const engine = this->decode.find(server); engine != this->decode.end())
		{
			note(engine->second);
			auto const is_foreign = [&](held_request const& held)
			{
				return !this->leases.contains(held.attempt) && !this->released.contains(held.attempt);
			};
			engine->second.foreign = static_cast<std::uint32_t>(std::ranges::count_if(report.held, is_foreign));
		}
	}

	std::size_t cell_scheduler::remove_expired(membership const& members, time_point now)
	{
		std::vector<std::string> lapsed;
		for (auto const& [attempt, held] : this->leases)
		{
			auto const origin = origin_of(attempt);
			auto const is_old = now - held.renewed_at > this->settings->lease_lifetime;
			if (is_old || (origin && members.is_proved_gone(origin->instance, origin->started, now)))
			{
				lapsed.push_back(attempt);
			}
		}
		std::ranges::for_each(lapsed, [&](std::string const& attempt) { this->release(attempt, false, now); });
		std::ranges::for_each(this->queue.abandoned(now - this->settings->lease_lifetime),
			[this](std::string const& attempt) { this->queue.erase(attempt); });
		std::erase_if(this->released, [&](auto const& each) { return now - each.second > released_retention; });
		this->update_release_rate(now);
		for (auto& [id, engine] : this->decode)
		{
			if (this->token_gap_target != duration{})
			{
				engine.adapt_limit(this->token_gap_target, now);
			}
		}
		return lapsed.size();
	}

	void cell_scheduler::update_release_rate(time_point now)
	{
		auto const elapsed = now - this->release_rate_read_at;
		if (elapsed < release_rate_interval || this->leases.empty())
		{
			return;
		}
		auto const active_time = static_cast<double>(this->leases.size()) * static_cast<double>(elapsed.count());
		auto const reading = this->releases_since_reading / active_time;
		this->release_rate = this->release_rate == 0
								 ? reading
								 : this->release_rate + release_rate_smoothing * (reading - this->release_rate);
		this->releases_since_reading = 0;
		this->release_rate_read_at = now;
	}

	std::uint64_t cell_scheduler::cache_sequence(server_id const& server) const
	{
		auto const engine = this->prefill.find(server);
		return engine == this->prefill.end() ? 0 : engine->second.cache_sequence;
	}

	std::vector<waiting_request> cell_scheduler::remove_all_waiting()
	{
		std::vector<waiting_request> all;
		std::ranges::transform(this->queue.ordered(this->created), std::back_inserter(all),
			[](waiting_request const* request) { return *request; });
		this->queue = {};
		return all;
	}

	cell_status cell_scheduler::status(time_point now) const
	{
		cell_status shown;
		shown.cell = this->cell_definition.id;
		shown.waiting = this->queue.size();
		shown.leased = this->leases.size();
		for (auto const& [id, engine] : this->prefill)
		{
			shown.engines.push_back({id, engine.is_usable(now, report_timeout), engine.running.size(), 0, 0});
		}
		for (auto const& [id, engine] : this->decode)
		{
			shown.engines.push_back(
				{id, engine.is_usable(now, report_timeout), engine.active.size(), engine.free_slots(), engine.foreign});
		}
		return shown;
	}
}
