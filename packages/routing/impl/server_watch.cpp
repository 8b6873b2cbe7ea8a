#include <godwittrestle/routing/server_watch.hpp>

namespace godwittrestle::routing
{
	server_watch::server_watch(server_watch_settings given) noexcept
		: settings(given)
	{
	}

	void server_watch::note_opened(incarnation new_process, time_point now) noexcept
	{
		this->note_ended();
		if (this->before && now - this->before->lived_at > this->settings.shortest_life)
		{
			// Several processes may have followed since.
			this->before.reset();
		}
		this->process = new_process;
		this->opened = now;
	}

	void server_watch::note_stated(incarnation start) noexcept
	{
		this->process = start;
	}

	void server_watch::note_ended() noexcept
	{
		if (this->opened)
		{
			this->before.reset();
			if (this->written_entry && this->answered)
			{
				this->before = predecessor{*this->written_entry, *this->answered};
			}
		}
		this->process.reset();
		this->opened.reset();
		this->answered.reset();
		this->written_entry.reset();
	}

	void server_watch::note_answer(
		time_point asked_at, entry_times const& entry, time_point registry_read_until) noexcept
	{
		if (!this->opened || asked_at < *this->opened)
		{
			return;
		}
		this->answered = asked_at;
		// An entry that was read later may be that of a process that has followed meanwhile.
		auto const was_read_before = entry.changed_at <= asked_at && entry.read_at <= asked_at;
		if (was_read_before && this->is_proved_writer(entry, registry_read_until))
		{
			this->written_entry = entry.changed_at;
		}
	}

	std::optional<incarnation> server_watch::holder() const noexcept
	{
		return this->answered ? this->process : std::nullopt;
	}

	bool server_watch::has_written(time_point entry_changed_at) const noexcept
	{
		return this->written_entry == entry_changed_at;
	}

	std::optional<time_point> server_watch::opened_at() const noexcept
	{
		return this->opened;
	}

	std::optional<time_point> server_watch::answered_at() const noexcept
	{
		return this->answered;
	}

	bool server_watch::is_proved_writer(entry_times const& entry, time_point registry_read_until) const noexcept
	{
		auto const was_written_since = *this->opened + this->settings.longest_write <= entry.written_after;
		auto const would_have_lapsed = *this->opened + this->settings.entry_lifetime <= registry_read_until;
		// Entries of a copy of the registry may be older than those that were read before.
		auto const is_complete = registry_read_until > time_point();
		auto const is_of_successor = is_complete && this->before && this->before->entry_changed_at != entry.changed_at;
		return was_written_since || would_have_lapsed || is_of_successor;
	}
}
