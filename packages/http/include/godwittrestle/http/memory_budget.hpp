#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <godwittrestle/base/strong_type.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::http
{
	using holder_id = strong_count<struct holder_id_tag, std::uint64_t>;

	// Bounds of what the requests and answers of all callers may hold together.
	struct memory_limits
	{
		std::size_t bytes = 0;
		// A single request may always hold this much.
		std::size_t request_bytes = 0;

		[[nodiscard]] bool operator==(memory_limits const&) const = default;
	};

	// Why a request or an answer gives up its memory.
	enum class yield_reason : std::uint8_t
	{
		// It has stopped to arrive, or its caller to read it, and others need its memory.
		stopped,
		// It arrives, and no request that has stopped could yield in its place.
		no_room,
	};

	// A request or an answer that gives up its memory.
	struct yielding_request
	{
		holder_id id;
		yield_reason reason = yield_reason::no_room;

		[[nodiscard]] bool operator==(yielding_request const&) const = default;
	};

	// Returns what the bodies and the answers of all callers may hold on a machine with this much memory: half of what
	// the process leaves, as the other half is needed for copies that are sent.
	[[nodiscard]] std::size_t budget_of_machine(std::size_t machine_bytes) noexcept;

	// The account of the memory that callers' requests and answers hold, and the decision which of them yield when it
	// is spent. Requests that have stopped to arrive yield before those that move, and the newest one of the address
	// that holds the most before others, so that the oldest arrive in full. One address gets a part of the budget only.
	// Requests that have arrived in full never yield. An answer yields only while it waits for a caller that has
	// stopped to read.
	class memory_budget
	{
	  public:
		explicit memory_budget(memory_limits const& limits);

		// Replaces the limits for later decisions.
		void set_limits(memory_limits const& limits);

		// Begins the account of a request from an address.
		[[nodiscard]] holder_id begin(std::string address, time_point now);

		// Begins the account of the answer to a caller at an address.
		[[nodiscard]] holder_id begin_answer(std::string address, time_point now);

		// States how much a request that arrives, or an answer, holds. Returns those that yield, so that the rest is
		// within the budget; it may be among them. They are no longer in the account.
		[[nodiscard]] std::vector<yielding_request> hold(holder_id id, std::size_t bytes, time_point now);

		// States that a request has arrived in full. It keeps its bytes in the account until end().
		void complete(holder_id id);

		// States that an answer waits for its caller from now on.
		void begin_wait(holder_id id, time_point now);

		// States that a caller has taken some of its answer.
		void note_move(holder_id id, time_point now);

		// States that an answer waits for its caller no more.
		void end_wait(holder_id id);

		// Returns the requests and answers that have stopped and yield now, so that there is room.
		[[nodiscard]] std::vector<yielding_request> make_room(time_point now);

		// Returns whether more may be read.
		[[nodiscard]] bool has_room() const noexcept;

		// Ends the account of a request or an answer, also of one that has yielded.
		void end(holder_id id);

		// Returns the bytes that all requests and answers hold.
		[[nodiscard]] std::size_t held() const noexcept;

	  private:
		struct holder
		{
			std::string address;
			std::size_t bytes = 0;
			// Bytes at the last time at which the request had moved on by enough to count as moving.
			std::size_t moved_bytes = 0;
			time_point moved_at;
			// A request that has arrived in full, or an answer that doesn't wait for its caller: it doesn't yield.
			bool is_complete = false;
			bool is_answer = false;
		};

		// What all requests of an address hold.
		struct address_share
		{
			std::size_t bytes = 0;
			std::size_t requests = 0;
		};

		using holder_map = std::map<holder_id, holder>;

		[[nodiscard]] std::size_t total_limit() const noexcept;
		[[nodiscard]] std::size_t address_limit() const noexcept;
		[[nodiscard]] static bool may_yield(holder const& request, time_point now) noexcept;
		// Returns the request or answer that yields next, or the end when none can. address: the only one whose
		// requests may yield; any if empty.
		[[nodiscard]] holder_map::iterator find_yielding(std::string const& address, time_point now);
		[[nodiscard]] static bool has_stopped(holder const& request, time_point now) noexcept;
		void erase(holder_map::iterator request);

		memory_limits limits;
		// In the order of their begin.
		holder_map holders;
		std::map<std::string, address_share> addresses;
		std::size_t total = 0;
		holder_id last;
	};
}
