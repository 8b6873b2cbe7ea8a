#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/routing/server.hpp>

namespace godwittrestle::routing
{
	// The process that holds a connection to a server, compared with the one that the server's entry names. One process
	// holds a connection from the accept to its end.
	enum class connection_holder : std::uint8_t
	{
		// The entry's process.
		listed,
		// A process that has ended since, so the connection is dead.
		earlier,
		// A process whose entry was not read yet, so its software version is not known.
		later,
		// The process has not stated its start on the connection.
		unknown,
	};

	[[nodiscard]] std::string_view to_string(connection_holder holder) noexcept;

	// Returns which process holds a connection. holder: the process that is known to hold it, by the start that it has
	// stated on it or as a server_watch names it; writer: the one that is known to have written the entry, where that
	// does not follow from the start that the entry states. A server that serves no streams is not asked for its
	// process; see as_stream_server().
	[[nodiscard]] connection_holder compare_holder(registered_server const& entry, std::optional<incarnation> holder,
		std::optional<incarnation> writer = std::nullopt) noexcept;

	// What decides, besides the holder of the connection, whether a stream may be sent over it.
	struct stream_terms
	{
		// The version at which the stream must go on; nothing for a stream that has not begun.
		std::optional<software_version> origin;
		// Whether a process that is not known may be of another version than the entry: the service may have, or have
		// had, several versions, or the server states the start of its process at other times.
		bool is_holder_needed = false;
		// Whether the server's process may have ended, so that a connection may lead to another one.
		bool is_start_doubtful = false;
	};

	// Returns whether a stream may be sent over a connection to a server. A stream that has begun goes on only where
	// the version is certain: at the process that an entry of that version names or, if the process is not known and
	// need not be, while nothing speaks against the listed process.
	[[nodiscard]] bool may_send_stream(
		registered_server const& entry, connection_holder holder, stream_terms const& terms) noexcept;
}
