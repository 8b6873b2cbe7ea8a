#include <godwittrestle/gateway/quota_exchange.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

#include "message_time.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// Upper bounds for what messages of other daemons hold; more comes from a malformed message.
		constexpr duration max_accepted_time = seconds(60);
		constexpr double max_accepted_units = 1e12;
		constexpr duration unknown_account_retry = milliseconds(200);

		double read_units(double units)
		{
			return std::isfinite(units) ? std::clamp(units, 0.0, max_accepted_units) : 0;
		}

		routing::quota_outcome from_wire(wire::QuotaReply::Outcome outcome)
		{
			switch (outcome)
			{
				case wire::QuotaReply::GRANTED:
					return routing::quota_outcome::granted;
				case wire::QuotaReply::LIMIT_REACHED:
					return routing::quota_outcome::limit_reached;
				default:
					return routing::quota_outcome::not_issuer;
			}
		}

		wire::QuotaReply::Outcome to_wire(routing::quota_outcome outcome)
		{
			switch (outcome)
			{
				case routing::quota_outcome::granted:
					return wire::QuotaReply::GRANTED;
				case routing::quota_outcome::limit_reached:
					return wire::QuotaReply::LIMIT_REACHED;
				case routing::quota_outcome::not_issuer:
				case routing::quota_outcome::no_answer:
					return wire::QuotaReply::NOT_ISSUER;
			}
			return wire::QuotaReply::NOT_ISSUER;
		}
	}

	quota_exchange::quota_exchange(shared_state& state, peer_sender sender, event_log event_sink)
		: shared(&state)
		, outgoing(std::move(sender))
		, log(std::move(event_sink))
	{
	}

	std::uint64_t quota_exchange::request(
		routing::client_account const& account, double units, time_point now, answer_callback callback)
	{
		auto const number = ++this->last_number;
		auto const demand = this->shared->quotas.demand(account.id, units, now);
		auto const* const issuer = this->shared->account_issuer.issuer_of(account.id);
		if (issuer == nullptr)
		{
			callback(this->shared->account_issuer.request(account.id, *account.limit, demand, now));
			return number;
		}
		this->waiting.emplace(number, std::move(callback));
		this->send(*issuer, account, demand, number);
		return number;
	}

	void quota_exchange::send(routing::fleet_member const& issuer, routing::client_account const& account,
		routing::quota_demand const& demand, std::uint64_t number)
	{
		auto message = this->outgoing.make_message();
		auto& request = *message.mutable_quota_request();
		request.set_number(number);
		request.set_address(number == 0 ? "" : this->outgoing.address());
		request.set_account(account.id.str());
		request.set_config_version(this->shared->routes->version().count());
		request.set_rate(account.limit->rate);
		request.set_burst(account.limit->burst);
		request.set_needed(demand.needed);
		request.set_ahead(demand.ahead);
		request.set_returned(demand.returned);
		this->outgoing.send(issuer.address, std::move(message));
	}

	void quota_exchange::cancel(std::uint64_t number)
	{
		this->waiting.erase(number);
	}

	bool quota_exchange::receive(wire::PeerMessage const& message, time_point now)
	{
		if (message.has_quota_request())
		{
			this->handle_request(message.quota_request(), now);
			return true;
		}
		if (message.has_quota_reply())
		{
			this->handle_reply(message.quota_reply());
			return true;
		}
		return false;
	}

	void quota_exchange::handle_request(wire::QuotaRequest const& request, time_point now)
	{
		account_id const id(request.account());
		auto const& routes = this->shared->routes;
		auto const* const known = routes ? routes->accounts().find(id) : nullptr;
		// Only accounts of this daemon's configuration are answered for, so that no message makes its state grow.
		routing::quota_answer answer{routing::quota_outcome::not_issuer, 0, unknown_account_retry};
		if (known != nullptr)
		{
			auto limit = known->limit.value_or(routing::rate_limit{});
			if (!known->limit || request.config_version() > routes->version().count())
			{
				limit.rate = read_units(request.rate());
				limit.burst = read_units(request.burst());
			}
			answer = this->shared->account_issuer.request(id, limit,
				{read_units(request.needed()), read_units(request.ahead()), read_units(request.returned())}, now);
		}
		if (request.number() == 0)
		{
			return;
		}
		auto message = this->outgoing.make_message();
		auto& reply = *message.mutable_quota_reply();
		reply.set_number(request.number());
		reply.set_outcome(to_wire(answer.outcome));
		reply.set_granted(answer.granted);
		reply.set_retry_after(static_cast<std::uint64_t>(answer.retry_after.count()));
		this->outgoing.send(request.address(), std::move(message));
	}

	void quota_exchange::handle_reply(wire::QuotaReply const& reply)
	{
		auto const found = this->waiting.find(reply.number());
		if (found == this->waiting.end())
		{
			return;
		}
		auto const callback = std::move(found->second);
		this->waiting.erase(found);
		callback({from_wire(reply.outcome()), read_units(reply.granted()),
			bounded_time(reply.retry_after(), max_accepted_time)});
	}

	void quota_exchange::review(time_point now)
	{
		auto const& routes = this->shared->routes;
		if (!routes)
		{
			return;
		}
		if (routes->version() != this->reviewed)
		{
			this->reviewed = routes->version();
			std::set<account_id> accounts;
			std::ranges::transform(
				routes->accounts().all(), std::inserter(accounts, accounts.end()), &routing::client_account::id);
			this->shared->quotas.retain(accounts);
			this->shared->account_issuer.retain(accounts);
		}
		for (auto const& unused : this->shared->quotas.take_unused(now))
		{
			this->return_unused(unused, now);
		}
	}

	void quota_exchange::return_unused(routing::unused_quota const& unused, time_point now)
	{
		auto const* const account = this->shared->routes->accounts().find(unused.account);
		if (account == nullptr || !account->limit)
		{
			return;
		}
		routing::quota_demand const returned{0, 0, unused.units};
		auto const* const issuer = this->shared->account_issuer.issuer_of(unused.account);
		if (issuer == nullptr)
		{
			std::ignore = this->shared->account_issuer.request(unused.account, *account->limit, returned, now);
			return;
		}
		constexpr std::uint64_t no_reply = 0;
		this->send(*issuer, *account, returned, no_reply);
	}
}
