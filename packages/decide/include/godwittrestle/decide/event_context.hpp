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
	// A hybrid logical clock. Its readings always increase and exceed every timestamp accepted from a message, so that
	// a cause gets a lower timestamp than its effects on other daemons.
	class hybrid_clock
	{
	  public:
		// Returns the next reading, in microseconds. physical: wall-clock time in microseconds.
		[[nodiscard]] std::uint64_t next(std::uint64_t physical) noexcept;

		// Advances the clock to a received timestamp. Ignores a timestamp that is a minute or more ahead of the wall
		// clock, because its sender's clock must be wrong.
		void observe(std::uint64_t received, std::uint64_t physical) noexcept;

	  private:
		std::uint64_t last = 0;
	};

	// The context of one call of core::handle: the current time and the list of resulting actions.
	class event_context
	{
	  public:
		event_context(
			core_settings const& core, hybrid_clock& clock, time_point present, std::vector<action>& actions) noexcept;

		[[nodiscard]] time_point now() const noexcept
		{
			return this->present;
		}

		void emit(action next);

		// Adds an event to the timeline.
		void record(std::string_view name, request_id const& request, std::string detail = {});

		// Sends a message to a daemon. A message to this daemon itself is queued for take_local.
		void send(instance_id const& to, std::string const& address, wire::PeerMessage message);

		// Moves the oldest queued message to this daemon itself into the parameter. Returns false if none is queued.
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
