#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "forwarder_state.hpp"
#include "limit_events.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// The answer to a request for a permit may take this part of the route's objective, within the bounds below.
		constexpr int objective_divisor = 4;
		constexpr duration min_permit_timeout = milliseconds(20);
		constexpr duration max_permit_timeout = milliseconds(200);
		// A server whose issuer has not answered gets no requests for this long, so that few requests wait in vain.
		constexpr duration unanswered_pause = milliseconds(500);
	}

	asio::awaitable<bool> forwarder::obtain_permit(state_pointer state, routing::server_pointer server)
	{
		if (!server->limit.rate())
		{
			co_return true;
		}
		if (server->limit.refused_for(monotonic_now()) > duration{})
		{
			co_return false;
		}
		auto const timeout =
			std::clamp(state->matched_route->objective / objective_divisor, min_permit_timeout, max_permit_timeout);
		auto const answer = co_await this->request_permit(server, timeout);
		this->totals->count_permit(routing::to_string(answer.outcome));
		if (answer.outcome == routing::permit_outcome::granted)
		{
			co_return true;
		}
		auto const now = monotonic_now();
		server->limit.note_refusal(answer, now);
		state->was_limited = true;
		this->log_event(*state, "request_not_permitted", limit_fields(*server, now));
		co_return false;
	}

	asio::awaitable<routing::permit_answer> forwarder::request_permit(routing::server_pointer server, duration timeout)
	{
		std::optional<routing::permit_answer> answer;
		asio::steady_timer timer(this->executor);
		auto const number = this->permits->request(*server, monotonic_now(),
			[&](routing::permit_answer const& received)
			{
				answer = received;
				timer.cancel();
			});
		if (!answer)
		{
			timer.expires_after(timeout);
			std::ignore = co_await timer.async_wait(wait_token);
		}
		this->permits->cancel(number);
		co_return answer.value_or(routing::permit_answer{routing::permit_outcome::no_answer, unanswered_pause});
	}

	void forwarder::record_limit(routing::server_record& server, answer_metadata const& metadata, unsigned status,
		std::optional<time_point> call_sent_at)
	{
		constexpr unsigned first_success = 200;
		constexpr unsigned first_redirect = 300;
		if (metadata.is_misdirected && metadata.server != server.entry.id)
		{
			// Another server answered at this address.
			return;
		}
		auto const now = monotonic_now();
		auto const rate_before = server.limit.rate();
		auto const& statement = metadata.limit;
		if (!statement.fault.empty() && server.limit.note_fault(statement.fault))
		{
			this->log(make_limit_unreadable_event(server, statement.fault, statement.rate));
		}
		routing::limit_report const report{statement.rate, now, this->shared->own_id};
		auto const is_success = status >= first_success && status < first_redirect;
		auto is_changed = false;
		if (statement.rate)
		{
			is_changed = server.limit.note(report, now);
		}
		else if (statement.fault.empty() && call_sent_at && is_success)
		{
			is_changed = server.limit.note_absence(*call_sent_at, report, now);
		}
		if (is_changed)
		{
			this->log(make_limit_changed_event(server, rate_before));
		}
	}
}
