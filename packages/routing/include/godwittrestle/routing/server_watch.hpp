#pragma once

#include <optional>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// What is taken for granted of servers that state no start.
	struct server_watch_settings
	{
		// Time after which the registry removes an entry that its process does not write again. So one that still
		// stands this long after a process has started is its own.
		duration entry_lifetime = milliseconds(3600);
		// A server does not start twice within this time.
		duration shortest_life = seconds(1);
		// What a process has written reaches the registry within this time, also when the process has ended meanwhile.
		duration longest_write = seconds(1);
	};

	// When a server's present entry was written and read.
	struct entry_times
	{
		// Time at which it was first read that the entry names this address, version and start.
		time_point changed_at;
		// The entry was last written after this time.
		time_point written_after;
		// Time at which that last writing was read.
		time_point read_at;
	};

	// Finds out whether the process that holds a connection has written the server's entry, for servers that state no
	// start. One process holds a connection from the accept to its end, and one process at a time has the server's
	// address. So a process that answers on a connection has been the server's only one since the connection was
	// opened.
	class server_watch
	{
	  public:
		explicit server_watch(server_watch_settings given = {}) noexcept;

		// Records a new connection in place of the one before. process: names the process that holds it.
		void note_opened(incarnation process, time_point now) noexcept;

		// Records that the process states this start on the connection, which names it from now on.
		void note_stated(incarnation start) noexcept;

		// Records that the connection has ended. Whether its process has, is not known.
		void note_ended() noexcept;

		// Records that the process has answered on the connection. asked_at: time of the question; entry: what had been
		// read of the server's entry by the time of the answer; registry_read_until: all that was written before this
		// time has been read; the epoch when that is not known, as after a return of the registry.
		void note_answer(time_point asked_at, entry_times const& entry, time_point registry_read_until) noexcept;

		// Returns the process that holds the connection; nothing before its first answer.
		[[nodiscard]] std::optional<incarnation> holder() const noexcept;

		// Returns whether that process is known to have written the entry that was first read at a time.
		[[nodiscard]] bool has_written(time_point entry_changed_at) const noexcept;

		// Returns when the connection was opened; nothing when there is none.
		[[nodiscard]] std::optional<time_point> opened_at() const noexcept;

		// Returns the time of the last question that was answered on the connection.
		[[nodiscard]] std::optional<time_point> answered_at() const noexcept;

	  private:
		// A process that was known to have written an entry, and was directly followed by the present one or is the
		// same.
		struct predecessor
		{
			// Of the entry that it wrote.
			time_point entry_changed_at;
			// A time at which it lived.
			time_point lived_at;
		};

		[[nodiscard]] bool is_proved_writer(entry_times const& entry, time_point registry_read_until) const noexcept;

		server_watch_settings settings;
		std::optional<incarnation> process;
		std::optional<time_point> opened;
		std::optional<time_point> answered;
		// When the entry was first read that the process has written.
		std::optional<time_point> written_entry;
		std::optional<predecessor> before;
	};
}
