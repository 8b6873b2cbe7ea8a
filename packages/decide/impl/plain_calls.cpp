#include <godwittrestle/decide/plain_calls.hpp>

#include <algorithm>
#include <utility>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/decide/event_context.hpp>
#include <godwittrestle/decide/limits.hpp>
#include <godwittrestle/decide/membership.hpp>

namespace godwittrestle::decide
{
	namespace
	{
		// A call that its server has not answered for this long is retried on another server, if one is available and
		// the retry budget allows it.
		constexpr duration attempt_timeout = milliseconds(1500);
		constexpr unsigned first_server_error = 500;

		// Tells whether a repeatable call may be retried on another server after this answer.
		bool is_server_error(unsigned status) noexcept
		{
			return status >= first_server_error;
		}
	}

	policy::Route const* find_route(policy::Service const& service, std::string_view method, std::string_view target)
	{
		policy::Route const* best = nullptr;
		for (auto const& route : service.routes())
		{
			auto const takes_method = route.methods().empty() || contains(route.methods(), method);
			if (takes_method && target.starts_with(route.path_prefix()) &&
				(best == nullptr || route.path_prefix().size() > best->path_prefix().size()))
			{
				best = &route;
			}
		}
		return best;
	}

	plain_calls::plain_calls(
		limits& account_limits, plain_server_choice& choice, call_id_generator& call_ids, counters& sums)
		: accounts(&account_limits)
		, servers(&choice)
		, calls(&call_ids)
		, totals(&sums)
	{
	}

	void plain_calls::start(plain_requested asked, std::shared_ptr<active_policy const> const& policy,
		account_id const& account, membership const& members, event_context& context)
	{
		plain_call next;
		next.policy = policy;
		next.service = policy->find_service(asked.service);
		next.account = account;
		next.deadline = context.now() + milliseconds(next.service->deadline_ms());
		next.asked = std::move(asked);
		++this->totals->plain_calls;
		this->accounts->record_first_attempt();
		context.record("request_accepted", next.asked.request, next.asked.method + " " + next.asked.target);
		this->attempt(std::move(next), members, context);
	}

	void plain_calls::attempt(plain_call next, membership const& members, event_context& context)
	{
		auto const* const server =
			this->servers->choose(pool_id(next.service->plain_pool()), next.excluded, members, context.now());
		if (server == nullptr)
		{
			this->fail(next, refusal_kind::no_server, "no server of the service takes this call", context);
			return;
		}
		next.server = server->id;
		next.attempted_at = context.now();
		this->servers->note_start(server->id);
		auto const call = this->calls->next();
		context.record("call_started", next.asked.request, server->id.str());
		context.emit(start_plain{call, server->id, server->address, next.asked.method, next.asked.target,
			next.asked.content_type, next.asked.body, false, next.deadline - context.now()});
		this->running_calls.emplace(call, std::move(next));
	}

	bool plain_calls::handle(plain_answered const& answered, membership const& members, event_context& context)
	{
		auto const found = this->running_calls.find(answered.call);
		if (found == this->running_calls.end())
		{
			return false;
		}
		auto done = std::move(found->second);
		this->running_calls.erase(found);
		auto const is_error = is_server_error(answered.status);
		this->servers->note_end(done.server, is_error, context.now());
		if (is_error && context.now() < done.deadline && this->accounts->try_take_retry())
		{
			++this->totals->plain_retries;
			done.excluded.push_back(done.server);
			this->attempt(std::move(done), members, context);
			return true;
		}
		context.record("answer_whole", done.asked.request);
		context.emit(answer_plain{done.asked.request, answered.status, answered.content_type, answered.body});
		this->accounts->finish(done.account);
		return true;
	}

	bool plain_calls::handle(call_failed const& failed, membership& members, event_context& context)
	{
		auto const found = this->running_calls.find(failed.call);
		if (found == this->running_calls.end())
		{
			return false;
		}
		auto retried = std::move(found->second);
		this->running_calls.erase(found);
		this->servers->note_end(retried.server, true, context.now());
		context.record("call_failed", retried.asked.request, retried.server.str());
		if (failed.kind == call_failure::leaving)
		{
			members.mark_leaving(retried.server, context);
		}
		retried.excluded.push_back(retried.server);
		// A call that provably did not start put no load on a server, so its retry does not count against the budget.
		auto const is_free = failed.kind == call_failure::leaving || failed.kind == call_failure::not_connected;
		if (context.now() >= retried.deadline || !(is_free || this->accounts->try_take_retry()))
		{
			this->fail(retried, refusal_kind::backend_failed, "the service's servers failed this call", context);
			return true;
		}
		++this->totals->plain_retries;
		this->attempt(std::move(retried), members, context);
		return true;
	}

	void plain_calls::handle(caller_gone const& gone, event_context& context)
	{
		auto const found = std::ranges::find_if(
			this->running_calls, [&](auto const& each) { return each.second.asked.request == gone.request; });
		if (found == this->running_calls.end())
		{
			return;
		}
		context.record("caller_gone", gone.request);
		context.emit(abort_call{found->first});
		this->servers->note_end(found->second.server, false, context.now());
		this->accounts->finish(found->second.account);
		this->running_calls.erase(found);
	}

	void plain_calls::handle_tick(membership const& members, event_context& context)
	{
		this->retry_unanswered(members, context);
		std::vector<call_id> late;
		for (auto const& [call, running] : this->running_calls)
		{
			if (context.now() >= running.deadline)
			{
				late.push_back(call);
			}
		}
		for (auto const call : late)
		{
			context.emit(abort_call{call});
			auto const& expired = this->running_calls.at(call);
			this->servers->note_end(expired.server, true, context.now());
			this->fail(expired, refusal_kind::deadline, "the service did not answer by the deadline", context);
			this->running_calls.erase(call);
		}
	}

	void plain_calls::retry_unanswered(membership const& members, event_context& context)
	{
		std::vector<call_id> unanswered;
		for (auto const& [call, running] : this->running_calls)
		{
			auto excluded = running.excluded;
			excluded.push_back(running.server);
			auto const has_other = this->servers->choose(pool_id(running.service->plain_pool()), excluded, members,
									   context.now()) != nullptr;
			if (context.now() - running.attempted_at >= attempt_timeout && has_other &&
				context.now() < running.deadline)
			{
				unanswered.push_back(call);
			}
		}
		for (auto const call : unanswered)
		{
			if (!this->accounts->try_take_retry())
			{
				return;
			}
			context.emit(abort_call{call});
			auto retried = std::move(this->running_calls.at(call));
			this->running_calls.erase(call);
			this->servers->note_end(retried.server, true, context.now());
			context.record("call_silent", retried.asked.request, retried.server.str());
			retried.excluded.push_back(retried.server);
			++this->totals->plain_retries;
			this->attempt(std::move(retried), members, context);
		}
	}

	void plain_calls::fail(plain_call const& failed, refusal_kind kind, std::string message, event_context& context)
	{
		++this->totals->refusals[kind];
		context.record("request_refused", failed.asked.request, std::string(to_string(kind)));
		context.emit(answer_failure{failed.asked.request, kind, std::move(message),
			"come back after the time in Retry-After", default_retry_after, false});
		this->accounts->finish(failed.account);
	}
}
