#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwittrestle::gateway
{
	// Cuts a stream of server-sent events into whole events, so that one answer can be put together from the streams of
	// several servers: nothing of a half event is passed on, and an event that the caller has is not passed on again.
	class stream_joiner
	{
	  public:
		// last_event: the last event that the caller already has.
		explicit stream_joiner(std::optional<std::string> last_event);

		// Returns the whole events that a piece completes, as they were.
		[[nodiscard]] std::string feed(std::string_view piece);

		// Returns what is left at the end of a complete stream.
		[[nodiscard]] std::string finish();

		// Drops what was left of a broken stream.
		void restart();

		// Id of the last event passed on, or the one that the caller had; nothing when there is none.
		[[nodiscard]] std::optional<std::string> const& last_event() const noexcept
		{
			return this->last_id;
		}

		[[nodiscard]] std::uint64_t events() const noexcept
		{
			return this->passed_on;
		}

	  private:
		// Whether an event comes after the last one; takes its id over.
		[[nodiscard]] bool accept(std::string_view event);

		std::string pending;
		std::optional<std::string> last_id;
		std::uint64_t passed_on = 0;
	};
}
