#pragma once

#include <cstddef>
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

		// Bytes of an event that are kept while its end has not come.
		static constexpr std::size_t longest_event = 65'536;

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

		// Whether an event has become so long that this is no stream of events.
		[[nodiscard]] bool is_overlong() const noexcept
		{
			return this->pending.size() > longest_event;
		}

		// Events passed on; comments do not count.
		[[nodiscard]] std::uint64_t events() const noexcept
		{
			return this->passed_on;
		}

	  private:
		// Whether an event comes after the last one; takes its id over.
		[[nodiscard]] bool accept(std::string_view event);

		// Position in what is pending from which an event's end has to be looked for.
		[[nodiscard]] std::size_t unsearched() const noexcept;

		std::string pending;
		// So much of what is pending holds no end of an event.
		std::size_t searched = 0;
		std::optional<std::string> last_id;
		std::uint64_t passed_on = 0;
	};
}
