#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <variant>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/server.hpp>

namespace godwittrestle::routing
{
	// Whether a process takes connections at a server's address.
	enum class port_evidence : std::uint8_t
	{
		// It was not tried, or nothing came back.
		none,
		// The host is up, and no process listens.
		refused,
		accepted,
	};

	// The server was not asked, or gave no answer.
	struct no_statement
	{
	};

	// The server wants no calls from this daemon for a while, so it was not asked.
	struct pause_wanted
	{
	};

	// A process answered without its start: with a failure, or with a report that can't be read or states none.
	struct start_not_stated
	{
	};

	// Another server answered at the address, or the server's entry states a later start.
	struct other_process
	{
	};

	// A process answered with its start.
	struct start_stated
	{
		incarnation start;
		// The callers' attempts that the process said it runs; null when it did not say.
		std::shared_ptr<std::set<request_id> const> running = nullptr;
	};

	using process_statement = std::variant<no_statement, pause_wanted, start_not_stated, other_process, start_stated>;

	// What an attempt to reach the process of a backend server has shown. It answers no question by itself: see the
	// judgements below, which tell a proof from the lack of one.
	struct process_evidence
	{
		// Time at which the attempt began. It tells nothing of what has happened since.
		time_point asked_at;
		port_evidence port = port_evidence::none;
		process_statement statement;

		// Returns whether a process answered the question for its start, whatever it said.
		[[nodiscard]] bool has_answered() const noexcept;

		// Returns the start that was stated; nothing when none was.
		[[nodiscard]] std::optional<incarnation> stated() const noexcept;

		// Returns whether the process named a caller's attempt among those that it runs.
		[[nodiscard]] bool names_run(request_id const& attempt) const;
	};

	// What has become of the process that a call was sent to.
	enum class process_state : std::uint8_t
	{
		same,
		ended,
		// Nothing proves either.
		unknown,
	};

	[[nodiscard]] std::string_view to_string(process_state state) noexcept;

	// Returns whether a server can be asked for its start: engines state it, and the entry must state one to compare.
	[[nodiscard]] bool states_start(registered_server const& server) noexcept;

	// Returns a server's entry as streams see it: a server without a stage serves them as a decode engine does, and
	// they ask it for its start.
	[[nodiscard]] registered_server as_stream_server(registered_server entry);

	// Returns whether it is proved that another process has taken the place of the one that the entry names.
	[[nodiscard]] bool is_proved_replaced(registered_server const& called, process_evidence const& seen) noexcept;

	// Returns whether the process that answers at a server's address is the one that the entry names. Only a process
	// that states the entry's start proves it; a server that states no start is never proved to be the same.
	[[nodiscard]] process_state judge_start(registered_server const& called, process_evidence const& seen) noexcept;

	// Returns what has become of the process of a server. called: the server's entry when the call was sent. A port
	// that accepts connections proves nothing where the server states its start, since another process may have taken
	// its place; of other servers, and of one that wants no calls, nothing better can be had.
	[[nodiscard]] process_state judge_process(registered_server const& called, process_evidence const& seen) noexcept;

	// Returns the start of the process that has made the first event of a stream; nothing when that is not certain.
	// sent_to: the start of the newest process that the server was known to have had when the stream was sent; an
	// earlier one had ended by then. seen: what the server has said after the first event. attempt: the caller's, which
	// is sent to no server twice.
	[[nodiscard]] std::optional<incarnation> find_writer(
		incarnation sent_to, process_evidence const& seen, request_id const& attempt);
}
