#include <godwittrestle/routing/registry_view.hpp>

namespace godwittrestle::routing
{
	namespace
	{
		// A process that runs notes that at least this often.
		constexpr duration longest_pause = seconds(1);
	}

	registry_view::registry_view(duration longest_age) noexcept
		: max_age(longest_age)
	{
	}

	void registry_view::note_read(time_point asked_at, time_point now) noexcept
	{
		this->note_running(now);
		if (asked_at >= this->stopped_until)
		{
			this->read_at = now;
		}
	}

	void registry_view::note_running(time_point now) noexcept
	{
		if (this->ran_at && now - *this->ran_at > longest_pause)
		{
			this->stopped_until = now;
			this->read_at.reset();
		}
		this->ran_at = now;
	}

	bool registry_view::has_run_since(time_point since, time_point now) const noexcept
	{
		auto const is_stopped = this->ran_at && now - *this->ran_at > longest_pause;
		return !is_stopped && this->stopped_until <= since;
	}

	bool registry_view::is_current(time_point now) const noexcept
	{
		auto const is_running = this->ran_at && this->has_run_since(this->stopped_until, now);
		return is_running && this->read_at && now - *this->read_at <= this->max_age;
	}
}
