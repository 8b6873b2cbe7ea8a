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
	// The fields of a heartbeat whose values class membership does not hold; its caller supplies them.
	struct heartbeat_payload
	{
		platform_version config_version;
		std::string config_digest;
		std::vector<wire::KeySuccession> successions;
	};

	// Tracks which daemons are alive and which backend servers accept work. The instance list of the platform is the
	// base; heartbeats, probes and the announcements of the servers themselves correct it quickly. Up to
	// full_mesh_limit, each daemon sends heartbeats to every other. Above it, each daemon sends them to the daemons at
	// distances 1, 2, 4, ... on a hash ring, and the heartbeats pass on which daemons are silent.
	class membership
	{
	  public:
		membership(core_settings const& settings, mechanism_set const& mechanisms);

		// Applies an instance list, unless the same or a newer one is known.
		void apply(instance_list const& list, event_context& context);

		// Handles a heartbeat. Returns false when it came from an older incarnation and was ignored.
		bool handle(wire::PeerMessage const& message, heartbeat_payload const& payload, event_context& context);

		// Records that a message of any kind came from a daemon. Returns false when it came from an older incarnation.
		bool record_contact(instance_id const& peer, incarnation started, event_context& context);

		void handle(peer_probed const& probe, event_context& context);

		// Sends the heartbeats that are due, updates the liveness of all peers, and probes peers whose heartbeats are
		// late.
		void handle_tick(heartbeat_payload const& payload, event_context& context);

		// Sends heartbeats to all targets now, for a change that must spread quickly.
		void send_heartbeats(heartbeat_payload const& payload, bool wants_reply, event_context& context);

		// Marks this daemon as leaving, which the next heartbeats announce.
		void start_leaving() noexcept;

		[[nodiscard]] bool is_leaving() const noexcept
		{
			return this->leaving;
		}

		// Returns whether the daemon is alive, as far as is known. A leaving daemon counts as alive.
		[[nodiscard]] bool is_reachable(instance_id const& peer, time_point now) const;

		// Returns whether the daemon is alive and not leaving, so that it may own cells and take over keys.
		[[nodiscard]] bool is_eligible(instance_id const& peer, time_point now) const;

		// Returns all eligible daemons, this one included unless it leaves.
		[[nodiscard]] std::vector<instance_id> eligible(time_point now) const;

		// Returns the eligible daemon with the highest rank for a key, where daemons in the preferred data centres take
		// precedence.
		[[nodiscard]] std::optional<instance_id> highest_ranked(
			std::string_view key, std::set<data_centre_id> const& preferred, time_point now) const;

		// Returns whether this incarnation of a daemon is proved to have ended. Silence alone proves nothing.
		[[nodiscard]] bool is_proved_gone(instance_id const& peer, incarnation started, time_point now) const;

		// Orders a probe of the address of a silent daemon, at most once in each heartbeat interval.
		void probe(instance_id const& peer, event_context& context);

		// Records that a server has announced that it is leaving.
		void mark_leaving(server_id const& server, event_context& context);

		// Returns whether new work may be given to a server.
		[[nodiscard]] bool accepts_work(server_id const& server) const;

		// Returns a listed server, or nullptr.
		[[nodiscard]] listed_server const* find_server(server_id const& server) const;

		[[nodiscard]] instance_list const& list() const noexcept
		{
			return this->listed;
		}

		// Returns the address at which a daemon receives messages; empty when unknown.
		[[nodiscard]] std::string address_of(instance_id const& peer) const;

		// Returns a lower bound on the current reading of a daemon's clock, in microseconds, derived from its last
		// heartbeat; nothing before its first heartbeat.
		[[nodiscard]] std::optional<std::uint64_t> remote_clock(instance_id const& peer, time_point now) const;

		// Returns whether a peer has answered a heartbeat that was sent at or after the given time.
		[[nodiscard]] bool answered_since(time_point since) const;

		// Returns whether every listed daemon has been heard from at least once.
		[[nodiscard]] bool heard_from_all() const;

		// Returns whether a listed daemon is unreachable and its address has not refused a probe.
		[[nodiscard]] bool has_unreachable_daemons(time_point now) const;

		[[nodiscard]] bool has_peers() const noexcept
		{
			return this->peers.size() > 1;
		}

		// Returns a number that increases whenever a daemon or a server is added, is removed or changes its state.
		[[nodiscard]] std::uint64_t generation() const noexcept
		{
			return this->changes;
		}

		// Returns the daemons that this one sends heartbeats to.
		[[nodiscard]] std::vector<instance_id> targets() const;

	  private:
		// Time for which a silence reported by another daemon counts, unless it is reported again.
		static constexpr duration silent_report_lifetime = seconds(5);

		struct peer_record
		{
			data_centre_id data_centre;
			std::string address;
			incarnation started;
			bool listed = false;
			bool was_listed = false;
			bool leaving = false;
			// Whether a probe of the peer's address was refused, which proves that the process has ended.
			bool connection_refused = false;
			bool was_live = false;
			// Whether this daemon expects heartbeats from the peer.
			bool expected = false;
			time_point expected_since;
			std::optional<time_point> last_heard;
			std::optional<time_point> last_probe;
			// When the peer was found silent by this daemon, or by a daemon that reported it in a heartbeat.
			std::optional<time_point> silent_since;
			std::uint64_t clock = 0;
			time_point clock_read_at;
		};

		using peer_entry = std::pair<instance_id const*, peer_record const*>;

		[[nodiscard]] bool is_eligible(peer_entry const& entry, time_point now) const;
		// Returns the silence after which the address of a peer is probed.
		[[nodiscard]] duration probe_delay() const noexcept;
		void erase_departed(time_point now);
		void rebuild_ring(time_point now);
		void update_liveness(instance_id const& id, peer_record& peer, event_context& context);
		// Records which daemons a heartbeat reports as silent, except those from which this daemon expects heartbeats.
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
		// Peers by data centre; rebuilt together with the ring.
		std::map<data_centre_id, std::vector<peer_entry>> by_data_centre;
		// Servers known to be leaving, each with the incarnation that is leaving.
		std::map<server_id, incarnation> leaving_servers;
		std::optional<time_point> last_sent;
		// Send time of the newest heartbeat that a peer has answered.
		std::optional<time_point> newest_echo;
		bool leaving = false;
		std::uint64_t changes = 0;
	};
}
