#include <godwittrestle/routing/waiting_line.hpp>

#include <algorithm>
#include <tuple>

namespace godwittrestle::routing
{
	namespace
	{
		// Smaller goes first.
		std::tuple<bool, std::uint32_t, time_point> rank(waiting_stream const& stream, time_point now)
		{
			auto const is_late = stream.in_time_until < now;
			return {is_late, stream.priority, is_late ? stream.arrived : stream.in_time_until};
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

	bool waiting_line::is_next(line_ticket ticket, time_point now) const
	{
		auto const first = std::ranges::min_element(this->waiting, {},
			[now](auto const& item) { return std::tuple_cat(rank(item.second, now), std::tuple(item.first)); });
		return first != this->waiting.end() && first->first == ticket;
	}
}
