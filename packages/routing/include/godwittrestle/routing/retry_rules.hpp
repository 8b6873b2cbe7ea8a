#pragma once

#include <cstdint>
#include <string_view>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/configuration.hpp>

namespace godwittrestle::routing
{
	// What is known after a call to a backend server did not end well.
	enum class send_failure
	{
		// No byte of the call left this daemon.
		not_sent,
		// The server said that it did not and will not run the call.
		not_run,
		// Another server has the address, and did not run the call.
		wrong_server,
		// The server answered with a failure of its own after running the call.
		server_error,
		// The connection broke, the answer was cut or malformed, after the call may have arrived.
		broken,
		// No answer, or no further event, within the time that the daemon waits.
		silent,
	};

	[[nodiscard]] std::string_view to_string(send_failure failure) noexcept;

	// Whether the call certainly did not run.
	[[nodiscard]] constexpr bool is_proved_not_run(send_failure failure) noexcept
	{
		return failure == send_failure::not_sent || failure == send_failure::not_run ||
			   failure == send_failure::wrong_server;
	}

	// Whether a call may be sent to a backend server again after a failure, as far as running twice is concerned. A
	// call that must not be repeated goes out again only when it is proved that it did not run.
	[[nodiscard]] inline bool may_retry(route const& chosen, send_failure failure) noexcept
	{
		return chosen.is_repeatable() || is_proved_not_run(failure);
	}

	// The status of the answer to a caller whose request this daemon gives up. 503 promises that the request did not
	// run and never will; 502 and 504 promise nothing.
	[[nodiscard]] unsigned status_of_failure(bool may_have_run, bool out_of_time) noexcept;

	// Longest time without an answer, or without a further event, after which a call that may be repeated is given to
	// another server. Answers servers that went silent; slow ones within twice the objective are left alone.
	[[nodiscard]] duration response_timeout(route const& chosen) noexcept;
	[[nodiscard]] duration event_timeout(route const& chosen) noexcept;

	// When a caller whose request was refused should come back: after one to three times the route's objective, at
	// random, so that a refused burst does not return at once and finds room; later when no server wants anything
	// before. Answers bursts of streams: callers who return while the burst lasts are refused again. objective: zero
	// when no route is known. pause: how long all servers want nothing. draw: a uniform number from 0 up to but not
	// including 1.
	[[nodiscard]] duration retry_after(duration time_left, duration objective, duration pause, double draw) noexcept;
}
