#include <godwittrestle/decide/cancellations.hpp>

#include <godwittrestle/decide/event_context.hpp>
#include <godwittrestle/decide/membership.hpp>
#include <godwittrestle/decide/request_id.hpp>

namespace godwittrestle::decide
{
	namespace
	{
		constexpr duration cancel_retry_interval = milliseconds(300);
		// Cancels are repeated for this long; by then the engine has dropped the request at its own hard deadline.
		constexpr duration max_cancel_age = std::chrono::minutes(2);
	}

	cancellations::cancellations(mechanism_set const& enabled, counters& sums)
		: mechanisms(&enabled)
		, totals(&sums)
	{
	}

	void cancellations::start(
		server_id const& server, std::string const& attempt, membership const& members, event_context& context)
	{
		if (server.empty())
		{
			return;
		}
		auto const [entry, is_new] =
			this->pending.try_emplace(std::pair(server, attempt), pending_cancel{context.now(), context.now()});
		if (is_new)
		{
			this->send(server, attempt, members, context);
		}
		if (!this->mechanisms->cancel_retry)
		{
			this->pending.erase(entry);
		}
	}

	void cancellations::handle(cancel_acknowledged const& acknowledged)
	{
		this->pending.erase(std::pair(acknowledged.server, acknowledged.attempt));
	}

	void cancellations::handle_tick(membership const& members, event_context& context)
	{
		std::erase_if(this->pending,
			[&](auto const& each)
			{
				return members.find_server(each.first.first) == nullptr ||
					   context.now() - each.second.started > max_cancel_age;
			});
		for (auto& [key, cancel] : this->pending)
		{
			if (context.now() - cancel.sent >= cancel_retry_interval)
			{
				cancel.sent = context.now();
				this->send(key.first, key.second, members, context);
			}
		}
	}

	void cancellations::send(
		server_id const& server, std::string const& attempt, membership const& members, event_context& context)
	{
		auto const* const target = members.find_server(server);
		if (target == nullptr)
		{
			return;
		}
		++this->totals->cancels_sent;
		context.emit(cancel_attempt{server, target->address, attempt});
		context.record("cancel_sent", request_of(attempt), server.str());
	}
}
