#include <godwittrestle/decide/cancellations.hpp>

#include <godwittrestle/decide/membership.hpp>
#include <godwittrestle/decide/request_id.hpp>
#include <godwittrestle/decide/turn.hpp>

namespace godwittrestle::decide
{
	namespace
	{
		constexpr duration cancel_retry_interval = milliseconds(300);
		// After this time the engine's own hard deadline has dropped the request.
		constexpr duration max_cancel_age = std::chrono::minutes(2);
	}

	cancellations::cancellations(mechanism_set const& enabled, counters& sums)
		: mechanisms(&enabled)
		, totals(&sums)
	{
	}

	void cancellations::start(server_id const& server, std::string const& attempt, membership const& members, turn& now)
	{
		if (server.empty())
		{
			return;
		}
		auto const [entry, is_new] =
			this->pending.try_emplace(std::pair(server, attempt), pending_cancel{now.now(), now.now()});
		if (is_new)
		{
			this->send(server, attempt, members, now);
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

	void cancellations::handle_tick(membership const& members, turn& now)
	{
		std::erase_if(this->pending,
			[&](auto const& each)
			{
				return members.find_server(each.first.first) == nullptr ||
					   now.now() - each.second.started > max_cancel_age;
			});
		for (auto& [key, cancel] : this->pending)
		{
			if (now.now() - cancel.sent >= cancel_retry_interval)
			{
				cancel.sent = now.now();
				this->send(key.first, key.second, members, now);
			}
		}
	}

	void cancellations::send(server_id const& server, std::string const& attempt, membership const& members, turn& now)
	{
		auto const* const target = members.find_server(server);
		if (target == nullptr)
		{
			return;
		}
		++this->totals->cancels_sent;
		now.emit(cancel_attempt{server, target->address, attempt});
		now.record("cancel_sent", request_of(attempt), server.str());
	}
}
