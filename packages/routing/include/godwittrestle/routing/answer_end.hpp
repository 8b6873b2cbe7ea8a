#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/process_evidence.hpp>

namespace godwittrestle::routing
{
	// Returns whether the end of a stream came so long after its last event that its server most likely did not know at
	// that event that it was the last one. gap: the usual time between two events; zero when it is not known.
	[[nodiscard]] bool is_late_end(duration delay, duration gap) noexcept;

	// How the streams of a service end.
	class end_habits
	{
	  public:
		// Records the end of a stream that was not seen to be broken off.
		void note_end(bool is_late) noexcept;

		// Records a proof that a server which lives on has broken a stream off.
		void note_broken_off(time_point at) noexcept;

		// Returns the time of the last such proof.
		[[nodiscard]] std::optional<time_point> const& last_broken_off() const noexcept
		{
			return this->broken_off_at;
		}

		// Returns whether late ends are known to be rare, so that one speaks against its stream.
		[[nodiscard]] bool are_late_ends_rare() const noexcept;

		// Returns whether there was such a proof within this time.
		[[nodiscard]] bool were_broken_off(duration within, time_point now) const noexcept;

	  private:
		double late_share = 0;
		std::uint32_t ends = 0;
		std::optional<time_point> broken_off_at;
	};

	// What is seen when an answer that has neither a length nor chunks has ended with its connection.
	struct answer_end
	{
		process_state process = process_state::unknown;
		// Whether the server can still be asked to let the stream go on behind its last event.
		bool can_go_on = false;
		// Whether the server still named the attempt among those that it runs when it was asked again a while later.
		bool is_still_run = false;
		// Whether another answer of the server was broken off shortly before.
		bool has_server_broken_off = false;
		// Whether the end came late, on a service where that is rare.
		bool is_unusually_late = false;
		// Whether the caller can take the stream up, so that breaking it off leaves the question to the caller.
		bool can_be_taken_up = false;
		// Whether servers of the service that live on were shown to break streams off of late.
		bool has_service_broken_off = false;
	};

	enum class end_judgement : std::uint8_t
	{
		whole,
		broken,
		// Only the server can tell, by letting the stream go on.
		unproved,
	};

	[[nodiscard]] std::string_view to_string(end_judgement judgement) noexcept;

	// Returns whether such an answer is whole. One whose process has ended, or may have, is broken. Of one whose
	// process lives on, what follows its last event is the only proof. Where that can't be had, each sign that the
	// answer was broken off speaks against it; and while servers of the service break streams off, it is left to a
	// caller that can take it up, so broken.
	[[nodiscard]] end_judgement judge_end(answer_end const& seen) noexcept;

	// Returns the part of the retry budget, from 0 to 1, that may be spent to ask what follows such an end.
	[[nodiscard]] double budget_part(answer_end const& seen) noexcept;
}
