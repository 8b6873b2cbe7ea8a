#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr unsigned too_many_requests = 429;
		// The issuer's answer may take this part of the route's objective, within the bounds below.
		constexpr int objective_divisor = 4;
		constexpr duration min_answer_timeout = milliseconds(30);
		constexpr duration max_answer_timeout = milliseconds(200);
		// A request that the issuer has not decided on waits for this part of its caller's time at most.
		constexpr int time_left_divisor = 3;
		constexpr duration unanswered_pause = milliseconds(100);
		// Number of daemons that share a limit, for one that can't know yet whether there are others.
		constexpr std::size_t assumed_daemons = 32;
	}

	asio::awaitable<bool> forwarder::admit_request(state_pointer state)
	{
		if (state->account == nullptr || !state->account->limit || this->quotas == nullptr)
		{
			co_return true;
		}
		auto const& account = *state->account;
		auto const units = routing::request_cost(*account.limit, state->call.named_tokens);
		state->quota = units;
		this->shared->quotas.note_demand(account.id, units, monotonic_now());
		auto verdict = this->shared->quotas.decide(account.id, units, monotonic_now());
		if (verdict.outcome == routing::limit_outcome::unknown)
		{
			verdict = co_await this->settle_admission(state, *account.limit);
		}
		this->totals->count_account_request(account.id, routing::to_string(verdict.outcome));
		if (verdict.outcome == routing::limit_outcome::admitted)
		{
			co_return true;
		}
		state->quota = 0;
		if (verdict.outcome == routing::limit_outcome::over_limit)
		{
			this->log_event(*state, "request_over_limit",
				{{"account", account.id.str()}, {"units", fmt::format("{:.0f}", units)},
					{"rate", fmt::format("{:.3f}", account.limit->rate)},
					{"burst", fmt::format("{:.0f}", account.limit->burst)}, {"issuer", this->issuer_name(account.id)},
					{"retry_ms", milliseconds_text(verdict.retry_after)}});
			co_await this->refuse(state, too_many_requests, "account " + account.id.str() + " is over its limit",
				"come back after Retry-After", verdict.retry_after);
			co_return false;
		}
		co_await this->refuse(state, unavailable, "nothing is known of the use of the account's limit",
			"come back after Retry-After", this->retry_after_delay(*state));
		co_return false;
	}

	asio::awaitable<routing::limit_verdict> forwarder::settle_admission(state_pointer state, routing::rate_limit limit)
	{
		auto const units = state->quota;
		auto const& account = state->account->id;
		auto const give_up_at = monotonic_now() + state->time_left() / time_left_divisor;
		asio::steady_timer pause(this->executor);
		while (!state->is_caller_gone && monotonic_now() < give_up_at)
		{
			routing::quota_answer answer;
			if (!this->is_issuer_unknown(monotonic_now()))
			{
				answer = co_await this->request_quota(state);
			}
			auto const now = monotonic_now();
			this->shared->quotas.note_answer(account, answer, units, now);
			auto verdict = this->shared->quotas.decide(account, units, now);
			auto const is_answered = answer.outcome == routing::quota_outcome::granted ||
									 answer.outcome == routing::quota_outcome::limit_reached;
			if (!is_answered && verdict.outcome == routing::limit_outcome::unknown)
			{
				auto const daemons =
					this->is_issuer_unknown(now) ? assumed_daemons : this->shared->account_issuer.daemons();
				verdict = this->shared->quotas.decide_alone(account, limit, units, daemons, now);
				this->log_event(*state, "quota_unanswered",
					{{"account", account.str()}, {"answer", std::string(routing::to_string(answer.outcome))},
						{"decided", std::string(routing::to_string(verdict.outcome))}});
			}
			if (verdict.outcome != routing::limit_outcome::unknown)
			{
				co_return verdict;
			}
			if (!is_answered)
			{
				pause.expires_after(unanswered_pause);
				std::ignore = co_await pause.async_wait(wait_token);
			}
		}
		co_return routing::limit_verdict{};
	}

	asio::awaitable<routing::quota_answer> forwarder::request_quota(state_pointer state)
	{
		std::optional<routing::quota_answer> answer;
		asio::steady_timer timer(this->executor);
		auto const number = this->quotas->request(*state->account, state->quota, monotonic_now(),
			[&](routing::quota_answer const& received)
			{
				answer = received;
				timer.cancel();
			});
		if (!answer)
		{
			auto const timeout =
				std::clamp(state->matched_route->objective / objective_divisor, min_answer_timeout, max_answer_timeout);
			timer.expires_after(timeout);
			std::ignore = co_await timer.async_wait(wait_token);
		}
		this->quotas->cancel(number);
		this->totals->count_quota(routing::to_string(answer ? answer->outcome : routing::quota_outcome::no_answer));
		co_return answer.value_or(routing::quota_answer{});
	}

	bool forwarder::is_issuer_unknown(time_point now) const
	{
		return !this->shared->has_heard_others && now < this->shared->discovery_ends_at;
	}

	std::string forwarder::issuer_name(account_id const& account) const
	{
		auto const* const issuer = this->shared->account_issuer.issuer_of(account);
		return issuer == nullptr ? this->shared->own_id.str() : issuer->id.str();
	}

	void forwarder::return_quota(request_state& state)
	{
		auto const units = std::exchange(state.quota, 0);
		if (units > 0 && state.sends == 0)
		{
			this->shared->quotas.give_back(state.account->id, units, monotonic_now());
		}
	}
}
