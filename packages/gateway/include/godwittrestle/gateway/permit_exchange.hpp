#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/peer_sender.hpp>
#include <godwittrestle/gateway/shared_state.hpp>
#include <godwittrestle/routing.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::gateway
{
	// Returns the message that tells another daemon what is known of a server's limit.
	[[nodiscard]] wire::StatedLimit to_wire(routing::server_record const& server, time_point now);

	// Stores what another daemon knows of a server's limit, and logs a change. Ignores reports on unknown servers, on
	// other incarnations of a server, and malformed ones.
	void apply_limit(
		wire::StatedLimit const& received, routing::directory& servers, event_log const& log, time_point now);

	// Obtains permits for requests to servers that state a limit: from this daemon's permit_issuer, or by a message
	// from the daemon that issues the permits for the server. Used only on the thread that serves callers.
	class permit_exchange
	{
	  public:
		using answer_callback = std::function<void(routing::permit_answer const&)>;

		permit_exchange(shared_state& shared, peer_sender sender, event_log log);

		// Requests one permit for a server that states a limit. Calls the callback at most once: at once when this
		// daemon issues the permits, otherwise when the answer arrives. Returns the number of the request, for
		// cancel().
		std::uint64_t request(routing::server_record const& server, time_point now, answer_callback callback);

		// Drops the callback of a request.
		void cancel(std::uint64_t number);

		// Handles a message of another daemon. Returns false when it is not about permits.
		bool receive(wire::PeerMessage const& message, time_point now);

	  private:
		void handle_request(wire::SendPermitRequest const& request, time_point now);
		// Decides on a permit as the issuer.
		[[nodiscard]] routing::permit_answer issue(routing::server_record const& server, time_point now);
		void handle_reply(wire::SendPermitReply const& reply, time_point now);

		shared_state* shared;
		peer_sender outgoing;
		event_log log;
		std::map<std::uint64_t, answer_callback> waiting;
		std::uint64_t last_number = 0;
	};
}
