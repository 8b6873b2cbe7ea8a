#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwittrestle::gateway
{
	// Splits streams of server-sent events into complete events, so that one answer can be joined from the streams of
	// several servers. Incomplete events are not passed on, nor are events that the caller already has.
	class stream_joiner
	{
	  public:
		// last_event: id of the last event that the caller already has.
		explicit stream_joiner(std::optional<std::string> last_event);

		// Bytes of an incomplete event that may be buffered, and of comments and blank lines between two events; a
		// stream with more is invalid.
		static constexpr std::size_t max_event_bytes = 65'536;

		// Adds received bytes. Returns the events that they complete, unchanged.
		[[nodiscard]] std::string feed(std::string_view piece);

		// Returns the remaining line ends at the end of a stream; nothing when the stream ends inside an event, which
		// means that it was broken off.
		[[nodiscard]] std::optional<std::string> finish();

		// Discards the incomplete event of a broken stream.
		void restart();

		// Returns the id of the last event passed on, or the one that the caller had; nothing when there is none.
		[[nodiscard]] std::optional<std::string> const& last_event() const noexcept
		{
			return this->last_id;
		}

		// Returns whether the incomplete event, or what came since the last event, exceeds max_event_bytes, so that
		// this is no valid stream of events.
		[[nodiscard]] bool is_overlong() const noexcept
		{
			return this->pending.size() > max_event_bytes || this->bytes_without_data > max_event_bytes;
		}

		// Returns the number of events with data that were passed on. Comments and blank lines do not count.
		[[nodiscard]] std::uint64_t events() const noexcept
		{
			return this->events_passed_on;
		}

	  private:
		// Returns whether an event is to be passed on: it has no id, or its id does not precede or repeat the last id
		// passed on. Stores the event's id.
		[[nodiscard]] bool accept(std::string_view event);

		// Returns the position in the buffer from which to search for the end of an event.
		[[nodiscard]] std::size_t search_start() const noexcept;

		std::string pending;
		// Number of buffered bytes that contain no end of an event.
		std::size_t searched_bytes = 0;
		// Bytes of complete comments, blank lines and events without data since the last event with data.
		std::size_t bytes_without_data = 0;
		std::optional<std::string> last_id;
		std::uint64_t events_passed_on = 0;
	};
}
