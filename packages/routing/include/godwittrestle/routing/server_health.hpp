#pragma once

#include <cstdint>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// The outcome of a call, as evidence of the health of the backend server.
	enum class call_outcome
	{
		// The server answered successfully.
		served,
		// The server answered with an error of its own, such as status 500.
		failed,
		// No connection, a broken connection, or a malformed or truncated answer.
		broken,
		// No answer arrived within the timeout.
		silent,
		// The server stated that it did not run the call.
		rejected,
	};

	// Tracks the health of a backend server by the outcomes of this daemon's own calls, whatever the server's health
	// check reports. A server that crashes, stops answering or fails at least half of its recent calls while its health
	// check succeeds is avoided for a time that doubles with each further failure, up to a limit. Afterwards it gets
	// calls again.
	class server_health
	{
	  public:
		void note(call_outcome outcome, time_point now);

		// Returns whether the server should get work only when no other server can take it.
		[[nodiscard]] bool is_suspect(time_point now) const noexcept;

		// Returns the share of recent calls that failed, from 0 to 1.
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
