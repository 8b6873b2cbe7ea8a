#include <godwittrestle/gateway/fleet_exchange.hpp>

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/base/algorithm.hpp>

#include <godwittrestle/decide/rendezvous.hpp>
#include <godwittrestle/gateway/permit_exchange.hpp>

#include "crash_messages.hpp"
#include "message_time.hpp"
#include "observation_messages.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// Notices are sent at least this often, even when nothing has changed.
		constexpr duration max_notice_interval = milliseconds(800);
		// Upper bound for the remaining time of a role change that another daemon announces: a longer time comes from
		// a malformed message.
		constexpr duration max_accepted_role_change = seconds(30);
		// Limits in one notice. The bound keeps a notice small.
		constexpr std::size_t max_limits = 8;
		constexpr duration query_interval = milliseconds(250);
		constexpr duration observations_interval = seconds(1);
		// A higher fencing number is ignored as malformed: accepting it would leave too few numbers for further orders.
		constexpr std::uint64_t max_accepted_fence = std::uint64_t{1} << 60U;

		wire::ListedServer to_wire(routing::registered_server const& server)
		{
			wire::ListedServer listed;
			listed.set_id(server.id.str());
			listed.set_service(server.service.str());
			listed.set_data_centre(server.data_centre.str());
			listed.set_address(server.address);
			listed.set_role(static_cast<std::uint32_t>(server.role));
			listed.set_slots(server.slots);
			listed.set_started(server.started.count());
			listed.set_leaving(server.leaving);
			listed.set_version(server.version.str());
			return listed;
		}

		routing::registered_server from_wire(wire::ListedServer const& listed)
		{
			routing::registered_server server;
			server.id = server_id(listed.id());
			server.service = service_id(listed.service());
			server.data_centre = data_centre_id(listed.data_centre());
			server.address = listed.address();
			server.role = static_cast<routing::server_role>(listed.role());
			server.slots = listed.slots();
			server.started = incarnation(listed.started());
			server.leaving = listed.leaving();
			server.version = software_version(listed.version());
			return server;
		}

		// Returns whether a role is known. Another daemon may send a role that only its newer version knows.
		bool is_known_role(std::uint32_t role)
		{
			return role <= static_cast<std::uint32_t>(routing::server_role::decode);
		}
	}

	fleet_exchange::fleet_exchange(instance_id own, incarnation started, std::string address, shared_state& state,
		exchange_hooks callbacks, event_log event_sink)
		: outgoing(own, started, address, callbacks.send)
		, shared(&state)
		, hooks(std::move(callbacks))
		, log(std::move(event_sink))
		, members(std::move(own), std::move(address))
	{
		this->shared->own_id = this->outgoing.own_id();
		this->shared->permits = routing::permit_issuer(this->outgoing.own_id(), decide::rank);
	}

	void fleet_exchange::set_seeds(std::vector<std::string> addresses)
	{
		this->members.set_seeds(std::move(addresses));
	}

	duration fleet_exchange::send_due(registry_snapshot const& registry_state, time_point now)
	{
		this->shared->daemon_count = this->members.size(now);
		auto const live_now = this->members.live(now);
		this->shared->permits.set_daemons(live_now, now);
		this->shared->account_issuer.set_daemons(live_now, now);
		this->shared->live_daemons = live_now;
		this->shared->fleet_whole_since = this->members.whole_since(now);
		this->shared->has_heard_others = this->shared->has_heard_others || !live_now.empty();
		this->shared->is_coordinator = !this->is_leaving && !registry_state.is_lost && !this->shared->is_cut_off &&
									   std::ranges::none_of(live_now, [this](routing::fleet_member const& each)
										   { return each.id < this->outgoing.own_id(); });
		auto const notice = this->make_notice(registry_state, now);
		std::string shares;
		std::ranges::for_each(notice.shares(), [&](auto const& each) { shares += each.SerializeAsString(); });
		std::ranges::for_each(notice.role_changes(), [&](auto const& each) { shares += each.server(); });
		std::ranges::for_each(
			notice.limits(), [&](auto const& each) { shares += fmt::format("{}={}", each.server(), each.rate()); });
		shares += fmt::format("crashes={} cut_off={}", this->shared->crashes.revision(), this->shared->is_cut_off);
		auto const is_due =
			shares != this->last_sent_shares || live_now.empty() || now - this->last_notice_at >= max_notice_interval;
		if (is_due)
		{
			this->last_sent_shares = std::move(shares);
			this->last_notice_at = now;
			auto message = this->outgoing.make_message();
			*message.mutable_gateway_notice() = notice;
			if (now - this->observations_sent_at >= observations_interval)
			{
				this->observations_sent_at = now;
				this->add_observations(*message.mutable_gateway_notice(), now);
			}
			for (auto const& address : this->members.next_recipients(this->hooks.draw, now))
			{
				this->outgoing.send(address, message);
			}
		}
		auto const needs_registry_data =
			registry_state.is_lost || !registry_state.has_servers || registry_state.version == platform_version{};
		if (needs_registry_data && !live_now.empty())
		{
			auto const position = static_cast<std::size_t>(this->hooks.draw() * static_cast<double>(live_now.size()));
			this->query(live_now[position].address, registry_state, now);
		}
		return this->members.notice_interval(now);
	}

	void fleet_exchange::receive(
		wire::PeerMessage const& message, registry_snapshot const& registry_state, time_point now)
	{
		if (message.has_gateway_notice())
		{
			this->handle_notice(message, message.gateway_notice(), registry_state, now);
		}
		else if (message.has_gateway_state_query())
		{
			this->handle_state_query(message, message.gateway_state_query(), registry_state);
		}
		else if (message.has_gateway_state())
		{
			this->apply_update(message.gateway_state(), registry_state);
		}
	}

	void fleet_exchange::announce_leaving(registry_snapshot const& registry_state, time_point now)
	{
		this->is_leaving = true;
		this->shared->permits.note_leaving(this->outgoing.own_id());
		this->shared->account_issuer.note_leaving(this->outgoing.own_id());
		this->last_sent_shares.clear();
		this->last_notice_at = {};
		std::ignore = this->send_due(registry_state, now);
	}

	void fleet_exchange::handle_notice(wire::PeerMessage const& message, wire::GatewayNotice const& notice,
		registry_snapshot const& registry_state, time_point now)
	{
		instance_id const sender(message.from());
		auto const size_before = this->members.size(now);
		if (!this->members.note_message({sender, incarnation(message.incarnation()), notice.address(), now}))
		{
			return;
		}
		for (auto const& received : notice.members())
		{
			auto const heard_at = now - duration(static_cast<duration::rep>(received.age()));
			this->members.note_member_report(
				{instance_id(received.instance()), incarnation(received.incarnation()), received.address(), heard_at},
				now);
		}
		if (notice.leaving())
		{
			this->members.remove(sender);
			this->shared->permits.note_leaving(sender);
			this->shared->account_issuer.note_leaving(sender);
		}
		// A daemon that leaves takes no further requests.
		auto const is_unusable = notice.is_cut_off() || notice.leaving();
		this->shared->relays.note(
			{sender, incarnation(message.incarnation()), notice.caller_address(), is_unusable, now});
		this->apply_limits(notice, now);
		apply_crash_evidence(notice, this->shared->crashes, now);
		log_block_changes(this->shared->crashes, this->log, now);
		this->apply_shares(sender, notice, now);
		this->apply_observations(notice, now);
		if (notice.highest_fence() <= max_accepted_fence)
		{
			this->shared->highest_fence = std::max(this->shared->highest_fence, notice.highest_fence());
		}
		auto const size = this->members.size(now);
		if (size != size_before)
		{
			this->log(make_event("peer_count_changed", {{"peer", sender.str()}, {"daemons", std::to_string(size)}}));
		}
		if (notice.config_version() > registry_state.version.count())
		{
			this->query(notice.address(), registry_state, now);
		}
	}

	void fleet_exchange::apply_limits(wire::GatewayNotice const& notice, time_point now)
	{
		for (auto const& received : notice.limits())
		{
			apply_limit(received, this->shared->servers, this->log, now);
		}
	}

	bool fleet_exchange::has_arrivals(time_point now) const
	{
		auto const last_arrival = this->members.last_arrival();
		return last_arrival && now - *last_arrival <= news_time;
	}

	void fleet_exchange::add_limits(wire::GatewayNotice& notice, time_point now) const
	{
		auto const has_arrivals = this->has_arrivals(now);
		std::vector<routing::server_pointer> told;
		std::ranges::copy_if(this->shared->servers.all() | std::views::values, std::back_inserter(told),
			[&](routing::server_pointer const& each)
			{
				auto const unchanged = each->limit.unchanged_for(now);
				return unchanged && (*unchanged <= news_time || (has_arrivals && each->limit.rate()));
			});
		for (auto const& server : random_sample(std::move(told), max_limits, this->hooks.draw))
		{
			*notice.add_limits() = to_wire(*server, now);
		}
	}

	void fleet_exchange::apply_shares(instance_id const& sender, wire::GatewayNotice const& notice, time_point now)
	{
		for (auto const& received : notice.role_changes())
		{
			auto const server = this->shared->servers.find(server_id(received.server()));
			if (server && is_known_role(received.role()) && server->entry.started == incarnation(received.started()))
			{
				auto const left = bounded_time(received.left(), max_accepted_role_change);
				server->note_pending_role_change({static_cast<routing::server_role>(received.role()), now + left});
			}
		}
		std::set<std::string_view> named;
		for (auto const& share : notice.shares())
		{
			named.insert(share.server());
			if (auto const server = this->shared->servers.find(server_id(share.server())))
			{
				server->load.set_share(
					sender, routing::server_share{share.running(), share.to_prefill(), share.committed()}, now);
			}
		}
		for (auto const& [id, server] : this->shared->servers.all())
		{
			if (!named.contains(id.str()))
			{
				server->load.drop_share(sender);
			}
		}
	}

	void fleet_exchange::add_observations(wire::GatewayNotice& notice, time_point now) const
	{
		for (auto const& [service, observed] : this->shared->observed)
		{
			*notice.add_observations() = to_wire(service, observed, now);
		}
	}

	void fleet_exchange::apply_observations(wire::GatewayNotice const& notice, time_point now)
	{
		for (auto const& received : notice.observations())
		{
			service_id const service(received.service());
			// Ignore services that the configuration does not contain, so that no message makes this daemon's state
			// grow.
			if (this->shared->routes && this->shared->routes->find_service(service) != nullptr)
			{
				gateway::apply_observations(received, this->shared->observed[service], now);
			}
		}
	}

	void fleet_exchange::handle_state_query(
		wire::PeerMessage const& message, wire::GatewayStateQuery const& query, registry_snapshot const& registry_state)
	{
		if (query.address().empty() || message.from() == this->outgoing.own_id().str())
		{
			return;
		}
		auto reply = this->outgoing.make_message();
		auto& state = *reply.mutable_gateway_state();
		state.set_config_version(registry_state.version.count());
		if (registry_state.version.count() > query.config_version())
		{
			state.set_configuration(registry_state.configuration_text);
		}
		state.set_has_servers(registry_state.has_servers && query.wants_servers());
		state.set_is_current(!registry_state.is_lost);
		state.set_registry_era(registry_state.position.era.count());
		state.set_registry_revision(registry_state.position.revision.count());
		if (state.has_servers())
		{
			for (auto const& server : this->shared->servers.all() | std::views::values)
			{
				if (!server->missing_until)
				{
					*state.add_servers() = to_wire(server->entry);
				}
			}
		}
		this->outgoing.send(query.address(), std::move(reply));
	}

	void fleet_exchange::apply_update(wire::GatewayState const& state, registry_snapshot const& registry_state)
	{
		if (!state.configuration().empty() && state.config_version() > registry_state.version.count())
		{
			this->hooks.apply_configuration(state.configuration());
		}
		registry_position const position{
			registry_era(state.registry_era()), registry_revision(state.registry_revision())};
		auto const is_older = position != registry_position{} && position < registry_state.position;
		auto const wants_servers =
			!registry_state.has_servers || (registry_state.is_lost && state.is_current() && !is_older);
		if (!state.has_servers() || !wants_servers)
		{
			return;
		}
		std::vector<routing::registered_server> servers;
		auto readable = state.servers() |
						std::views::filter([](wire::ListedServer const& each) { return is_known_role(each.role()); });
		std::ranges::transform(readable, std::back_inserter(servers), from_wire);
		this->hooks.apply_servers(std::move(servers));
	}

	wire::GatewayNotice fleet_exchange::make_notice(registry_snapshot const& registry_state, time_point now) const
	{
		wire::GatewayNotice notice;
		notice.set_address(this->outgoing.address());
		notice.set_config_version(registry_state.version.count());
		notice.set_leaving(this->is_leaving);
		notice.set_highest_fence(this->shared->highest_fence);
		notice.set_caller_address(this->shared->caller_address);
		notice.set_is_cut_off(this->shared->is_cut_off);
		for (auto const& each : this->members.members_to_share(this->hooks.draw, now))
		{
			auto& member = *notice.add_members();
			member.set_instance(each.id.str());
			member.set_incarnation(each.started.count());
			member.set_address(each.address);
			member.set_age(static_cast<std::uint64_t>((now - each.heard_at).count()));
		}
		for (auto const& [id, server] : this->shared->servers.all())
		{
			auto const own = server->load.own();
			if (own.running > 0)
			{
				auto& share = *notice.add_shares();
				share.set_server(id.str());
				share.set_running(static_cast<std::uint32_t>(own.running));
				share.set_to_prefill(static_cast<std::uint32_t>(own.to_prefill));
				share.set_committed(static_cast<std::uint32_t>(own.committed));
			}
			if (server->is_changing_role(now))
			{
				auto& change = *notice.add_role_changes();
				change.set_server(id.str());
				change.set_left(static_cast<std::uint64_t>((server->pending_role_change->until - now).count()));
				change.set_role(static_cast<std::uint32_t>(server->pending_role_change->role));
				change.set_started(server->entry.started.count());
			}
		}
		this->add_limits(notice, now);
		add_crash_evidence(notice, this->shared->crashes, this->has_arrivals(now), this->hooks.draw, now);
		return notice;
	}

	void fleet_exchange::query(std::string const& address, registry_snapshot const& registry_state, time_point now)
	{
		if (now - this->last_query_at < query_interval)
		{
			return;
		}
		this->last_query_at = now;
		auto message = this->outgoing.make_message();
		auto& asked = *message.mutable_gateway_state_query();
		asked.set_address(this->outgoing.address());
		asked.set_config_version(registry_state.version.count());
		asked.set_wants_servers(registry_state.is_lost || !registry_state.has_servers);
		this->outgoing.send(address, std::move(message));
	}
}
