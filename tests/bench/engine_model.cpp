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
		constexpr double cache_gap_chance = 0.02;
	}

	void event_queue::at(duration delay, std::function<void()> run)
	{
		this->queue.push({this->present + std::max(delay, duration{}), ++this->last_order, std::move(run)});
	}

	void event_queue::run_until(time_point end)
	{
		while (!this->queue.empty() && this->queue.top().at <= end)
		{
			auto next = this->queue.top();
			this->queue.pop();
			this->present = next.at;
			next.run();
		}
		this->present = end;
	}

	prefill_model::prefill_model(event_queue& queue, engine_shape given, engine_totals& sums)
		: events(&queue)
		, shape(given)
		, totals(&sums)
	{
	}

	std::uint32_t prefill_model::cached_tokens(job const& asked) const
	{
		auto const missing =
			std::ranges::find_if(asked.pieces, [&](std::uint64_t piece) { return !this->cache.contains(piece); });
		auto const known = static_cast<std::uint32_t>(missing - asked.pieces.begin()) * decide::block_tokens;
		return std::min(known, asked.tokens - 1);
	}

	void prefill_model::remember(std::vector<std::uint64_t> const& pieces)
	{
		for (auto const piece : pieces)
		{
			if (auto const known = this->cache.find(piece); known != this->cache.end())
			{
				this->recency.splice(this->recency.end(), this->recency, known->second);
				continue;
			}
			this->recency.push_back(piece);
			this->cache.emplace(piece, std::prev(this->recency.end()));
			++this->totals->holders[piece];
			this->cache_events.push_back({this->events->now(), true, piece});
			if (this->recency.size() > this->shape.cached_pieces)
			{
				this->cache_events.push_back({this->events->now(), false, this->recency.front()});
				--this->totals->holders[this->recency.front()];
				this->cache.erase(this->recency.front());
				this->recency.pop_front();
			}
		}
	}

	void prefill_model::run(std::string const& attempt, std::uint32_t tokens, bool is_repeat,
		std::vector<std::uint64_t> const& pieces, std::function<void(std::uint32_t)> on_done,
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
		next.pieces = pieces;
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
		auto const is_elsewhere = [&](std::uint64_t piece)
		{
			return !this->cache.contains(piece) && this->totals->holders[piece] > 0;
		};
		this->totals->recomputed_tokens +=
			static_cast<std::uint64_t>(std::ranges::count_if(running.pieces, is_elsewhere)) * decide::block_tokens;
		running.takes =
			duration(static_cast<duration::rep>((running.tokens - running.cached) / this->shape.prefill_tokens_per_us));
		this->events->at(
			running.takes, [this, attempt = this->current, of = ++this->generation] { this->finish(attempt, of); });
	}

	void prefill_model::finish(std::string const& attempt, std::uint64_t of)
	{
		if (of != this->generation || this->current != attempt)
		{
			return;
		}
		auto& done = this->jobs.at(attempt);
		done.is_done = true;
		this->totals->computed_tokens += done.tokens - done.cached;
		this->totals->wasted_tokens += done.is_repeat ? done.tokens - done.cached : 0;
		this->remember(done.pieces);
		this->current.clear();
		this->start_next();
		this->events->at(this->shape.retention,
			[this, attempt]
			{
				auto const found = this->jobs.find(attempt);
				if (found != this->jobs.end() && found->second.is_done && !found->second.is_transferring)
				{
					this->waste(found->second);
					this->jobs.erase(found);
				}
			});
		auto const report_done = done.on_done;
		report_done(done.cached);
	}

	void prefill_model::waste(job const& lost)
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
		found->second.bytes_left = static_cast<double>(found->second.tokens) * this->shape.kv_bytes_per_token;
		found->second.on_transferred = std::move(on_done);
		this->schedule_link();
	}

	void prefill_model::advance_link()
	{
		auto const active = std::ranges::count_if(
			this->jobs, [](auto const& each) { return each.second.is_transferring && each.second.bytes_left > 0; });
		auto const elapsed = static_cast<double>((this->events->now() - this->link_read_at).count());
		this->link_read_at = this->events->now();
		for (auto& [attempt, each] : this->jobs)
		{
			if (each.is_transferring && each.bytes_left > 0)
			{
				each.bytes_left -= elapsed * this->shape.link_bytes_per_us / static_cast<double>(active);
			}
		}
	}

	void prefill_model::schedule_link()
	{
		auto least = -1.0;
		auto active = 0;
		for (auto const& [attempt, each] : this->jobs)
		{
			if (each.is_transferring && each.bytes_left > 0)
			{
				++active;
				least = least < 0 ? each.bytes_left : std::min(least, each.bytes_left);
			}
		}
		if (active == 0)
		{
			return;
		}
		auto const takes = least * active / this->shape.link_bytes_per_us;
		this->events->at(duration(static_cast<duration::rep>(takes) + 1),
			[this, of = ++this->link_generation]
			{
				if (of != this->link_generation)
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
				this->schedule_link();
				std::ranges::for_each(finished, [](auto const& done) { done(true); });
			});
	}

	void prefill_model::note_used(std::string const& attempt)
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
			auto const computed = static_cast<std::uint64_t>(elapsed * this->shape.prefill_tokens_per_us);
			this->totals->computed_tokens += computed;
			this->totals->wasted_tokens += computed;
			this->current.clear();
			++this->generation;
		}
		this->waste(found->second);
		this->advance_link();
		this->jobs.erase(found);
		this->schedule_link();
		this->start_next();
	}

	void prefill_model::kill()
	{
		this->is_dead = true;
		std::ranges::for_each(this->recency, [this](std::uint64_t piece) { --this->totals->holders[piece]; });
		++this->generation;
		++this->link_generation;
		auto const lost = std::exchange(this->jobs, {});
		this->waiting.clear();
		this->current.clear();
		for (auto const& [attempt, each] : lost)
		{
			this->waste(each);
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
		this->shape.prefill_tokens_per_us /= factor;
	}

	decide::load_report prefill_model::report(std::uint64_t cache_after, std::mt19937_64& random)
	{
		decide::load_report shown;
		shown.role = "prefill";
		for (auto const& [attempt, each] : this->jobs)
		{
			shown.held.push_back({attempt});
		}
		shown.cache_gap = std::uniform_real_distribution<double>()(random) < cache_gap_chance;
		shown.cache_sequence = cache_after;
		while (shown.cache_sequence < this->cache_events.size() &&
			   this->cache_events[shown.cache_sequence].at + cache_event_lag <= this->events->now())
		{
			auto const& event = this->cache_events[shown.cache_sequence++];
			(event.is_added ? shown.cache_added : shown.cache_removed).push_back(event.piece);
		}
		return shown;
	}

	decode_model::decode_model(event_queue& queue, engine_shape given)
		: events(&queue)
		, shape(given)
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
		this->held[attempt] = {
			&source, first, total, false, false, std::move(on_token), std::move(on_end), std::move(on_failed)};
		this->waiting.push_back(attempt);
		this->admit();
	}

	void decode_model::admit()
	{
		while (this->occupied < this->shape.slots && !this->waiting.empty())
		{
			auto const attempt = this->waiting.front();
			this->waiting.pop_front();
			auto& next = this->held.at(attempt);
			++this->occupied;
			next.is_fetching = true;
			next.source->transfer(attempt,
				[this, attempt](bool is_there)
				{
					auto const found = this->held.find(attempt);
					if (found == this->held.end())
					{
						return;
					}
					if (!is_there)
					{
						auto const fail = found->second.on_failed;
						this->held.erase(found);
						--this->occupied;
						fail(engine_failure::evicted);
						this->events->at(duration{}, [this] { this->admit(); });
						return;
					}
					found->second.is_running = true;
					this->schedule_step();
				});
		}
	}

	void decode_model::schedule_step()
	{
		if (this->is_stepping || this->is_dead)
		{
			return;
		}
		auto const batch = std::ranges::count_if(this->held, [](auto const& each) { return each.second.is_running; });
		if (batch == 0)
		{
			return;
		}
		this->is_stepping = true;
		this->events->at(
			this->shape.step_base + this->shape.step_each * batch, [this, of = this->generation] { this->step(of); });
	}

	void decode_model::step(std::uint64_t of)
	{
		if (of != this->generation)
		{
			return;
		}
		this->is_stepping = false;
		std::vector<std::string> batch;
		for (auto const& [attempt, each] : this->held)
		{
			if (each.is_running)
			{
				batch.push_back(attempt);
			}
		}
		for (auto const& attempt : batch)
		{
			auto const found = this->held.find(attempt);
			if (found == this->held.end())
			{
				continue;
			}
			auto& running = found->second;
			running.source->note_used(attempt);
			auto const on_token = running.on_token;
			auto const index = running.next++;
			auto const is_end = running.next >= running.total;
			auto const on_end = running.on_end;
			auto const total = running.total;
			if (is_end)
			{
				this->held.erase(found);
				--this->occupied;
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
		auto const found = this->held.find(attempt);
		if (found == this->held.end())
		{
			return;
		}
		if (found->second.is_fetching)
		{
			--this->occupied;
		}
		std::erase(this->waiting, attempt);
		this->held.erase(found);
		this->admit();
	}

	void decode_model::kill()
	{
		this->is_dead = true;
		++this->generation;
		auto const lost = std::exchange(this->held, {});
		this->waiting.clear();
		this->occupied = 0;
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
		this->shape.step_base = slower(this->shape.step_base);
		this->shape.step_each = slower(this->shape.step_each);
	}

	decide::load_report decode_model::report() const
	{
		decide::load_report shown;
		shown.role = "decode";
		for (auto const& [attempt, each] : this->held)
		{
			shown.held.push_back({attempt});
		}
		return shown;
	}
}
