#pragma once

#include <map>
#include <string>
#include <utility>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/counters.hpp>
#include <godwittrestle/decide/event.hpp>
#include <godwittrestle/decide/fwd.hpp>
#include <godwittrestle/decide/settings.hpp>

namespace godwittrestle::decide
{
	// Holds the cancels that engines have not confirmed yet. Each cancel is repeated until the engine confirms it, the
	// platform no longer lists the engine, or so much time has passed that the engine must have dropped the request by
	// its own hard deadline.
	class cancellations
	{
	  public:
		cancellations(mechanism_set const& mechanisms, counters& totals);

		// Orders an engine to drop an attempt, unless such a cancel is already pending.
		void start(
			server_id const& server, std::string const& attempt, membership const& members, event_context& context);

		void handle(cancel_acknowledged const& acknowledged);

		// Repeats the cancels that are due and drops those that need no more repeats.
		void handle_tick(membership const& members, event_context& context);

		[[nodiscard]] bool empty() const noexcept
		{
			return this->pending.empty();
		}

	  private:
		struct pending_cancel
		{
			time_point started;
			time_point sent;
		};

		void send(
			server_id const& server, std::string const& attempt, membership const& members, event_context& context);

		mechanism_set const* mechanisms;
		counters* totals;
		std::map<std::pair<server_id, std::string>, pending_cancel> pending;
	};
}
