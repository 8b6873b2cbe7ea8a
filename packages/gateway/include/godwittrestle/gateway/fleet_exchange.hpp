#pragma once

#include <functional>
#include <optional>
#include <string>

#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/forwarder.hpp>
#include <godwittrestle/routing.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::gateway
{
	// What the exchange does to the rest of the daemon.
	struct exchange_hooks
	{
		std::function<void(decide::send_peer)> send;
		// Takes a configuration's text over from another daemon.
		std::function<void(std::string text)> take_configuration;
		// Takes the list of servers over from another daemon.
		std::function<void(std::vector<routing::registered_server>)> take_servers;
		std::function<double()> draw;
	};

	// What this daemon knows from the registry, as far as other daemons may ask for it.
	struct registry_knowledge
	{
		platform_version version;
		std::string configuration_text;
		bool has_servers = false;
		// Whether the registry can't be read now.
		bool is_lost = false;
	};

	// Tells the other daemons where this one's work is and takes in what they tell, so that daemons that place streams
	// by themselves do not fill the same engine. Where the registry turns a daemon away, it gets configuration and
	// servers from the others. Belongs to the thread that serves callers.
	class fleet_exchange
	{
	  public:
		fleet_exchange(instance_id own, incarnation started, std::string address, shared_state& shared,
			exchange_hooks behaviour, event_log log);

		void set_seeds(std::vector<std::string> addresses);

		// Sends what is due. Returns when to call again at the latest.
		[[nodiscard]] duration tick(registry_knowledge const& known, time_point now);

		void receive(wire::PeerMessage const& message, registry_knowledge const& known, time_point now);

		// Tells all members that this daemon leaves.
		void announce_leaving(registry_knowledge const& known, time_point now);

	  private:
		void handle(wire::PeerMessage const& message, wire::GatewayNotice const& notice,
			registry_knowledge const& known, time_point now);
		void answer(
			wire::PeerMessage const& message, wire::GatewayStateQuery const& query, registry_knowledge const& known);
		void take(wire::GatewayState const& state, registry_knowledge const& known);
		void take_shares(instance_id const& sender, wire::GatewayNotice const& notice, time_point now);
		void add_observations(wire::GatewayNotice& notice) const;
		void take_observations(wire::GatewayNotice const& notice);
		[[nodiscard]] wire::GatewayNotice make_notice(registry_knowledge const& known, time_point now) const;
		void query(std::string const& address, registry_knowledge const& known, time_point now);
		void send(std::string const& address, wire::PeerMessage message) const;
		[[nodiscard]] wire::PeerMessage make_message() const;

		instance_id own_id;
		incarnation own_started;
		std::string own_address;
		shared_state* shared;
		exchange_hooks hooks;
		event_log log;
		routing::fleet members;
		std::string last_shares;
		time_point last_notice_at;
		time_point last_query_at;
		time_point observations_told_at;
		bool is_leaving = false;
	};
}
