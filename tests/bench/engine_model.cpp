#include "engine_model.hpp"

#include <algorithm>
#include <utility>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/decide/rendezvous.hpp>

namespace godwittrestle::bench
{
	namespace
	{
		constexpr duration cache_event_lag = milliseconds(300);
		constexpr double cache_gap_probability = 0.02;
	}

	void event_queue::schedule_after(duration delay, std::function<void()> run)
	{
		this->queue.push({this->current_time + std::max(delay, duration{}), ++this->last_order, std::move(run)});
	}

	void event_queue::run_until(time_point end)
	{
		while (!this->queue.empty() && this->queue.top().at <= end)
		{
			auto next = this->queue.top();
			this->queue.pop();
			this->current_time = next.at;
			next.run();
		}
		this->current_time = end;
	}

	prefill_model::prefill_model(event_queue& queue, engine_parameters given, engine_totals& sums)
		: events(&queue)
		, parameters(given)
		, totals(&sums)
	{
	}

	std::uint32_t prefill_model::cached_tokens(job const& request) const
	{
		auto const missing =
			std::ranges::find_if(request.blocks, [&](std::uint64_t block) { return !this->cache.contains(block); });
		auto const prefix_tokens = static_cast<std::uint32_t>(missing - request.blocks.begin()) * decide::block_tokens;
		return std::min(prefix_tokens, request.tokens - 1);
	}

	void prefill_model::add_to_cache(std::vector<std::uint64_t> const& blocks)
	{
		for (auto const block : blocks)
		{
			if (auto const entry = this->cache.find(block); entry != this->cache.end())
			{
				this->least_recent_first.splice(
					this->least_recent_first.end(), this->least_recent_first, entry->second);
				continue;
			}
			this->least_recent_first.push_back(block);
			this->cache.emplace(block, std::prev(this->least_recent_first.end()));
			++this->totals->cached_copies[block];
			this->cache_events.push_back({this->events->now(), true, block});
			if (this->least_recent_first.size() > this->parameters.cached_blocks)
			{
				this->cache_events.push_back({this->events->now(), false, this->least_recent_first.front()});
				--this->totals->cached_copies[this->least_recent_first.front()];
				this->cache.erase(this->least_recent_first.front());
				this->least_recent_first.pop_front();
			}
		}
	}

	void prefill_model::run(std::string const& attempt, std::uint32_t tokens, bool is_repeat,
		std::vector<std::uint64_t> const& blocks, std::function<void(std::uint32_t)> on_done,
		std::function<void(engine_failure)> on_failed)
	{
		if (this->is_dead)
		{
			on_failed(engine_failure::lost);
			return;
		}
		job next;
		next.tokens = tokens;
		next.is_repeat = is_repeat;
		next.blocks = blocks;
		next.on_done = std::move(on_done);
		next.on_failed = std::move(on_failed);
		this->jobs[attempt] = std::move(next);
		this->waiting.push_back(attempt);
		this->start_next();
	}

	void prefill_model::start_next()
	{
		if (!this->current.empty() || this->waiting.empty())
		{
			return;
		}
		this->current = this->waiting.front();
		this->waiting.pop_front();
		auto& running = this->jobs.at(this->current);
		running.cached = this->cached_tokens(running);
		running.started = this->events->now();
		auto const is_cached_elsewhere = [&](std::uint64_t block)
		{
			return !this->cache.contains(block) && this->totals->cached_copies[block] > 0;
		};
		this->totals->recomputed_tokens +=
			static_cast<std::uint64_t>(std::ranges::count_if(running.blocks, is_cached_elsewhere)) *
			decide::block_tokens;
		running.compute_time = duration(
			static_cast<duration::rep>((running.tokens - running.cached) / this->parameters.prefill_tokens_per_us));
		this->events->schedule_after(running.compute_time,
			[this, attempt = this->current, expected = ++this->generation] { this->finish(attempt, expected); });
	}

	void prefill_model::finish(std::string const& attempt, std::uint64_t expected)
	{
		if (expected != this->generation || this->current != attempt)
		{
			return;
		}
		auto& done = this->jobs.at(attempt);
		done.is_done = true;
		this->totals->computed_tokens += done.tokens - done.cached;
		this->totals->wasted_tokens += done.is_repeat ? done.tokens - done.cached : 0;
		this->add_to_cache(done.blocks);
		this->current.clear();
		this->start_next();
		this->events->schedule_after(this->parameters.result_retention,
			[this, attempt]
			{
				auto const found = this->jobs.find(attempt);
				if (found != this->jobs.end() && found->second.is_done && !found->second.is_transferring)
				{
					this->count_waste(found->second);
					this->jobs.erase(found);
				}
			});
		auto const report_done = done.on_done;
		report_done(done.cached);
	}

	void prefill_model::count_waste(job const& lost)
	{
		if (lost.is_done && !lost.is_used && !lost.is_repeat)
		{
			this->totals->wasted_tokens += lost.tokens - lost.cached;
		}
	}

	void prefill_model::transfer(std::string const& attempt, std::function<void(bool)> on_done)
	{
		auto const found = this->jobs.find(attempt);
		if (this->is_dead || found == this->jobs.end() || !found->second.is_done)
		{
			on_done(false);
			return;
		}
		this->advance_link();
		found->second.is_transferring = true;
		found->second.bytes_left = static_cast<double>(found->second.tokens) * this->parameters.kv_bytes_per_token;
		found->second.on_transferred = std::move(on_done);
		this->schedule_transfer_end();
	}

	void prefill_model::advance_link()
	{
		auto const active = std::ranges::count_if(
			this->jobs, [](auto const& each) { return each.second.is_transferring && each.second.bytes_left > 0; });
		auto const elapsed = static_cast<double>((this->events->now() - this->link_advanced_at).count());
		this->link_advanced_at = this->events->now();
		for (auto& [attempt, each] : this->jobs)
		{
			if (each.is_transferring && each.bytes_left > 0)
			{
				each.bytes_left -= elapsed * this->parameters.link_bytes_per_us / static_cast<double>(active);
			}
		}
	}

	void prefill_model::schedule_transfer_end()
	{
		auto fewest_bytes = -1.0;
		auto active = 0;
		for (auto const& [attempt, each] : this->jobs)
		{
			if (each.is_transferring && each.bytes_left > 0)
			{
				++active;
				fewest_bytes = fewest_bytes < 0 ? each.bytes_left : std::min(fewest_bytes, each.bytes_left);
			}
		}
		if (active == 0)
		{
			return;
		}
		auto const transfer_time = fewest_bytes * active / this->parameters.link_bytes_per_us;
		this->events->schedule_after(duration(static_cast<duration::rep>(transfer_time) + 1),
			[this, expected = ++this->link_generation]
			{
				if (expected != this->link_generation)
				{
					return;
				}
				this->advance_link();
				std::vector<std::function<void(bool)>> finished;
				for (auto& [attempt, each] : this->jobs)
				{
					if (each.is_transferring && each.bytes_left <= 0 && each.on_transferred)
					{
						finished.push_back(std::exchange(each.on_transferred, nullptr));
					}
				}
				this->schedule_transfer_end();
				std::ranges::for_each(finished, [](auto const& done) { done(true); });
			});
	}

	void prefill_model::release_used(std::string const& attempt)
	{
		if (auto const found = this->jobs.find(attempt); found != this->jobs.end())
		{
			found->second.is_used = true;
			this->jobs.erase(found);
		}
	}

	void prefill_model::cancel(std::string const& attempt)
	{
		auto const found = this->jobs.find(attempt);
		if (found == this->jobs.end())
		{
			return;
		}
		std::erase(this->waiting, attempt);
		if (this->current == attempt)
		{
			auto const elapsed = static_cast<double>((this->events->now() - found->second.started).count());
			auto const computed = static_cast<std::uint64_t>(elapsed * this->parameters.prefill_tokens_per_us);
			this->totals->computed_tokens += computed;
			this->totals->wasted_tokens += computed;
			this->current.clear();
			++this->generation;
		}
		this->count_waste(found->second);
		this->advance_link();
		this->jobs.erase(found);
		this->schedule_transfer_end();
		this->start_next();
	}

	void prefill_model::kill()
	{
		this->is_dead = true;
		std::ranges::for_each(
			this->least_recent_first, [this](std::uint64_t block) { --this->totals->cached_copies[block]; });
		++this->generation;
		++this->link_generation;
		auto const lost = std::exchange(this->jobs, {});
		this->waiting.clear();
		this->current.clear();
		for (auto const& [attempt, each] : lost)
		{
			this->count_waste(each);
			if (each.on_transferred)
			{
				each.on_transferred(false);
			}
			else if (!each.is_done)
			{
				each.on_failed(engine_failure::lost);
			}
		}
	}

	void prefill_model::slow_down(double factor)
	{
		this->parameters.prefill_tokens_per_us /= factor;
	}

	decide::load_report prefill_model::report(std::uint64_t cache_after, std::mt19937_64& random)
	{
		decide::load_report summary;
		summary.role = "prefill";
		for (auto const& [attempt, each] : this->jobs)
		{
			summary.held.push_back({attempt});
		}
		summary.cache_gap = std::uniform_real_distribution<double>()(random) < cache_gap_probability;
		summary.cache_sequence = cache_after;
		while (summary.cache_sequence < this->cache_events.size() &&
			   this->cache_events[summary.cache_sequence].at + cache_event_lag <= this->events->now())
		{
			auto const& event = this->cache_events[summary.cache_sequence++];
			(event.is_added ? summary.cache_added : summary.cache_removed).push_back(event.block);
		}
		return summary;
	}

	decode_model::decode_model(event_queue& queue, engine_parameters given)
		: events(&queue)
		, parameters(given)
	{
	}

	void decode_model::run(std::string const& attempt, prefill_model& source, std::uint32_t first, std::uint32_t total,
		std::function<void(std::uint32_t)> on_token, std::function<void(std::uint32_t)> on_end,
		std::function<void(engine_failure)> on_failed)
	{
		if (this->is_dead)
		{
			on_failed(engine_failure::lost);
			return;
		}
		this->streams[attempt] = {
			&source, first, total, false, false, std::move(on_token), std::move(on_end), std::move(on_failed)};
		this->waiting.push_back(attempt);
		this->admit();
	}

	void decode_model::admit()
	{
		while (this->occupied_slots < this->parameters.slots && !this->waiting.empty())
		{
			auto const attempt = this->waiting.front();
			this->waiting.pop_front();
			auto& next = this->streams.at(attempt);
			++this->occupied_slots;
			next.has_slot = true;
			next.source->transfer(attempt,
				[this, attempt](bool is_available)
				{
					auto const found = this->streams.find(attempt);
					if (found == this->streams.end())
					{
						return;
					}
					if (!is_available)
					{
						auto const fail = found->second.on_failed;
						this->streams.erase(found);
						--this->occupied_slots;
						fail(engine_failure::evicted);
						this->events->schedule_after(duration{}, [this] { this->admit(); });
						return;
					}
					found->second.is_running = true;
					this->schedule_step();
				});
		}
	}

	void decode_model::schedule_step()
	{
		if (this->is_step_scheduled || this->is_dead)
		{
			return;
		}
		auto const batch =
			std::ranges::count_if(this->streams, [](auto const& each) { return each.second.is_running; });
		if (batch == 0)
		{
			return;
		}
		this->is_step_scheduled = true;
		this->events->schedule_after(this->parameters.step_base + this->parameters.step_per_request * batch,
			[this, expected = this->generation] { this->step(expected); });
	}

	void decode_model::step(std::uint64_t expected)
	{
		if (expected != this->generation)
		{
			return;
		}
		this->is_step_scheduled = false;
		std::vector<std::string> batch;
		for (auto const& [attempt, each] : this->streams)
		{
			if (each.is_running)
			{
				batch.push_back(attempt);
			}
		}
		for (auto const& attempt : batch)
		{
			auto const found = this->streams.find(attempt);
			if (found == this->streams.end())
			{
				continue;
			}
			auto& running = found->second;
			running.source->release_used(attempt);
			auto const on_token = running.on_token;
			auto const index = running.next++;
			auto const is_end = running.next >= running.total;
			auto const on_end = running.on_end;
			auto const total = running.total;
			if (is_end)
			{
				this->streams.erase(found);
				--this->occupied_slots;
			}
			on_token(index);
			if (is_end)
			{
				on_end(total);
			}
		}
		this->admit();
		this->schedule_step();
	}

	void decode_model::cancel(std::string const& attempt)
	{
		auto const found = this->streams.find(attempt);
		if (found == this->streams.end())
		{
			return;
		}
		if (found->second.has_slot)
		{
			--this->occupied_slots;
		}
		std::erase(this->waiting, attempt);
		this->streams.erase(found);
		this->admit();
	}

	void decode_model::kill()
	{
		this->is_dead = true;
		++this->generation;
		auto const lost = std::exchange(this->streams, {});
		this->waiting.clear();
		this->occupied_slots = 0;
		for (auto const& [attempt, each] : lost)
		{
			each.on_failed(engine_failure::lost);
		}
	}

	void decode_model::slow_down(double factor)
	{
		auto const slower = [factor](duration span)
		{
			return duration(static_cast<duration::rep>(static_cast<double>(span.count()) * factor));
		};
		this->parameters.step_base = slower(this->parameters.step_base);
		this->parameters.step_per_request = slower(this->parameters.step_per_request);
	}

	decide::load_report decode_model::report() const
	{
		decide::load_report summary;
		summary.role = "decode";
		for (auto const& [attempt, each] : this->streams)
		{
			summary.held.push_back({attempt});
		}
		return summary;
	}
}
