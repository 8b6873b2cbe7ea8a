#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <thread>

#include <zmq.hpp>

#include <godwittrestle/base/bounded_ring.hpp>
#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/http/message.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::daemon
{
	// The address at which the daemon receives messages of other daemons, and the keys of the fleet.
	struct peer_link_settings
	{
		http::endpoint address;
		// CURVE keys in Z85; both are empty when messages between daemons are not encrypted.
		std::string public_key;
		std::string secret_key;
		std::size_t ring_capacity = 0;
	};

	// Callbacks for received and undeliverable messages. They run on the link's thread and must not block.
	struct peer_hooks
	{
		std::function<void(wire::PeerMessage)> received;
		// Called when a message to this peer was dropped because it could not be sent at once.
		std::function<void(instance_id const&)> unreachable;
	};

	// The thread that exchanges protobuf messages with other daemons over ZeroMQ. A message is dropped and reported,
	// and not kept for later, when the peer is not connected or its send queue is full. Heartbeats of the transport
	// detect a silent connection, which is then opened again.
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

		// Queues a message; waits while the queue is full. A message without an address is dropped without a report.
		void push(decide::send_peer message);

		[[nodiscard]] std::size_t depth() const;

	  private:
		void run();
		// Waits for a message in either direction or the timeout, then sends and receives all that are there.
		void exchange_messages(std::span<zmq::pollitem_t> items);
		void send(decide::send_peer const& outgoing);
		void receive_all();
		// Returns the socket that is connected to the peer's address; replaces it when the address has changed.
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
