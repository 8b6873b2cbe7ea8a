#include <godwittrestle/routing/server_load.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

#include <godwittrestle/routing/load_estimate.hpp>

namespace godwittrestle::routing
{
	namespace
	{
		// Load reports of other daemons that are older than this are ignored.
		constexpr duration report_lifetime = milliseconds(2500);
		// A report of longer calls counts for this many times their average length. Daemons send none while their load
		// does not change.
		constexpr int report_lifetime_calls = 3;
		// Time for which a server counts as full.
		constexpr duration full_pause = milliseconds(40);

		// Returns how long a report of calls that last so long on average is of use.
		duration longest_use(duration call_time) noexcept
		{
			return std::max(report_lifetime, report_lifetime_calls * call_time);
		}
	}

	void server_load::note_full(time_point now) noexcept
	{
		this->note_full_until(now + full_pause);
	}

	void server_load::note_full_until(time_point until) noexcept
	{
		this->full_until = std::max(this->full_until, until);
	}

	void server_load::note_pause(time_point until) noexcept
	{
		this->paused_until = std::max(this->paused_until.value_or(until), until);
		this->first_after_pause.reset();
	}

	void server_load::take_over_pause(server_load const& before) noexcept
	{
		if (before.paused_until)
		{
			this->note_pause(*before.paused_until);
		}
	}

	bool server_load::is_paused(time_point now) const noexcept
	{
		return this->paused_until && (now < *this->paused_until || this->first_after_pause);
	}

	duration server_load::paused_for(time_point now) const noexcept
	{
		return this->paused_until ? std::max(duration{}, *this->paused_until - now) : duration{};
	}

	bool server_load::is_full(time_point now) const noexcept
	{
		return now < this->full_until;
	}

	call_id server_load::begin_call(token_count to_prefill, token_count needed, time_point now, duration silence_limit)
	{
		call_id const call(++this->last_call);
		this->calls.emplace(call, running_call{to_prefill.count(), needed.count(), now, now, silence_limit, false});
		this->tokens += to_prefill.count();
		this->committed += needed.count();
		if (this->paused_until && now >= *this->paused_until && !this->first_after_pause)
		{
			this->first_after_pause = call;
		}
		return call;
	}

	void server_load::set_committed(call_id call, token_count needed)
	{
		auto const found = this->calls.find(call);
		if (found == this->calls.end())
		{
			return;
		}
		this->committed = this->committed - found->second.committed + needed.count();
		found->second.committed = needed.count();
	}

	void server_load::note_heard(time_point now) noexcept
	{
		this->heard_at = now;
	}

	void server_load::note_progress(call_id call, time_point now)
	{
		this->note_heard(now);
		auto const found = this->calls.find(call);
		if (found == this->calls.end())
		{
			return;
		}
		this->tokens -= found->second.tokens;
		found->second.tokens = 0;
		found->second.heard_at = now;
		found->second.is_answered = true;
		this->end_pause_after(call);
	}

	std::size_t server_load::drop_silent(time_point now)
	{
		std::size_t dropped = 0;
		for (auto& call : this->calls | std::views::values)
		{
			if (now - call.heard_at > call.silence_limit)
			{
				call.silence_limit = duration::max();
				this->release_tokens(call);
				++dropped;
			}
		}
		return dropped;
	}

	void server_load::end_call(call_id call)
	{
		auto const found = this->calls.find(call);
		if (found != this->calls.end())
		{
			this->release_tokens(found->second);
			this->calls.erase(found);
		}
		this->end_pause_after(call);
	}

	void server_load::release_tokens(running_call& call) noexcept
	{
		this->tokens -= std::exchange(call.tokens, 0);
		this->committed -= std::exchange(call.committed, 0);
	}

	void server_load::end_pause_after(call_id call) noexcept
	{
		if (this->first_after_pause == call)
		{
			this->first_after_pause.reset();
			this->paused_until.reset();
		}
	}

	duration server_load::silent_for(time_point now) const
	{
		auto unanswered =
			this->calls | std::views::values | std::views::filter([](auto const& call) { return !call.is_answered; });
		duration longest{};
		for (auto const& call : unanswered)
		{
			longest = std::max(longest, now - std::max(call.since, this->heard_at));
		}
		return longest;
	}

	server_share server_load::own() const noexcept
	{
		return {this->calls.size(), this->tokens, this->committed};
	}

	server_share server_load::total(time_point now) const noexcept
	{
		auto sum = this->own();
		for (auto const& report : this->others | std::views::values)
		{
			if (now - report.reported_at <= report_lifetime)
			{
				sum += report.share;
			}
		}
		return sum;
	}

	double server_load::expected(server_share_part part, duration call_time, time_point now) const
	{
		auto sum = static_cast<double>(this->own().*part);
		for (auto const& report : this->others | std::views::values)
		{
			auto const age = now - report.reported_at;
			if (age <= longest_use(call_time))
			{
				sum += static_cast<double>(report.share.*part) * remaining_fraction(age, call_time);
			}
		}
		return sum;
	}

	double server_load::started_elsewhere(duration call_time, time_point now) const
	{
		double sum = 0;
		for (auto const& report : this->others | std::views::values)
		{
			auto const age = now - report.reported_at;
			if (age <= longest_use(call_time))
			{
				sum += started_since(static_cast<double>(report.share.running), age, call_time);
			}
		}
		return sum;
	}

	void server_load::set_share(instance_id const& daemon, server_share const& share, time_point now)
	{
		this->others.insert_or_assign(daemon, reported_share{share, now});
	}

	void server_load::drop_share(instance_id const& daemon)
	{
		this->others.erase(daemon);
	}
}
