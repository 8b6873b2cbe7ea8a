#pragma once

#include <cstdint>
#include <optional>

#include <godwittrestle/gateway/registry_position.hpp>

namespace godwittrestle::gateway
{
	// What to do with an answer of the registry.
	enum class answer_use
	{
		// The answer follows what was read before.
		apply,
		// The registry has come back from a copy: what the answer contains may lack changes, so everything has to be
		// listed.
		list_again,
		// The answer comes from an older state of the registry than what was read before.
		ignore,
	};

	// The registry's return from a copy, as a daemon has seen it.
	struct registry_restore
	{
		// Up to where the daemon had read before.
		registry_position before;
		// Where the first list after the return begins.
		registry_position after;
	};

	// Tracks up to where the registry was read, and finds out when the registry comes back from a copy. A copy gives
	// out revisions again, so a watch from a revision of an older era would miss changes without any error.
	class registry_cursor
	{
	  public:
		// Begins a list of all entries.
		void begin_list() noexcept;

		// Returns what to do with a page of the list that was begun.
		[[nodiscard]] answer_use note_page(registry_position at) noexcept;

		// Ends the list. Returns the registry's return from a copy when the list is the first one after it.
		[[nodiscard]] std::optional<registry_restore> end_list() noexcept;

		// Returns what to do with the changes after position(). at: the position after the changes.
		[[nodiscard]] answer_use note_changes(registry_position at) noexcept;

		// Returns the position up to which everything was read.
		[[nodiscard]] registry_position position() const noexcept
		{
			return this->read_to;
		}

	  private:
		// Counts an answer of an older era. Returns list_again when there were so many that the registry must be taken
		// to have lost its newer state.
		[[nodiscard]] answer_use note_outdated() noexcept;

		registry_position read_to;
		// Position of the first page of the present list.
		std::optional<registry_position> list_from;
		bool has_read = false;
		// Answers of an older era since the last one that was applied.
		std::uint32_t outdated_answers = 0;
	};
}
