#pragma once

#include <map>
#include <memory>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/completions.hpp>
#include <godwittrestle/decide/plain_server.hpp>

namespace godwittrestle::decide
{
	// Returns the route of a plain service for a call: among the routes that take the method, the one with the longest
	// matching path prefix. Returns a null pointer if no route matches.
	[[nodiscard]] policy::Route const* find_route(
		policy::Service const& service, std::string_view method, std::string_view target);

	// Forwards repeatable calls to plain services and retries them on another server when a server fails.
	class plain_calls
	{
	  public:
		plain_calls(limits& accounts, plain_server_choice& servers, call_id_generator& calls, counters& totals);

		// Starts a call that was admitted for an account.
		void start(plain_requested asked, std::shared_ptr<active_policy const> const& policy, account_id const& account,
			membership const& members, event_context& context);

		// Each returns false if the call belongs to no repeatable call.
		bool handle(plain_answered const& answered, membership const& members, event_context& context);
		bool handle(call_failed const& failed, membership& members, event_context& context);

		void handle(caller_gone const& gone, event_context& context);
		// Retries unanswered calls on another server and fails calls whose deadline has passed.
		void handle_tick(membership const& members, event_context& context);

		[[nodiscard]] std::size_t running() const noexcept
		{
			return this->running_calls.size();
		}

	  private:
		struct plain_call
		{
			plain_requested asked;
			std::shared_ptr<active_policy const> policy;
			policy::Service const* service = nullptr;
			account_id account;
			time_point deadline;
			time_point attempted_at;
			server_id server;
			std::vector<server_id> excluded;
		};

		void retry_unanswered(membership const& members, event_context& context);
		void attempt(plain_call next, membership const& members, event_context& context);
		void fail(plain_call const& failed, refusal_kind kind, std::string message, event_context& context);

		limits* accounts;
		plain_server_choice* servers;
		call_id_generator* calls;
		counters* totals;
		std::map<call_id, plain_call> running_calls;
	};
}
