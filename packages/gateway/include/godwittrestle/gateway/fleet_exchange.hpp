#pragma once

#include <functional>
#include <optional>
#include <string>

#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/peer_sender.hpp>
#include <godwittrestle/gateway/registry_position.hpp>
#include <godwittrestle/gateway/shared_state.hpp>
#include <godwittrestle/routing.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::gateway
{
	// Callbacks through which the exchange acts on the rest of the daemon.
	struct exchange_hooks
	{
		std::function<void(decide::send_peer)> send;
		// Called with the text of a newer configuration that another daemon has sent.
		std::function<void(std::string text)> apply_configuration;
		// Called with the list of servers that another daemon has sent.
		std::function<void(std::vector<routing::registered_server>)> apply_servers;
		std::function<double()> draw;
	};

	// The data that this daemon has read from the registry. Other daemons may ask for it.
	struct registry_snapshot
	{
		platform_version version;
		std::string configuration_text;
		bool has_servers = false;
		// Whether the registry can't be read at present.
		bool is_lost = false;
		// Position up to which the registry was read.
		registry_position position;
	};

	// Exchanges state with the other daemons: each tells the others how much work it has put on each server. Without
	// that, daemons that place streams independently would overload the same engine. A daemon that can't read the
	// registry gets the configuration and the servers from the others. Used only on the thread that serves callers.
	class fleet_exchange
	{
	  public:
		fleet_exchange(instance_id own, incarnation started, std::string address, shared_state& shared,
			exchange_hooks callbacks, event_log log);

		void set_seeds(std::vector<std::string> addresses);

		// Sends the messages that are due. Returns the delay until the next call.
		[[nodiscard]] duration send_due(registry_snapshot const& registry_state, time_point now);

		void receive(wire::PeerMessage const& message, registry_snapshot const& registry_state, time_point now);

		// Sends a notice that this daemon leaves.
		void announce_leaving(registry_snapshot const& registry_state, time_point now);

	  private:
		void handle_notice(wire::PeerMessage const& message, wire::GatewayNotice const& notice,
			registry_snapshot const& registry_state, time_point now);
		void handle_state_query(wire::PeerMessage const& message, wire::GatewayStateQuery const& query,
			registry_snapshot const& registry_state);
		void apply_update(wire::GatewayState const& state, registry_snapshot const& registry_state);
		// Returns whether another daemon has started a moment ago.
		[[nodiscard]] bool has_arrivals(time_point now) const;
		void apply_limits(wire::GatewayNotice const& notice, time_point now);
		// Adds the limits that have changed a moment ago; all limits while a daemon has just started.
		void add_limits(wire::GatewayNotice& notice, time_point now) const;
		void apply_shares(instance_id const& sender, wire::GatewayNotice const& notice, time_point now);
		void add_observations(wire::GatewayNotice& notice, time_point now) const;
		void apply_observations(wire::GatewayNotice const& notice, time_point now);
		[[nodiscard]] wire::GatewayNotice make_notice(registry_snapshot const& registry_state, time_point now) const;
		void query(std::string const& address, registry_snapshot const& registry_state, time_point now);

		peer_sender outgoing;
		shared_state* shared;
		exchange_hooks hooks;
		event_log log;
		routing::fleet members;
		std::string last_sent_shares;
		time_point last_notice_at;
		time_point last_query_at;
		time_point observations_sent_at;
		bool is_leaving = false;
	};
}
