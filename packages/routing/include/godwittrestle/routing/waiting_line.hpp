#pragma once

#include <cstdint>
#include <map>

#include <godwittrestle/base/strong_type.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	using line_ticket = strong_count<struct line_ticket_tag, std::uint64_t>;

	// A stream that waits for room at a decode engine.
	struct waiting_stream
	{
		// Until when it has to begin to meet its objective.
		time_point in_time_until;
		// 0 is the most urgent.
		std::uint32_t priority = 0;
		time_point arrived;
	};

	// The order in which streams get room when decode engines are full. Answers bursts on top of a nearly full pool:
	// streams that can still begin in time go first, the one with the least time left before the others, so that a
	// burst does not make everybody late; those that are late get what is left, oldest first.
	class waiting_line
	{
	  public:
		[[nodiscard]] line_ticket enter(waiting_stream const& stream);
		void leave(line_ticket ticket);

		// Whether a stream is the first of the line.
		[[nodiscard]] bool is_next(line_ticket ticket, time_point now) const;

		[[nodiscard]] std::size_t size() const noexcept
		{
			return this->waiting.size();
		}

	  private:
		std::map<line_ticket, waiting_stream> waiting;
		std::uint64_t last_ticket = 0;
	};
}
