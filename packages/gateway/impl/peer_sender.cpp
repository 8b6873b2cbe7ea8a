#include <godwittrestle/gateway/peer_sender.hpp>

#include <utility>

#include <godwittrestle/daemon/wall_clock.hpp>

namespace godwittrestle::gateway
{
	peer_sender::peer_sender(instance_id id, incarnation started, std::string address, send_hook send_message)
		: own(std::move(id))
		, own_started(started)
		, own_address(std::move(address))
		, hook(std::move(send_message))
	{
	}

	wire::PeerMessage peer_sender::make_message() const
	{
		wire::PeerMessage message;
		message.set_from(this->own.str());
		message.set_incarnation(this->own_started.count());
		message.set_timestamp(daemon::wall_clock_us());
		return message;
	}

	void peer_sender::send(std::string const& to_address, wire::PeerMessage message) const
	{
		this->hook({instance_id(to_address), to_address, std::move(message)});
	}
}
