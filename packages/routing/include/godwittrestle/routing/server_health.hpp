#pragma once

#include <cstdint>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// How a call to a backend server ended, as far as it tells about the server.
	enum class call_outcome
	{
		// Answered as it should.
		served,
		// The server's own failure, such as a 500.
		failed,
		// No connection, a broken one, a malformed or cut answer.
		broken,
		// No answer within the time that the daemon waits.
		silent,
		// The server said that it did not run the call.
		rejected,
	};

	// Judges a backend server by the outcomes of this daemon's own calls, whatever its status check says. Answers
	// servers that crash, go silent, or fail a part of their calls while healthy: they are passed over for a while that
	// doubles with each further failure, and get single calls again afterwards.
	class server_health
	{
	  public:
		void note(call_outcome outcome, time_point now);

		// Whether the server should get work only when no other can.
		[[nodiscard]] bool is_suspect(time_point now) const noexcept;

		// Share of recent calls that did not end well, from 0 to 1.
		[[nodiscard]] double failure_share() const noexcept
		{
			return this->recent_failure_share;
		}

	  private:
		double recent_failure_share = 0;
		std::uint32_t failures_in_row = 0;
		time_point avoid_until;
	};
}
