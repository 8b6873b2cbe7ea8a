#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/decide/fwd.hpp>
#include <godwittrestle/decide/settings.hpp>

namespace godwittrestle::decide
{
	// A clock whose readings never go back and exceed every timestamp seen in a message, so that a cause is stamped
	// before its effects on other daemons.
	class hybrid_clock
	{
	  public:
		// Returns the next reading. physical: wall-clock time in microseconds.
		[[nodiscard]] std::uint64_t next(std::uint64_t physical) noexcept;

		// Takes note of a received timestamp. One that is too far ahead is ignored, as its sender's clock is wrong.
		void observe(std::uint64_t received, std::uint64_t physical) noexcept;

	  private:
		std::uint64_t last = 0;
	};

	// One call of core::handle: the present time, and where the actions go.
	class turn
	{
	  public:
		turn(core_settings const& core, hybrid_clock& clock, time_point present, std::vector<action>& actions) noexcept;

		[[nodiscard]] time_point now() const noexcept
		{
			return this->present;
		}

		void emit(action next);

		// Adds an event to the time line.
		void record(std::string_view name, request_id const& request, std::string detail = {});

		// Sends a message to a daemon. One to this daemon itself is delivered at the end of the turn.
		void send(instance_id const& to, std::string const& address, wire::PeerMessage message);

		// Returns the oldest message to this daemon itself, if any is left.
		[[nodiscard]] bool take_local(wire::PeerMessage& message);

	  private:
		[[nodiscard]] std::uint64_t wall_time() const noexcept;

		core_settings const* core;
		hybrid_clock* clock;
		time_point present;
		std::vector<action>* actions;
		std::deque<wire::PeerMessage> local;
	};
}
