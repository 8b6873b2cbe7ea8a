#pragma once

#include <optional>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// How far this daemon's view of the registry can be trusted to be complete. A daemon that can't read the registry,
	// or whose process was stopped, may lack servers that others know.
	class registry_view
	{
	  public:
		registry_view() = default;

		// max_age: time after which a view that was not refreshed is no longer current.
		explicit registry_view(duration max_age) noexcept;

		// Records that the answer to a question to the registry was applied. asked_at: when it was sent.
		void note_read(time_point asked_at, time_point now) noexcept;

		// Records that the registry could be read again, or came back from a copy. Servers write within this time what
		// is missing.
		void note_return(duration return_grace, time_point now) noexcept;

		// Records that a question to the registry was not answered. asked_at: when it was sent.
		void note_unanswered(time_point asked_at) noexcept;

		// Returns the time before which all that servers have written was read.
		[[nodiscard]] time_point read_until() const noexcept;

		// Returns whether all that servers had written by a time was read. Unlike is_current(), this is a proof: the
		// registry was asked afterwards, and has answered.
		[[nodiscard]] bool covers(time_point at) const noexcept;

		// Returns whether a question that was sent after a time was not answered, and none has been since.
		[[nodiscard]] bool has_failed_since(time_point at) const noexcept;

		// Records that this process runs. Must be called often; a gap shows that the process was stopped meanwhile.
		void note_running(time_point now) noexcept;

		// Returns whether the process has not been stopped since a time.
		[[nodiscard]] bool has_run_since(time_point since, time_point now) const noexcept;

		// Returns whether the registry was read a short while ago, by a question that was sent since the process was
		// last stopped. The registry may hold more by now.
		[[nodiscard]] bool is_current(time_point now) const noexcept;

	  private:
		duration max_age = milliseconds(3600);
		std::optional<time_point> read_at;
		std::optional<time_point> ran_at;
		// The time before which everything was read that the registry held.
		time_point asked_until;
		// When the last question was sent that was not answered.
		time_point unanswered_at;
		// From this time on the registry holds what servers have written while it could not be reached.
		time_point complete_from;
		// End of the last time during which the process was stopped.
		time_point stopped_until;
	};
}
