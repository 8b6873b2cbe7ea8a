#include <godwittrestle/routing/registry_view.hpp>

#include <algorithm>

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
		this->asked_until = std::max(this->asked_until, std::min(asked_at, now));
		if (asked_at >= this->stopped_until)
		{
			this->read_at = now;
		}
	}

	void registry_view::note_return(duration return_grace, time_point now) noexcept
	{
		this->complete_from = now + return_grace;
	}

	time_point registry_view::read_until() const noexcept
	{
		return this->asked_until >= this->complete_from ? this->asked_until : time_point();
	}

	void registry_view::note_unanswered(time_point asked_at) noexcept
	{
		this->unanswered_at = std::max(this->unanswered_at, asked_at);
	}

	bool registry_view::covers(time_point at) const noexcept
	{
		return this->read_until() >= at;
	}

	bool registry_view::has_failed_since(time_point at) const noexcept
	{
		return this->unanswered_at >= at && !this->covers(this->unanswered_at);
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
