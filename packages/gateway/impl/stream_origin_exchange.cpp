#include <godwittrestle/gateway/stream_origin_exchange.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <ranges>
#include <set>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/gateway/fingerprints.hpp>

#include "message_time.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// Upper bounds for messages of other daemons; more comes from a malformed message.
		constexpr duration max_accepted_age = std::chrono::hours(1);
		constexpr int max_accepted_streams = 4096;
		constexpr int max_accepted_versions = 64;
		constexpr std::size_t max_accepted_name = 256;
		// Streams in one message.
		constexpr int max_told = 256;
		// A change of the registry reaches all daemons within this time, so a version may still begin streams at
		// another daemon after this one has seen its last server leave.
		constexpr duration registry_delay = seconds(2);

		wire::StreamOrigin to_wire(fingerprint attempt, routing::known_stream const& stream, time_point now)
		{
			wire::StreamOrigin message;
			message.set_attempt(attempt.count());
			message.set_service(stream.origin.service.str());
			message.set_version(stream.origin.version.str());
			message.set_age(age_of(stream.begun_at, now));
			message.set_learnt_from(stream.learnt_from.str());
			if (stream.process)
			{
				message.set_server(stream.process->server.str());
				message.set_started(stream.process->started.count());
			}
			message.set_revision(stream.revision);
			return message;
		}
	}

	std::string history_text(shared_state const& shared, service_id const& service, time_point now)
	{
		auto const since = shared.versions.complete_since(service);
		return since ? fmt::format("{:.1f}", to_milliseconds(now - *since)) : "none";
	}

	duration longest_stream_life(shared_state const& shared) noexcept
	{
		return shared.longest_stream + registry_delay;
	}

	stream_origin_exchange::stream_origin_exchange(shared_state& state, peer_sender sender, event_log event_sink)
		: shared(&state)
		, outgoing(std::move(sender))
		, log(std::move(event_sink))
	{
	}

	bool stream_origin_exchange::is_known_service(service_id const& service) const
	{
		return this->shared->routes && this->shared->routes->find_service(service) != nullptr;
	}

	void stream_origin_exchange::tell_due(time_point now)
	{
		auto services = this->shared->versions.services_with_several(now - longest_stream_life(*this->shared), now);
		services.merge(this->shared->servers.services_with_unlisted_process());
		if (this->shared->routes)
		{
			services.merge(this->shared->routes->services_of_split_streams());
		}
		auto const& view = this->shared->view;
		if (!view.is_current(now) || view.has_failed_since(time_point()) || this->shared->shutdown_deadline)
		{
			// Another version may have come into service unseen, and take-ups can't ask the registry. Daemons that
			// began a moment ago don't know that there was only one, and can't ask this one once it has stopped.
			std::ranges::transform(this->shared->servers.all() | std::views::values,
				std::inserter(services, services.end()),
				[](routing::server_pointer const& each) { return each->entry.service; });
		}
		auto const untold = this->shared->origins.take_untold(this->shared->live_daemons, services);
		std::map<std::string, wire::PeerMessage> messages;
		for (auto const& each : untold)
		{
			for (auto const& recipient : each.recipients)
			{
				auto& message = messages.try_emplace(recipient.address, this->outgoing.make_message()).first->second;
				auto& told = *message.mutable_stream_origins();
				auto* const added = each.stream.is_version_known ? told.add_streams() : told.add_unversioned_streams();
				*added = to_wire(each.attempt, each.stream, now);
				if (told.streams_size() + told.unversioned_streams_size() >= max_told)
				{
					this->outgoing.send(recipient.address, std::exchange(message, this->outgoing.make_message()));
				}
			}
		}
		for (auto& [address, message] : messages)
		{
			if (message.has_stream_origins())
			{
				this->outgoing.send(address, std::move(message));
			}
		}
		if (!untold.empty())
		{
			auto const& newest = untold.back();
			this->log(make_event("stream_origins_told",
				{{"streams", std::to_string(untold.size())}, {"daemons", std::to_string(messages.size())},
					{"attempt", to_text(newest.attempt)}, {"version", newest.stream.origin.version.str()}}));
		}
	}

	void stream_origin_exchange::expire(time_point now)
	{
		// Twice the longest life: a caller may take a stream up that it has itself taken up before.
		constexpr int kept_lives = 2;
		auto const before = now - kept_lives * longest_stream_life(*this->shared);
		this->shared->origins.expire(before);
		this->shared->versions.expire(before);
		this->shared->holders.expire(before);
	}

	std::optional<std::uint64_t> stream_origin_exchange::ask(
		fingerprint attempt, service_id const& service, time_point now, answer_callback callback)
	{
		auto const keepers = this->shared->origins.keepers(attempt, this->shared->live_daemons);
		if (keepers.empty())
		{
			return std::nullopt;
		}
		auto const number = ++this->last_number;
		this->waiting.emplace(number, pending_query{service, keepers.size(), {}, std::move(callback)});
		auto message = this->outgoing.make_message();
		auto& asked = *message.mutable_stream_origin_query();
		asked.set_number(number);
		asked.set_address(this->outgoing.address());
		asked.set_attempt(attempt.count());
		asked.set_service(service.str());
		std::ranges::for_each(
			keepers, [&](routing::fleet_member const& each) { this->outgoing.send(each.address, message); });
		this->log(make_event("stream_origin_asked",
			{{"attempt", to_text(attempt)}, {"service", service.str()}, {"daemons", std::to_string(keepers.size())},
				{"history_ms", history_text(*this->shared, service, now)}}));
		return number;
	}

	void stream_origin_exchange::cancel(std::uint64_t number)
	{
		this->waiting.erase(number);
	}

	bool stream_origin_exchange::receive(wire::PeerMessage const& message, time_point now)
	{
		if (message.has_stream_origins())
		{
			auto const& told = message.stream_origins();
			if (told.streams_size() + told.unversioned_streams_size() <= max_accepted_streams)
			{
				std::ranges::for_each(
					told.streams(), [&](wire::StreamOrigin const& each) { this->apply(each, true, now); });
				std::ranges::for_each(
					told.unversioned_streams(), [&](wire::StreamOrigin const& each) { this->apply(each, false, now); });
			}
			return true;
		}
		if (message.has_stream_origin_query())
		{
			this->handle_query(message.stream_origin_query(), now);
			return true;
		}
		if (message.has_stream_origin_reply())
		{
			this->handle_reply(
				{instance_id(message.from()), incarnation(message.incarnation())}, message.stream_origin_reply(), now);
			return true;
		}
		return false;
	}

	void stream_origin_exchange::apply(wire::StreamOrigin const& received, bool is_version_known, time_point now)
	{
		service_id service(received.service());
		// A daemon without a configuration keeps what it is told: nobody tells it twice.
		auto const may_be_served = !this->shared->routes || this->is_known_service(service);
		auto const is_valid = received.version().size() <= max_accepted_name &&
							  received.server().size() <= max_accepted_name &&
							  received.learnt_from() != this->outgoing.own_id().str() && may_be_served;
		if (!is_valid)
		{
			return;
		}
		routing::known_stream stream{{std::move(service), software_version(received.version())},
			now - bounded_time(received.age(), max_accepted_age), instance_id(received.learnt_from())};
		if (received.started() > 0)
		{
			stream.process = {server_id(received.server()), incarnation(received.started())};
		}
		stream.is_version_known = is_version_known;
		stream.revision = received.revision();
		this->shared->origins.note(fingerprint(received.attempt()), stream);
		this->learn_versions();
	}

	void stream_origin_exchange::learn_versions()
	{
		for (auto const& process : this->shared->origins.unversioned_processes())
		{
			auto const version = this->shared->servers.version_of(process);
			if (version)
			{
				auto const count = this->shared->origins.set_version(process, *version);
				this->log(make_event("stream_versions_learnt",
					{{"server", process.server.str()}, {"started", std::to_string(process.started.count())},
						{"version", version->str()}, {"streams", std::to_string(count)}}));
			}
		}
	}

	void stream_origin_exchange::handle_query(wire::StreamOriginQuery const& query, time_point now)
	{
		if (query.address().empty())
		{
			return;
		}
		auto message = this->outgoing.make_message();
		auto& reply = *message.mutable_stream_origin_reply();
		reply.set_number(query.number());
		fingerprint const attempt(query.attempt());
		if (auto const* const known = this->shared->origins.find(attempt))
		{
			auto& stream = known->is_version_known ? *reply.mutable_stream() : *reply.mutable_unversioned_stream();
			stream = to_wire(attempt, *known, now);
		}
		if (auto const since = this->shared->versions.complete_since(service_id(query.service())))
		{
			reply.set_history(age_of(*since, now));
			auto const oldest = now - longest_stream_life(*this->shared);
			for (auto const& [version, served_at] :
				this->shared->versions.served_since(service_id(query.service()), oldest, now))
			{
				auto& served = *reply.add_versions();
				served.set_version(version.str());
				served.set_age(age_of(served_at, now));
			}
		}
		this->outgoing.send(query.address(), std::move(message));
	}

	void stream_origin_exchange::handle_reply(
		routing::daemon_start const& from, wire::StreamOriginReply const& reply, time_point now)
	{
		auto const found = this->waiting.find(reply.number());
		if (found == this->waiting.end())
		{
			return;
		}
		auto& asked = found->second;
		if (!asked.answered.insert(from).second)
		{
			return;
		}
		if (reply.has_stream())
		{
			this->apply(reply.stream(), true, now);
		}
		if (reply.has_unversioned_stream())
		{
			this->apply(reply.unversioned_stream(), false, now);
		}
		if (reply.history() > 0 && reply.versions_size() <= max_accepted_versions)
		{
			for (auto const& each : reply.versions())
			{
				if (each.version().size() <= max_accepted_name)
				{
					this->shared->versions.note_served(asked.service, software_version(each.version()),
						now - bounded_time(each.age(), max_accepted_age));
				}
			}
			this->shared->versions.note_complete_since(
				asked.service, now - bounded_time(reply.history(), max_accepted_age));
		}
		auto const is_last = reply.has_stream() || asked.answered.size() >= asked.asked;
		auto const callback = asked.callback;
		if (is_last)
		{
			this->waiting.erase(found);
		}
		callback(from, is_last);
	}
}
