#pragma once

#include <optional>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// Decides how long to wait for the next answer of a server, from how long its answers have taken so far: their
	// smoothed time and deviation, as in RFC 6298. A late answer counts too. A server that shows nothing is given a
	// little more time once, and not more and more, so that one that has ended or stands still holds nobody up.
	class answer_time
	{
	  public:
		// Time-out of a server that has shown nothing yet, and the least of any.
		static constexpr duration shortest_timeout = milliseconds(200);

		// Records that an answer took this long, whether or not somebody still waited for it.
		void note_answer(duration taken) noexcept;

		// Records that an answer did not come within the time-out. asked_at: time of the question. Questions that were
		// asked at the same time and are unanswered count once.
		void note_silence(time_point asked_at, time_point now) noexcept;

		// Returns how long to wait for the next answer. longest: the most that is of use to who waits; the result is
		// not below shortest_timeout.
		[[nodiscard]] duration timeout(duration longest) const noexcept;

		// Returns how long answers take on average; zero before the first one.
		[[nodiscard]] duration expected() const noexcept
		{
			return this->smoothed.value_or(duration{});
		}

	  private:
		[[nodiscard]] duration shown_timeout() const noexcept;

		std::optional<duration> smoothed;
		duration deviation{};
		// Set since a time-out that no answer has followed yet.
		std::optional<time_point> silent_since;
		int doublings = 0;
	};
}
