#include <godwittrestle/decide/membership.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

#include <godwittrestle/decide/event_context.hpp>
#include <godwittrestle/decide/rendezvous.hpp>
#include <godwittrestle/decide/wire_time.hpp>

namespace godwittrestle::decide
{
	membership::membership(core_settings const& core, mechanism_set const& enabled)
		: settings(&core)
		, mechanisms(&enabled)
	{
		auto& own_record = this->peers[core.instance];
		own_record.data_centre = core.data_centre;
		own_record.started = core.started;
		own_record.listed = true;
		own_record.was_listed = true;
		this->rebuild_ring({});
	}

	void membership::apply(instance_list const& list, event_context& context)
	{
		if (list.version <= this->listed.version)
		{
			return;
		}
		this->listed = list;
		this->server_index.clear();
		for (std::size_t index = 0; index < list.servers.size(); ++index)
		{
			auto const& server = list.servers[index];
			this->server_index.emplace(server.id, index);
			if (server.leaving)
			{
				// Heartbeats report the leaving server to daemons that get no answer from the platform.
				auto& known = this->leaving_servers[server.id];
				known = std::max(known, server.started);
			}
		}
		std::erase_if(this->leaving_servers,
			[&](auto const& announced)
			{
				auto const* const server = this->find_server(announced.first);
				return server == nullptr || server->started > announced.second;
			});
		std::ranges::for_each(this->peers, [](auto& peer) { peer.second.listed = false; });
		for (auto const& daemon : list.daemons)
		{
			auto& peer = this->peers[daemon.id];
			peer.data_centre = daemon.data_centre;
			peer.address = daemon.peer_address;
			peer.listed = true;
			peer.was_listed = true;
			peer.leaving = peer.leaving || daemon.leaving;
		}
		this->erase_departed(context.now());
		this->rebuild_ring(context.now());
		++this->changes;
		context.record("list_applied", {}, std::to_string(list.version.count()));
	}

	bool membership::record_contact(instance_id const& id, incarnation started, event_context& context)
	{
		auto& peer = this->peers[id];
		if (started < peer.started)
		{
			return false;
		}
		if (started > peer.started)
		{
			peer.started = started;
			peer.leaving = false;
			peer.clock = 0;
			++this->changes;
		}
		peer.connection_refused = false;
		peer.silent_since.reset();
		peer.last_heard = context.now();
		this->update_liveness(id, peer, context);
		return true;
	}

	bool membership::handle(wire::PeerMessage const& message, heartbeat_payload const& payload, event_context& context)
	{
		instance_id const id(message.from());
		if (!this->record_contact(id, incarnation(message.incarnation()), context))
		{
			return false;
		}
		auto const& heartbeat = message.heartbeat();
		auto& peer = this->peers[id];
		if (!heartbeat.address().empty() && !peer.listed)
		{
			auto const is_new = peer.address.empty();
			peer.address = heartbeat.address();
			peer.data_centre = data_centre_id(heartbeat.data_centre());
			if (is_new)
			{
				this->rebuild_ring(context.now());
			}
		}
		if (peer.leaving != heartbeat.leaving())
		{
			peer.leaving = heartbeat.leaving();
			++this->changes;
		}
		peer.clock = heartbeat.clock();
		peer.clock_read_at = context.now();
		for (auto const& server : heartbeat.leaving_servers())
		{
			auto const [known, is_new] =
				this->leaving_servers.try_emplace(server_id(server.server()), server.incarnation());
			if (is_new || known->second < incarnation(server.incarnation()))
			{
				known->second = incarnation(server.incarnation());
				++this->changes;
			}
		}
		this->merge_silent_daemons(heartbeat, context.now());
		if (heartbeat.echo() != 0)
		{
			auto const echo = time_point_from_wire(heartbeat.echo());
			this->newest_echo = std::max(this->newest_echo.value_or(echo), echo);
		}
		if (heartbeat.wants_reply())
		{
			auto reply = this->make_heartbeat(payload, false, context.now());
			reply.mutable_heartbeat()->set_echo(heartbeat.clock());
			context.send(id, peer.address, std::move(reply));
		}
		return true;
	}

	void membership::handle(peer_probed const& probe, event_context& context)
	{
		auto const found = this->peers.find(probe.peer);
		if (found == this->peers.end() || probe.outcome != probe_outcome::refused ||
			found->second.started != probe.believed)
		{
			return;
		}
		found->second.connection_refused = true;
		this->update_liveness(found->first, found->second, context);
		++this->changes;
		context.record("daemon_proved_gone", {}, probe.peer.str());
	}

	void membership::handle_tick(heartbeat_payload const& payload, event_context& context)
	{
		for (auto& [id, peer] : this->peers)
		{
			if (id == this->settings->instance)
			{
				continue;
			}
			this->update_liveness(id, peer, context);
			if (peer.expected && !peer.connection_refused && peer.last_heard &&
				context.now() - *peer.last_heard > this->probe_delay())
			{
				// A refused connection proves that the process has ended, long before the peer timeout.
				this->probe(id, context);
			}
		}
		if (!this->last_sent || context.now() - *this->last_sent >= this->settings->heartbeat_interval)
		{
			this->send_heartbeats(payload, false, context);
		}
	}

	void membership::send_heartbeats(heartbeat_payload const& payload, bool wants_reply, event_context& context)
	{
		this->last_sent = context.now();
		for (auto const& id : this->targets())
		{
			auto const& peer = this->peers.at(id);
			// A daemon that has not been heard from yet is asked for a reply, so that both learn of each other.
			auto const asks = wants_reply || !peer.last_heard;
			context.send(id, peer.address, this->make_heartbeat(payload, asks, context.now()));
		}
	}

	void membership::start_leaving() noexcept
	{
		this->leaving = true;
		++this->changes;
	}

	duration membership::probe_delay() const noexcept
	{
		return this->settings->heartbeat_interval + this->settings->heartbeat_interval / 2;
	}

	bool membership::is_reachable(peer_record const& peer, time_point now) const
	{
		if (peer.connection_refused)
		{
			return false;
		}
		auto const is_fresh = peer.last_heard && now - *peer.last_heard < this->settings->peer_timeout;
		if (is_fresh || peer.expected)
		{
			return is_fresh;
		}
		auto const is_silent = peer.silent_since && now - *peer.silent_since < silent_report_lifetime;
		return peer.listed && !is_silent;
	}

	bool membership::is_reachable(instance_id const& id, time_point now) const
	{
		if (id == this->settings->instance)
		{
			return true;
		}
		auto const found = this->peers.find(id);
		return found != this->peers.end() && this->is_reachable(found->second, now);
	}

	bool membership::is_eligible(instance_id const& id, time_point now) const
	{
		auto const found = this->peers.find(id);
		return found != this->peers.end() && this->is_eligible({&found->first, &found->second}, now);
	}

	std::vector<instance_id> membership::eligible(time_point now) const
	{
		std::vector<instance_id> ids;
		std::ranges::copy_if(this->peers | std::views::keys, std::back_inserter(ids),
			[&](instance_id const& id) { return this->is_eligible(id, now); });
		return ids;
	}

	std::optional<instance_id> membership::highest_ranked(
		std::string_view key, std::set<data_centre_id> const& preferred, time_point now) const
	{
		auto const seed = hash_bytes(key);
		peer_entry const* best = nullptr;
		std::uint64_t best_rank = 0;
		auto const consider = [&](std::vector<peer_entry> const& entries)
		{
			for (auto const& entry : entries)
			{
				auto const candidate_rank = hash_bytes(entry.first->str(), seed);
				if ((best == nullptr || candidate_rank > best_rank) && this->is_eligible(entry, now))
				{
					best = &entry;
					best_rank = candidate_rank;
				}
			}
		};
		for (auto const& data_centre : preferred)
		{
			if (auto const found = this->by_data_centre.find(data_centre); found != this->by_data_centre.end())
			{
				consider(found->second);
			}
		}
		if (best == nullptr)
		{
			std::ranges::for_each(this->by_data_centre | std::views::values, consider);
		}
		return best == nullptr ? std::nullopt : std::optional(*best->first);
	}

	bool membership::is_eligible(peer_entry const& entry, time_point now) const
	{
		if (*entry.first == this->settings->instance)
		{
			return !this->leaving;
		}
		return !entry.second->leaving && this->is_reachable(*entry.second, now);
	}

	bool membership::is_proved_gone(instance_id const& id, incarnation started, time_point now) const
	{
		auto const found = this->peers.find(id);
		if (found == this->peers.end())
		{
			return false;
		}
		auto const& peer = found->second;
		auto const is_replaced = peer.started > started;
		// The platform no longer lists the daemon, and the daemon is silent as well. The list alone proves nothing,
		// because it may drop a daemon before its process ends.
		auto const is_unlisted = peer.was_listed && !peer.listed && !this->is_reachable(peer, now);
		return is_replaced || peer.connection_refused || is_unlisted;
	}

	void membership::probe(instance_id const& id, event_context& context)
	{
		auto const found = this->peers.find(id);
		if (found == this->peers.end() || found->second.address.empty())
		{
			return;
		}
		auto& peer = found->second;
		if (!peer.last_probe || context.now() - *peer.last_probe >= this->settings->heartbeat_interval)
		{
			peer.last_probe = context.now();
			context.emit(probe_peer{id, peer.address, peer.started});
		}
	}

	void membership::mark_leaving(server_id const& server, event_context& context)
	{
		auto const* const known = this->find_server(server);
		auto const started = known == nullptr ? incarnation{} : known->started;
		auto const [entry, is_new] = this->leaving_servers.try_emplace(server, started);
		if (is_new || entry->second < started)
		{
			entry->second = started;
			++this->changes;
			context.record("server_leaving", {}, server.str());
		}
	}

	bool membership::accepts_work(server_id const& server) const
	{
		auto const* const known = this->find_server(server);
		if (known == nullptr)
		{
			return false;
		}
		if (!this->mechanisms->leaving_exclusion)
		{
			return true;
		}
		auto const announced = this->leaving_servers.find(server);
		return !known->leaving && (announced == this->leaving_servers.end() || announced->second < known->started);
	}

	listed_server const* membership::find_server(server_id const& server) const
	{
		auto const found = this->server_index.find(server);
		return found == this->server_index.end() ? nullptr : &this->listed.servers[found->second];
	}

	std::string membership::address_of(instance_id const& id) const
	{
		auto const found = this->peers.find(id);
		return found == this->peers.end() ? std::string{} : found->second.address;
	}

	std::optional<std::uint64_t> membership::remote_clock(instance_id const& id, time_point now) const
	{
		if (id == this->settings->instance)
		{
			return to_wire(now);
		}
		auto const found = this->peers.find(id);
		if (found == this->peers.end() || found->second.clock == 0)
		{
			return std::nullopt;
		}
		return found->second.clock + to_wire(now - found->second.clock_read_at);
	}

	bool membership::answered_since(time_point since) const
	{
		return this->newest_echo && *this->newest_echo >= since;
	}

	bool membership::heard_from_all() const
	{
		return std::ranges::all_of(this->peers, [&](auto const& each)
			{ return each.first == this->settings->instance || !each.second.listed || each.second.last_heard; });
	}

	bool membership::has_unreachable_daemons(time_point now) const
	{
		return std::ranges::any_of(this->peers,
			[&](auto const& each)
			{
				return each.first != this->settings->instance && each.second.listed &&
					   !each.second.connection_refused && !this->is_reachable(each.second, now);
			});
	}
}
