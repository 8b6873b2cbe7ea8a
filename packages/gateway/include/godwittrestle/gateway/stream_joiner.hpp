#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwittrestle::gateway
{
	// The differences between the ids of consecutive events, as far as these are whole numbers.
	class event_steps
	{
	  public:
		// Records the ids of two consecutive events of one run; nothing for an id that is no number.
		void note(std::optional<std::uint64_t> before, std::optional<std::uint64_t> after) noexcept;

		// Returns the difference that all ids had so far; nothing when they differed or too few were seen.
		[[nodiscard]] std::optional<std::uint64_t> even_step() const noexcept;

	  private:
		std::uint64_t step = 0;
		std::uint64_t equal_steps = 0;
		bool is_uneven = false;
	};

	// Splits streams of server-sent events into complete events, so that one answer can be joined from the streams of
	// several servers. Incomplete events are not passed on, nor is the last event when a server repeats it.
	//
	// A run that goes on with a stream is out of order when it begins before the last event, so that it is a run of its
	// own, or later than the next event. The next event is known only when the ids were whole numbers at an even step;
	// otherwise each later id may follow. Within a run the numbers have to rise.
	class stream_joiner
	{
	  public:
		// last_event: id of the last event that the caller already has.
		explicit stream_joiner(std::optional<std::string> last_event);

		// Bytes of an incomplete event that may be buffered, and of comments and blank lines between two events; a
		// stream with more is invalid.
		static constexpr std::size_t max_event_bytes = 65'536;

		// Accepts any first event of the run, for a request whose answer can't be the rest of an earlier one.
		void accept_any_beginning() noexcept;

		// Adds received bytes. Returns the events that they complete, unchanged, up to the first one that is out of
		// order.
		[[nodiscard]] std::string feed(std::string_view piece);

		// Returns the remaining line ends at the end of a stream; nothing when the stream ends inside an event, which
		// means that it was broken off.
		[[nodiscard]] std::optional<std::string> finish();

		// Discards the incomplete event of a broken stream. The next bytes belong to another run, which goes on.
		void restart();

		// Returns whether an event of the current run can't follow the events before it.
		[[nodiscard]] bool is_out_of_order() const noexcept
		{
			return this->has_order_fault;
		}

		// Returns whether another run may go on: no event was passed on yet, or the last one has an id, by which that
		// run knows where to begin.
		[[nodiscard]] bool may_go_on() const noexcept
		{
			return this->events_passed_on == 0 || this->has_last_event_id;
		}

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

		// Returns the bytes of memory that are held for the incomplete event and the last one.
		[[nodiscard]] std::size_t held_bytes() const noexcept
		{
			return this->pending.capacity() + this->last_text.capacity();
		}

		// Returns the number of events with data that were passed on. Comments and blank lines do not count.
		[[nodiscard]] std::uint64_t events() const noexcept
		{
			return this->events_passed_on;
		}

	  private:
		// What is known of the run whose events arrive.
		enum class run_state
		{
			// Its first event may be any.
			begins,
			// Its first event has to follow the last one.
			joins,
			// It has brought an event with an id.
			goes_on,
		};

		enum class verdict
		{
			passed_on,
			dropped,
			out_of_order,
		};

		// Decides what to do with an event.
		[[nodiscard]] verdict judge(std::string_view event, bool has_data) const;
		[[nodiscard]] verdict judge_first(std::string_view event, std::string_view id) const;

		// Returns whether an event has the id and, as far as known, the bytes of the last event.
		[[nodiscard]] bool repeats_last(std::string_view event, std::string_view id) const;

		// Records an event that is passed on.
		void note_passed_on(std::string_view event, bool has_data);

		// Returns the position in the buffer from which to search for the end of an event.
		[[nodiscard]] std::size_t search_start() const noexcept;

		std::string pending;
		// Number of buffered bytes that contain no end of an event.
		std::size_t searched_bytes = 0;
		// Bytes of complete comments, blank lines and events without data since the last event with data.
		std::size_t bytes_without_data = 0;
		std::optional<std::string> last_id;
		// The last event with an id; empty when the caller had it before this answer.
		std::string last_text;
		event_steps steps;
		run_state run = run_state::begins;
		bool has_order_fault = false;
		// Whether the last event with data that was passed on has an id.
		bool has_last_event_id = false;
		std::uint64_t events_passed_on = 0;
	};
}
