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
	// Returns the route of a plain service that a call falls under: the one with the longest matching prefix.
	[[nodiscard]] policy::Route const* find_route(
		policy::Service const& service, std::string_view method, std::string_view target);

	// The part of a daemon that passes repeatable calls to plain services on, and repeats them elsewhere when a server
	// fails.
	class plain_calls
	{
	  public:
		plain_calls(limits& accounts, plain_server_choice& servers, call_id_generator& calls, counters& totals);

		// Begins a call that has been admitted for an account.
		void start(plain_requested asked, std::shared_ptr<active_policy const> const& policy, account_id const& account,
			membership const& members, turn& now);

		// Each returns false when the call belongs to no repeatable call.
		bool handle(plain_answered const& answered, membership const& members, turn& now);
		bool handle(call_failed const& failed, membership& members, turn& now);

		void handle(caller_gone const& gone, turn& now);
		// Repeats calls elsewhere whose servers are silent, and ends those past their deadline.
		void handle_tick(membership const& members, turn& now);

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

		void retry_unanswered(membership const& members, turn& now);
		void attempt(plain_call next, membership const& members, turn& now);
		void fail(plain_call const& failed, refusal_kind kind, std::string message, turn& now);

		limits* accounts;
		plain_server_choice* servers;
		call_id_generator* calls;
		counters* totals;
		std::map<call_id, plain_call> running_calls;
	};
}
