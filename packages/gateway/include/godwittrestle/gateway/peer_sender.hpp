#pragma once

#include <functional>
#include <string>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::gateway
{
	// Sends messages of this daemon to other daemons. A message may be lost.
	class peer_sender
	{
	  public:
		using send_hook = std::function<void(decide::send_peer)>;

		// address: where this daemon receives messages, "IP:port".
		peer_sender(instance_id own, incarnation started, std::string address, send_hook hook);

		// Returns a message without a body that names this daemon as its sender.
		[[nodiscard]] wire::PeerMessage make_message() const;

		void send(std::string const& to_address, wire::PeerMessage message) const;

		[[nodiscard]] instance_id const& own_id() const noexcept
		{
			return this->own;
		}

		[[nodiscard]] std::string const& address() const noexcept
		{
			return this->own_address;
		}

	  private:
		instance_id own;
		incarnation own_started;
		std::string own_address;
		send_hook hook;
	};
}
