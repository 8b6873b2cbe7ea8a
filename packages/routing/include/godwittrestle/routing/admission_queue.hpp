#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <godwittrestle/base/strong_type.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	using queue_ticket = strong_count<struct queue_ticket_tag, std::uint64_t>;

	// A stream that waits for room at a decode engine.
	struct waiting_stream
	{
		// Until when it has to begin to meet its objective.
		time_point start_deadline;
		// 0 is the most urgent.
		std::uint32_t priority = 0;
		time_point arrived;
		// It had begun at an engine that broke off: what was read and made is lost unless it goes on soon.
		bool has_begun = false;
		// Tokens of an engine's memory that it needs.
		token_count needed;
	};

	// The order in which streams ask for room when decode engines are full. Answers bursts on top of a nearly full
	// pool: streams that can still begin in time go first, the one with the least time left before the others, so that
	// a burst does not make everybody late; those that are late get what is left, oldest first. Streams that have begun
	// and lost their engine go before all others: answers an engine that crashes in the burst. While a large one waits
	// for an engine with enough room, smaller ones that can be in time take room that is too small for it.
	class admission_queue
	{
	  public:
		[[nodiscard]] queue_ticket enter(waiting_stream const& stream);
		void leave(queue_ticket ticket);

		// Whether a stream may ask for room: it is the first of the line, or all before it need more than it does.
		[[nodiscard]] bool may_reserve(queue_ticket ticket, time_point now) const;

		// Notes that the first of the line got room after it had to wait.
		void note_grant(time_point now);

		// Notes that the line is empty, so that the next grant tells nothing about how fast it moves.
		void note_idle() noexcept;

		// Whether a stream should be refused now, since its caller would have left before its turn. Answers bursts that
		// last: who can't be served is told at once and can come back when there is room. One that would only be late
		// waits: a late answer is better than none.
		[[nodiscard]] bool should_refuse(queue_ticket ticket, time_point leaves_at, time_point now) const;

		[[nodiscard]] std::size_t size() const noexcept
		{
			return this->waiting.size();
		}

	  private:
		[[nodiscard]] std::size_t ahead(queue_ticket ticket, time_point now) const;

		std::map<queue_ticket, waiting_stream> waiting;
		std::optional<time_point> last_grant;
		// Time between two grants while streams wait.
		duration grant_interval = initial_grant_interval;
		static constexpr duration initial_grant_interval = milliseconds(150);
		std::uint64_t last_ticket = 0;
	};
}
