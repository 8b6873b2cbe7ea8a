#include <godwittrestle/routing/retry_rules.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	namespace
	{
		constexpr duration min_response_timeout = milliseconds(150);
		constexpr duration min_event_timeout = milliseconds(1500);
		// Used when the route of a request is unknown.
		constexpr duration default_objective = milliseconds(300);
		constexpr int max_retry_after_in_objectives = 3;
		// The delay is at most a quarter of the time left, so that at least three times the delay remains after it.
		constexpr int time_left_divisor = 4;
	}

	std::string_view to_string(send_failure failure) noexcept
	{
		switch (failure)
		{
			case send_failure::not_sent:
				return "not_sent";
			case send_failure::not_permitted:
				return "not_permitted";
			case send_failure::blocked:
				return "blocked";
			case send_failure::not_run:
				return "not_run";
			case send_failure::wrong_server:
				return "wrong_server";
			case send_failure::server_error:
				return "server_error";
			case send_failure::broken:
				return "broken";
			case send_failure::silent:
				return "silent";
		}
		return "unknown";
	}

	unsigned status_of_failure(bool may_have_run, bool out_of_time) noexcept
	{
		constexpr unsigned bad_gateway = 502;
		constexpr unsigned unavailable = 503;
		constexpr unsigned gateway_timeout = 504;
		if (!may_have_run)
		{
			return unavailable;
		}
		return out_of_time ? gateway_timeout : bad_gateway;
	}

	duration response_timeout(route const& chosen) noexcept
	{
		return std::max(min_response_timeout, 2 * chosen.objective);
	}

	duration event_timeout(route const& chosen) noexcept
	{
		return std::max(min_event_timeout, 2 * chosen.longest_gap);
	}

	duration relayed_response_timeout(route const& chosen) noexcept
	{
		auto const is_tried_again = chosen.kind == call_kind::idempotent;
		return is_tried_again ? (chosen.max_servers + 1) * response_timeout(chosen) : duration::max();
	}

	duration relayed_event_timeout(route const& chosen) noexcept
	{
		// The rest of the patience is left for the next daemon.
		return std::max(event_timeout(chosen), chosen.caller_patience * 3 / 4);
	}

	duration retry_after(duration time_left, duration objective, duration pause, double draw) noexcept
	{
		auto const usable = time_left / time_left_divisor;
		auto const shortest = objective > duration{} ? objective : default_objective;
		auto const soonest = std::min(std::max(shortest, pause), usable);
		auto const longest = std::min(soonest + (max_retry_after_in_objectives - 1) * shortest, usable);
		auto const spread = std::max(duration{}, longest - soonest);
		return soonest + duration(static_cast<duration::rep>(draw * static_cast<double>(spread.count())));
	}
}
