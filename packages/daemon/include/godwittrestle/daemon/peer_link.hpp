#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>

#include <zmq.hpp>

#include <godwittrestle/base/bounded_ring.hpp>
#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/http/message.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::daemon
{
	// Where a daemon takes its peers' messages, and the fleet's keys.
	struct peer_link_settings
	{
		http::endpoint address;
		// CURVE keys in Z85; all empty without encryption between daemons.
		std::string public_key;
		std::string secret_key;
		std::size_t ring_capacity = 0;
	};

	// What becomes of messages; called on the link's thread, and never allowed to wait.
	struct peer_hooks
	{
		std::function<void(wire::PeerMessage)> received;
		// A message to this peer was dropped, as it could not go out at once.
		std::function<void(instance_id const&)> unreachable;
	};

	// The thread that exchanges protobuf messages with other daemons over ZeroMQ. A message that can't go out now is
	// dropped and reported, never queued for later. A connection that falls silent is found by heartbeats of the
	// transport and dialled again.
	class peer_link
	{
	  public:
		peer_link(peer_link_settings const& settings, peer_hooks behaviour);
		~peer_link();

		peer_link(peer_link const&) = delete;
		peer_link& operator=(peer_link const&) = delete;
		peer_link(peer_link&&) = delete;
		peer_link& operator=(peer_link&&) = delete;

		// Binds the listening socket; throws zmq::error_t when that fails.
		void start();
		void stop();

		void push(decide::send_peer message);

		[[nodiscard]] std::size_t depth() const;

	  private:
		void run();
		void send(decide::send_peer const& outgoing);
		void receive_all();
		[[nodiscard]] zmq::socket_t& socket_to(instance_id const& peer, std::string const& address);
		void set_curve(zmq::socket_t& socket, bool is_server) const;
		void wake() const noexcept;

		struct outgoing_socket
		{
			zmq::socket_t socket;
			std::string address;
		};

		peer_hooks hooks;
		std::string bind_address;
		std::string public_key;
		std::string secret_key;
		zmq::context_t context{1};
		zmq::socket_t incoming;
		std::map<instance_id, outgoing_socket> outgoing;
		bounded_ring<decide::send_peer> inputs;
		int wakeup_descriptor = -1;
		std::atomic<bool> is_stopping = false;
		std::thread thread;
	};
}
