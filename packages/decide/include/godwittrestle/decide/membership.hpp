#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/event.hpp>
#include <godwittrestle/decide/fwd.hpp>
#include <godwittrestle/decide/platform.hpp>
#include <godwittrestle/decide/settings.hpp>

namespace godwittrestle::decide
{
	// What a heartbeat says besides membership.
	struct heartbeat_payload
	{
		platform_version config_version;
		std::string config_digest;
		std::vector<wire::KeySuccession> successions;
	};

	// Which daemons are alive and which backend servers take work. The platform's list is the base; heartbeats, probes
	// and the servers' own word correct it quickly. Up to the full-mesh limit every daemon hears from every other;
	// above it, each sends heartbeats to the daemons at distances 1, 2, 4, ... on a hash ring and passes silences on.
	class membership
	{
	  public:
		membership(core_settings const& settings, mechanism_set const& mechanisms);

		// Takes a list over, unless a newer one is known.
		void apply(instance_list const& list, turn& now);

		// Takes note of a heartbeat. Returns false when it came from an older incarnation and is void.
		bool handle(wire::PeerMessage const& message, heartbeat_payload const& payload, turn& now);

		// Takes note that a message of any kind came from a daemon. Returns false for an older incarnation.
		bool record_contact(instance_id const& peer, incarnation started, turn& now);

		void handle(peer_probed const& probe, turn& now);

		// Sends the heartbeats that are due and finds silences.
		void handle_tick(heartbeat_payload const& payload, turn& now);

		// Sends heartbeats to all targets now, as after a change that must spread quickly.
		void send_heartbeats(heartbeat_payload const& payload, bool wants_reply, turn& now);

		// Announces that this daemon leaves.
		void start_leaving() noexcept;

		[[nodiscard]] bool is_leaving() const noexcept
		{
			return this->leaving;
		}

		// Whether the daemon is alive, as far as is known; a leaving one is.
		[[nodiscard]] bool is_reachable(instance_id const& peer, time_point now) const;

		// Whether the daemon is alive and may own cells and take over keys.
		[[nodiscard]] bool is_eligible(instance_id const& peer, time_point now) const;

		// Returns all eligible daemons, this one included unless it leaves.
		[[nodiscard]] std::vector<instance_id> eligible(time_point now) const;

		// Returns the eligible daemon with the highest rank for a key, those of the given data centres first.
		[[nodiscard]] std::optional<instance_id> highest_ranked(
			std::string_view key, std::set<data_centre_id> const& preferred, time_point now) const;

		// Whether it is proved that this incarnation of a daemon no longer runs. Silence alone proves nothing.
		[[nodiscard]] bool is_proved_gone(instance_id const& peer, incarnation started, time_point now) const;

		// Orders a probe of a silent daemon's address, at most one each heartbeat interval.
		void probe(instance_id const& peer, turn& now);

		// Takes note of a server's own word that it is leaving.
		void mark_leaving(server_id const& server, turn& now);

		// Whether new work may be given to a server.
		[[nodiscard]] bool accepts_work(server_id const& server) const;

		// Returns a listed server, or nothing.
		[[nodiscard]] listed_server const* find_server(server_id const& server) const;

		[[nodiscard]] instance_list const& list() const noexcept
		{
			return this->listed;
		}

		// Where a daemon takes messages; empty when unknown.
		[[nodiscard]] std::string address_of(instance_id const& peer) const;

		// A lower bound of a daemon's clock now, from its last heartbeat, in microseconds; nothing before the first.
		[[nodiscard]] std::optional<std::uint64_t> remote_clock(instance_id const& peer, time_point now) const;

		// Whether a peer has answered a heartbeat that was sent at or after the given point.
		[[nodiscard]] bool answered_since(time_point since) const;

		// Whether every listed daemon has been heard from at least once.
		[[nodiscard]] bool heard_from_all() const;

		// Whether a listed daemon can't be reached and is not proved gone.
		[[nodiscard]] bool has_unreachable_daemons(time_point now) const;

		[[nodiscard]] bool has_peers() const noexcept
		{
			return this->peers.size() > 1;
		}

		// Changes whenever a daemon or a server comes, goes or changes its state.
		[[nodiscard]] std::uint64_t generation() const noexcept
		{
			return this->changes;
		}

		// Returns the daemons that this one sends heartbeats to.
		[[nodiscard]] std::vector<instance_id> targets() const;

	  private:
		// Time for which a silence that others reported counts, unless reported again.
		static constexpr duration silent_report_lifetime = seconds(5);

		struct peer_record
		{
			data_centre_id data_centre;
			std::string address;
			incarnation started;
			bool listed = false;
			bool was_listed = false;
			bool leaving = false;
			bool connection_refused = false;
			bool was_live = false;
			// Whether this daemon expects the peer's heartbeats.
			bool expected = false;
			time_point expected_since;
			std::optional<time_point> last_heard;
			std::optional<time_point> last_probe;
			// When this daemon, or one that passed it on, found the peer silent.
			std::optional<time_point> silent_since;
			std::uint64_t clock = 0;
			time_point clock_read_at;
		};

		using peer_entry = std::pair<instance_id const*, peer_record const*>;

		[[nodiscard]] bool is_eligible(peer_entry const& entry, time_point now) const;
		// Silence after which a peer's address is probed.
		[[nodiscard]] duration probe_delay() const noexcept;
		void erase_departed(time_point now);
		void rebuild_ring(time_point now);
		void update_liveness(instance_id const& id, peer_record& peer, turn& now);
		void merge_silent_daemons(wire::Heartbeat const& heartbeat, time_point now);
		[[nodiscard]] wire::PeerMessage make_heartbeat(
			heartbeat_payload const& payload, bool wants_reply, time_point now) const;
		[[nodiscard]] bool is_reachable(peer_record const& peer, time_point now) const;

		core_settings const* settings;
		mechanism_set const* mechanisms;
		instance_list listed;
		std::map<server_id, std::size_t> server_index;
		std::map<instance_id, peer_record> peers;
		std::vector<instance_id> ring;
		// The peers of each data centre; rebuilt with the ring.
		std::map<data_centre_id, std::vector<peer_entry>> by_data_centre;
		std::map<server_id, incarnation> leaving_servers;
		std::optional<time_point> last_sent;
		std::optional<time_point> newest_echo;
		bool leaving = false;
		std::uint64_t changes = 0;
	};
}
