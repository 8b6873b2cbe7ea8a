#include <godwittrestle/routing/server_load.hpp>

#include <algorithm>
#include <ranges>

namespace godwittrestle::routing
{
	namespace
	{
		// What other daemons said of their load is no longer true after this.
		constexpr duration others_lifetime = milliseconds(600);
	}

	call_id server_load::begin(token_count to_prefill, time_point now)
	{
		call_id const call(++this->last_call);
		this->calls.emplace(call, running_call{to_prefill.count(), now, false});
		this->tokens += to_prefill.count();
		return call;
	}

	void server_load::note_prefilled(call_id call)
	{
		auto const found = this->calls.find(call);
		if (found == this->calls.end())
		{
			return;
		}
		this->tokens -= found->second.tokens;
		found->second.tokens = 0;
		found->second.is_answered = true;
	}

	void server_load::end(call_id call)
	{
		this->note_prefilled(call);
		this->calls.erase(call);
	}

	duration server_load::oldest_unanswered(time_point now) const
	{
		duration oldest{};
		for (auto const& each : this->calls | std::views::values)
		{
			if (!each.is_answered)
			{
				oldest = std::max(oldest, now - each.since);
			}
		}
		return oldest;
	}

	void server_load::set_others(std::uint64_t running, std::uint64_t to_prefill, time_point now) noexcept
	{
		this->others_calls = running;
		this->others_to_prefill = to_prefill;
		this->others_known_at = now;
	}

	std::uint64_t server_load::others_running(time_point now) const noexcept
	{
		return now - this->others_known_at > others_lifetime ? 0 : this->others_calls;
	}

	std::uint64_t server_load::others_tokens(time_point now) const noexcept
	{
		return now - this->others_known_at > others_lifetime ? 0 : this->others_to_prefill;
	}
}
