#include <godwittrestle/decide/membership.hpp>

#include <algorithm>
#include <utility>

#include <godwittrestle/decide/event_context.hpp>
#include <godwittrestle/decide/rendezvous.hpp>
#include <godwittrestle/decide/wire_time.hpp>

namespace godwittrestle::decide
{
	namespace
	{
		// Time for which a departed daemon is remembered, so that its requests on engines are recognised as orphans.
		constexpr duration departed_retention = std::chrono::minutes(10);
	}

	std::vector<instance_id> membership::targets() const
	{
		std::vector<instance_id> chosen;
		if (this->ring.size() <= this->settings->full_mesh_limit)
		{
			std::ranges::copy_if(this->ring, std::back_inserter(chosen),
				[&](instance_id const& id) { return id != this->settings->instance; });
			return chosen;
		}
		auto const own_index =
			static_cast<std::size_t>(std::ranges::find(this->ring, this->settings->instance) - this->ring.begin());
		for (std::size_t distance = 1; distance < this->ring.size(); distance *= 2)
		{
			chosen.push_back(this->ring[(own_index + distance) % this->ring.size()]);
		}
		return chosen;
	}

	void membership::erase_departed(time_point now)
	{
		std::erase_if(this->peers,
			[&](auto const& each)
			{
				auto const& peer = each.second;
				auto const is_old = !peer.last_heard || now - *peer.last_heard > departed_retention;
				return each.first != this->settings->instance && !peer.listed && is_old;
			});
	}

	void membership::rebuild_ring(time_point now)
	{
		std::set<instance_id> expected_before;
		this->ring.clear();
		this->by_data_centre.clear();
		for (auto& [id, peer] : this->peers)
		{
			if (std::exchange(peer.expected, false))
			{
				expected_before.insert(id);
			}
			this->by_data_centre[peer.data_centre].emplace_back(&id, &peer);
			auto const is_known = peer.listed || this->is_reachable(peer, now);
			if (id == this->settings->instance || (is_known && !peer.address.empty()))
			{
				this->ring.push_back(id);
			}
		}
		std::ranges::sort(
			this->ring, std::less{}, [](instance_id const& id) { return std::pair(hash_bytes(id.str()), id.str()); });
		auto const expect = [&](instance_id const& id)
		{
			auto& peer = this->peers.at(id);
			peer.expected = true;
			peer.expected_since = expected_before.contains(id) ? peer.expected_since : now;
		};
		if (this->ring.size() <= this->settings->full_mesh_limit)
		{
			std::ranges::for_each(this->ring, expect);
			return;
		}
		auto const own_index =
			static_cast<std::size_t>(std::ranges::find(this->ring, this->settings->instance) - this->ring.begin());
		for (std::size_t distance = 1; distance < this->ring.size(); distance *= 2)
		{
			expect(this->ring[(own_index + this->ring.size() - distance) % this->ring.size()]);
		}
	}

	void membership::update_liveness(instance_id const& id, peer_record& peer, event_context& context)
	{
		auto const is_live = this->is_reachable(peer, context.now());
		if (peer.was_live == is_live)
		{
			return;
		}
		peer.was_live = is_live;
		++this->changes;
		if (!is_live && peer.expected && peer.last_heard)
		{
			peer.silent_since = context.now();
		}
		context.record(is_live ? "daemon_live" : "daemon_silent", {}, id.str());
	}

	void membership::merge_silent_daemons(wire::Heartbeat const& heartbeat, time_point now)
	{
		for (auto const& silent : heartbeat.silent())
		{
			auto const found = this->peers.find(instance_id(silent.instance()));
			if (found == this->peers.end() || found->second.expected)
			{
				continue;
			}
			auto const since = now - duration_from_wire(silent.age());
			auto& known = found->second.silent_since;
			known = std::max(known.value_or(since), since);
		}
	}

	wire::PeerMessage membership::make_heartbeat(
		heartbeat_payload const& payload, bool wants_reply, time_point now) const
	{
		wire::PeerMessage message;
		auto& heartbeat = *message.mutable_heartbeat();
		heartbeat.set_config_version(payload.config_version.count());
		heartbeat.set_config_digest(payload.config_digest);
		heartbeat.set_list_version(this->listed.version.count());
		heartbeat.set_leaving(this->leaving);
		heartbeat.set_clock(to_wire(now));
		heartbeat.set_wants_reply(wants_reply);
		if (wants_reply)
		{
			heartbeat.set_address(this->peers.at(this->settings->instance).address);
			heartbeat.set_data_centre(this->settings->data_centre.str());
		}
		for (auto const& [server, started] : this->leaving_servers)
		{
			auto& entry = *heartbeat.add_leaving_servers();
			entry.set_server(server.str());
			entry.set_incarnation(started.count());
		}
		for (auto const& succession : payload.successions)
		{
			*heartbeat.add_successions() = succession;
		}
		for (auto const& [id, peer] : this->peers)
		{
			auto const is_overdue = now - peer.expected_since > this->settings->peer_timeout;
			auto const is_observed_here = peer.expected && is_overdue && !this->is_reachable(peer, now) && peer.listed;
			auto const since = is_observed_here ? std::optional(now) : peer.silent_since;
			if (this->ring.size() > this->settings->full_mesh_limit && since && now - *since < silent_report_lifetime)
			{
				auto& entry = *heartbeat.add_silent();
				entry.set_instance(id.str());
				entry.set_age(to_wire(now - *since));
			}
		}
		return message;
	}
}
