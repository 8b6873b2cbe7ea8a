#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/peer_sender.hpp>
#include <godwittrestle/gateway/shared_state.hpp>
#include <godwittrestle/routing.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::gateway
{
	// Obtains quotas of client accounts: from this daemon's quota_issuer, or by a message from the daemon that
	// issues them for the account. Used only on the thread that serves callers.
	class quota_exchange
	{
	  public:
		using answer_callback = std::function<void(routing::quota_answer const&)>;

		quota_exchange(shared_state& shared, peer_sender sender, event_log log);

		// Asks for what a request needs. Calls the callback at most once: at once when this daemon is the issuer,
		// otherwise when the answer arrives. Returns the number of the request, for cancel().
		std::uint64_t request(
			routing::client_account const& account, double units, time_point now, answer_callback callback);

		// Drops the callback of a request.
		void cancel(std::uint64_t number);

		// Returns unused quotas to their issuers, and forgets accounts that the configuration does not have any
		// more.
		void review(time_point now);

		// Handles a message of another daemon. Returns false when it is not about quotas.
		bool receive(wire::PeerMessage const& message, time_point now);

	  private:
		void send(routing::fleet_member const& issuer, routing::client_account const& account,
			routing::quota_demand const& demand, std::uint64_t number);
		void handle_request(wire::QuotaRequest const& request, time_point now);
		void handle_reply(wire::QuotaReply const& reply);
		void return_unused(routing::unused_quota const& unused, time_point now);

		shared_state* shared;
		peer_sender outgoing;
		event_log log;
		std::map<std::uint64_t, answer_callback> waiting;
		std::uint64_t last_number = 0;
		// The configuration whose accounts were last looked at.
		platform_version reviewed;
	};
}
