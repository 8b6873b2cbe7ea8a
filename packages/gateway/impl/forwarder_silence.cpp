#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <utility>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	bool forwarder::may_go_elsewhere(request_state const& state, routing::server_record const& server) const
	{
		auto const is_sent_here = state.sent_to.contains(server.entry.id);
		auto const servers_left_here = state.servers_left() + (is_sent_here ? 1U : 0U);
		auto const others = this->shared->servers.candidates(state.service, server.entry.role, monotonic_now());
		return servers_left_here > 1 && std::ranges::any_of(others,
											[&](routing::server_pointer const& each)
											{
												auto const is_of_version =
													!state.origin || each->entry.version == state.origin->version;
												return each->entry.id != server.entry.id &&
													   !state.excluded.contains(each->entry.id) && is_of_version;
											});
	}

	http::further_wait forwarder::wait_unless_moved(
		state_pointer const& state, routing::server_pointer const& server, silence_limits limits, time_point since)
	{
		return [this, state = std::weak_ptr(state), server, limits, since, is_first = true]() mutable
		{
			auto const waiting = state.lock();
			if (!waiting)
			{
				return duration{};
			}
			auto const now = monotonic_now();
			auto const further = this->decide_further_wait(*waiting, *server, limits, since, now);
			if (std::exchange(is_first, false))
			{
				this->log_silence(*waiting, *server, limits, since, further, now);
			}
			return further;
		};
	}

	duration forwarder::decide_further_wait(request_state& state, routing::server_record const& server,
		silence_limits limits, time_point since, time_point now)
	{
		auto const left = std::min(limits.longest - (now - since), state.time_left());
		if (left <= duration{} || state.is_caller_gone)
		{
			return duration{};
		}
		// The retry is spent here, since several requests may wait for the last one. One that gets none waits on.
		auto const is_refused_next =
			state.matched_route->kind == routing::call_kind::streaming && this->must_refuse_before_stop(state);
		auto const may_be_repeated = !state.is_out_of_time() && state.joiner.may_go_on() && !is_refused_next;
		if (may_be_repeated && this->may_go_elsewhere(state, server) && this->spend_retry(state))
		{
			state.is_retry_spent = true;
			return duration{};
		}
		return std::min(left, silence_check_interval);
	}

	void forwarder::log_silence(request_state const& state, routing::server_record const& server, silence_limits limits,
		time_point since, duration further, time_point now)
	{
		auto const due = std::min(limits.before_move, state.time_left() + (now - since));
		this->log_event(state, "request_silent",
			{{"server", server.entry.id.str()}, {"silent_ms", milliseconds_text(now - since)},
				{"late_ms", milliseconds_text(std::max(duration{}, now - since - due))},
				{"unheard_ms", milliseconds_text(this->shared->reach.unheard_for(now))},
				{"last_event", state.joiner.last_event().value_or("")},
				{"elsewhere", this->may_go_elsewhere(state, server) ? "yes" : "no"},
				{"decided", further > duration{} ? "wait" : "give_up"},
				{"left_ms", milliseconds_text(state.time_left())}});
	}
}
