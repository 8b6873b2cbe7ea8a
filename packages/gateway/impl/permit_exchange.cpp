#include <godwittrestle/gateway/permit_exchange.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

#include "limit_events.hpp"
#include "message_time.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// Upper bound for times in messages of other daemons; a longer one comes from a malformed message.
		constexpr duration max_accepted_time = seconds(60);
		constexpr duration unknown_server_retry = milliseconds(200);

		routing::permit_outcome from_wire(wire::SendPermitReply::Outcome outcome)
		{
			switch (outcome)
			{
				case wire::SendPermitReply::GRANTED:
					return routing::permit_outcome::granted;
				case wire::SendPermitReply::LIMIT_REACHED:
					return routing::permit_outcome::limit_reached;
				case wire::SendPermitReply::FLEET_CHANGED:
					return routing::permit_outcome::fleet_changed;
				default:
					return routing::permit_outcome::not_issuer;
			}
		}

		wire::SendPermitReply::Outcome to_wire(routing::permit_outcome outcome)
		{
			switch (outcome)
			{
				case routing::permit_outcome::granted:
					return wire::SendPermitReply::GRANTED;
				case routing::permit_outcome::limit_reached:
					return wire::SendPermitReply::LIMIT_REACHED;
				case routing::permit_outcome::fleet_changed:
					return wire::SendPermitReply::FLEET_CHANGED;
				case routing::permit_outcome::not_issuer:
				case routing::permit_outcome::no_answer:
					return wire::SendPermitReply::NOT_ISSUER;
			}
			return wire::SendPermitReply::NOT_ISSUER;
		}
	}

	wire::StatedLimit to_wire(routing::server_record const& server, time_point now)
	{
		auto const& report = server.limit.report();
		wire::StatedLimit message;
		message.set_server(server.entry.id.str());
		message.set_started(server.entry.started.count());
		message.set_is_stated(report.rate.has_value());
		message.set_rate(report.rate.value_or(routing::request_rate{}).per_second());
		message.set_age(age_of(report.heard_at, now));
		message.set_heard_by(report.heard_by.str());
		return message;
	}

	void apply_limit(
		wire::StatedLimit const& received, routing::directory& servers, event_log const& log, time_point now)
	{
		auto const server = servers.find(server_id(received.server()));
		auto const is_readable = std::isfinite(received.rate()) && received.rate() >= 0;
		if (!server || server->entry.started != incarnation(received.started()) || !is_readable)
		{
			return;
		}
		routing::limit_report report;
		if (received.is_stated())
		{
			report.rate = routing::request_rate(received.rate());
		}
		report.heard_at = now - bounded_time(received.age(), max_accepted_time);
		report.heard_by = instance_id(received.heard_by());
		auto const rate_before = server->limit.rate();
		if (server->limit.note(report, now))
		{
			log(make_limit_changed_event(*server, rate_before));
		}
	}

	permit_exchange::permit_exchange(shared_state& state, peer_sender sender, event_log event_sink)
		: shared(&state)
		, outgoing(std::move(sender))
		, log(std::move(event_sink))
	{
	}

	std::uint64_t permit_exchange::request(
		routing::server_record const& server, time_point now, answer_callback callback)
	{
		auto const number = ++this->last_number;
		auto const* const issuer = this->shared->permits.issuer_of(server.entry.id);
		if (issuer == nullptr)
		{
			callback(this->issue(server, now));
			return number;
		}
		this->waiting.emplace(number, std::move(callback));
		auto message = this->outgoing.make_message();
		auto& request = *message.mutable_send_permit_request();
		request.set_number(number);
		request.set_address(this->outgoing.address());
		*request.mutable_limit() = gateway::to_wire(server, now);
		this->outgoing.send(issuer->address, std::move(message));
		return number;
	}

	void permit_exchange::cancel(std::uint64_t number)
	{
		this->waiting.erase(number);
	}

	bool permit_exchange::receive(wire::PeerMessage const& message, time_point now)
	{
		if (message.has_send_permit_request())
		{
			this->handle_request(message.send_permit_request(), now);
			return true;
		}
		if (message.has_send_permit_reply())
		{
			this->handle_reply(message.send_permit_reply(), now);
			return true;
		}
		return false;
	}

	void permit_exchange::handle_request(wire::SendPermitRequest const& request, time_point now)
	{
		apply_limit(request.limit(), this->shared->servers, this->log, now);
		server_id const id(request.limit().server());
		auto const server = this->shared->servers.find(id);
		auto message = this->outgoing.make_message();
		auto& reply = *message.mutable_send_permit_reply();
		reply.set_number(request.number());
		// A server that the registry has not shown to this daemon yet gets no permits from it.
		routing::permit_answer answer{routing::permit_outcome::not_issuer, unknown_server_retry};
		if (server)
		{
			answer = this->issue(*server, now);
			*reply.mutable_limit() = gateway::to_wire(*server, now);
		}
		reply.set_outcome(to_wire(answer.outcome));
		reply.set_retry_after(static_cast<std::uint64_t>(answer.retry_after.count()));
		reply.set_share(answer.share);
		this->outgoing.send(request.address(), std::move(message));
	}

	routing::permit_answer permit_exchange::issue(routing::server_record const& server, time_point now)
	{
		auto const limit = server.limit.rate();
		if (!limit)
		{
			// This daemon has heard later than the sender that the limit has ended.
			return {routing::permit_outcome::granted, {}};
		}
		return this->shared->permits.request(server.entry.id, *limit, now);
	}

	void permit_exchange::handle_reply(wire::SendPermitReply const& reply, time_point now)
	{
		apply_limit(reply.limit(), this->shared->servers, this->log, now);
		auto const found = this->waiting.find(reply.number());
		if (found == this->waiting.end())
		{
			return;
		}
		auto const callback = std::move(found->second);
		this->waiting.erase(found);
		callback({from_wire(reply.outcome()), bounded_time(reply.retry_after(), max_accepted_time), reply.share()});
	}
}
