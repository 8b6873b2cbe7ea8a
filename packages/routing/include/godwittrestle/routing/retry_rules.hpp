#pragma once

#include <cstdint>
#include <string_view>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/configuration.hpp>

namespace godwittrestle::routing
{
	// Describes how a call to a backend server failed.
	enum class send_failure
	{
		// No byte of the call was sent.
		not_sent,
		// No byte of the call was sent, since the limit that the server states allows no further request at present.
		not_permitted,
		// No byte of the call was sent, since requests like it have ended the servers that began to answer them.
		blocked,
		// The server stated that it did not and will not run the call.
		not_run,
		// Another server answered at this address, and did not run the call.
		wrong_server,
		// The server ran the call and answered with an error.
		server_error,
		// The connection broke, or the answer was truncated or malformed, after the call may have reached the server.
		broken,
		// No answer, or no further event, arrived within the timeout.
		silent,
	};

	[[nodiscard]] std::string_view to_string(send_failure failure) noexcept;

	// Returns whether bytes of the call may have reached a server.
	[[nodiscard]] constexpr bool has_reached_server(send_failure failure) noexcept
	{
		return failure != send_failure::not_sent && failure != send_failure::not_permitted &&
			   failure != send_failure::blocked;
	}

	// Returns whether the call certainly did not run.
	[[nodiscard]] constexpr bool is_proved_not_run(send_failure failure) noexcept
	{
		return !has_reached_server(failure) || failure == send_failure::not_run ||
			   failure == send_failure::wrong_server;
	}

	// Returns whether a call may be sent to a backend server again after a failure without the risk of a forbidden
	// second run. A call that must not be repeated is sent again only when it certainly did not run.
	[[nodiscard]] inline bool may_retry(route const& chosen, send_failure failure) noexcept
	{
		return chosen.is_repeatable() || is_proved_not_run(failure);
	}

	// Returns the HTTP status for a request that this daemon gives up. 503 guarantees that the request did not run and
	// never will; 502 and 504 guarantee nothing.
	[[nodiscard]] unsigned status_of_failure(bool may_have_run, bool out_of_time) noexcept;

	// Returns the time without an answer, or without a further event, after which a repeatable call is sent to another
	// server. This handles servers that stopped answering. A slow server is not abandoned within twice the objective
	// (for events: twice the longest gap).
	[[nodiscard]] duration response_timeout(route const& chosen) noexcept;
	[[nodiscard]] duration event_timeout(route const& chosen) noexcept;

	// Returns the same times for a request that another daemon serves. That daemon needs the times above to find out
	// that a server has failed, and time for the next ones; a caller waits for an event for its patience.
	[[nodiscard]] duration relayed_response_timeout(route const& chosen) noexcept;
	[[nodiscard]] duration relayed_event_timeout(route const& chosen) noexcept;

	// Returns the delay after which the caller of a refused request should retry: a random time between one and three
	// objectives. The spread keeps a refused burst from returning all at once, and the delay keeps callers from being
	// refused again while the burst lasts. The delay is longer while all servers have requested a pause, and at most a
	// quarter of the time that the caller has left. time_left: remaining time for the request. objective: zero when the
	// route is unknown. pause: time until the first server accepts work again. draw: a uniform random number, 0 <= draw
	// < 1.
	[[nodiscard]] duration retry_after(duration time_left, duration objective, duration pause, double draw) noexcept;
}
