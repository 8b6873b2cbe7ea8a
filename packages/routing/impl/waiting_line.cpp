#include <godwittrestle/routing/waiting_line.hpp>

#include <algorithm>
#include <tuple>

namespace godwittrestle::routing
{
	namespace
	{
		constexpr int grants_averaged = 6;

		bool is_late_at(waiting_stream const& stream, time_point now)
		{
			return stream.has_begun || stream.in_time_until < now;
		}

		// Smaller goes first.
		std::tuple<bool, bool, std::uint32_t, time_point> rank(waiting_stream const& stream, time_point now)
		{
			auto const is_late = is_late_at(stream, now);
			return {!stream.has_begun, is_late, stream.priority, is_late ? stream.arrived : stream.in_time_until};
		}
	}

	line_ticket waiting_line::enter(waiting_stream const& stream)
	{
		line_ticket const ticket(++this->last_ticket);
		this->waiting.emplace(ticket, stream);
		return ticket;
	}

	void waiting_line::leave(line_ticket ticket)
	{
		this->waiting.erase(ticket);
	}

	void waiting_line::note_grant(time_point now)
	{
		if (this->last_grant)
		{
			this->grant_interval += (now - *this->last_grant - this->grant_interval) / grants_averaged;
		}
		this->last_grant = now;
	}

	void waiting_line::note_idle() noexcept
	{
		this->last_grant.reset();
	}

	bool waiting_line::is_hopeless(line_ticket ticket, time_point leaves_at, time_point now) const
	{
		auto const stream = this->waiting.find(ticket);
		if (stream == this->waiting.end() || now >= leaves_at)
		{
			return true;
		}
		auto const turn_at = now + static_cast<duration::rep>(this->ahead(ticket, now)) * this->grant_interval;
		return turn_at > leaves_at;
	}

	std::size_t waiting_line::ahead(line_ticket ticket, time_point now) const
	{
		auto const own = std::tuple_cat(rank(this->waiting.at(ticket), now), std::tuple(ticket));
		return static_cast<std::size_t>(std::ranges::count_if(this->waiting,
			[&](auto const& item) { return std::tuple_cat(rank(item.second, now), std::tuple(item.first)) < own; }));
	}

	bool waiting_line::may_ask(line_ticket ticket, time_point now) const
	{
		auto const& own = this->waiting.at(ticket);
		auto const own_rank = std::tuple_cat(rank(own, now), std::tuple(ticket));
		auto const passes = !is_late_at(own, now);
		return std::ranges::none_of(this->waiting,
			[&](auto const& item)
			{
				auto const& [each, stream] = item;
				auto const is_before = std::tuple_cat(rank(stream, now), std::tuple(each)) < own_rank;
				return is_before && (!passes || stream.has_begun || stream.needed <= own.needed);
			});
	}
}
