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

		// Records that this process runs. Must be called often; a gap shows that the process was stopped meanwhile.
		void note_running(time_point now) noexcept;

		// Returns whether the process has not been stopped since a time.
		[[nodiscard]] bool has_run_since(time_point since, time_point now) const noexcept;

		// Returns whether the registry was read a short while ago, by a question that was sent since the process was
		// last stopped.
		[[nodiscard]] bool is_current(time_point now) const noexcept;

	  private:
		duration max_age = milliseconds(3600);
		std::optional<time_point> read_at;
		std::optional<time_point> ran_at;
		// End of the last time during which the process was stopped.
		time_point stopped_until;
	};
}
