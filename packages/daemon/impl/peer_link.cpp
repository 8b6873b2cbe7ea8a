#include <godwittrestle/daemon/peer_link.hpp>

#include <array>
#include <cerrno>
#include <cstdint>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace godwittrestle::daemon
{
	namespace
	{
		constexpr int transport_heartbeat_ms = 500;
		constexpr int transport_timeout_ms = 1500;
		constexpr int reconnect_ms = 50;
		constexpr int max_reconnect_ms = 500;
		constexpr int send_queue_messages = 1000;
		constexpr std::int64_t max_message_bytes = 4LL * 1024 * 1024;
		constexpr std::chrono::milliseconds poll_timeout{200};
		// With a domain, the socket takes no connection of the protocol's first versions: they begin with no greeting,
		// so that any bytes are parts of a message, whose number nothing bounds.
		constexpr char const* peer_domain = "peers";

		void set_common_options(zmq::socket_t& socket)
		{
			socket.set(zmq::sockopt::linger, 0);
			socket.set(zmq::sockopt::sndhwm, send_queue_messages);
			socket.set(zmq::sockopt::maxmsgsize, max_message_bytes);
			socket.set(zmq::sockopt::heartbeat_ivl, transport_heartbeat_ms);
			socket.set(zmq::sockopt::heartbeat_timeout, transport_timeout_ms);
		}
	}

	peer_link::peer_link(peer_link_settings const& settings, peer_hooks behaviour)
		: hooks(std::move(behaviour))
		, bind_address("tcp://" + http::to_string(settings.address))
		, public_key(settings.public_key)
		, secret_key(settings.secret_key)
		, incoming(this->context, zmq::socket_type::router)
		, inputs(settings.ring_capacity)
		, wakeup_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
	{
	}

	peer_link::~peer_link()
	{
		this->stop();
		close(this->wakeup_descriptor);
	}

	void peer_link::start()
	{
		set_common_options(this->incoming);
		if (this->secret_key.empty())
		{
			this->incoming.set(zmq::sockopt::zap_domain, peer_domain);
		}
		this->set_curve(this->incoming, true);
		this->incoming.bind(this->bind_address);
		this->thread = std::thread([this] { this->run(); });
	}

	void peer_link::stop()
	{
		this->is_stopping = true;
		this->inputs.close();
		this->wake();
		if (this->thread.joinable())
		{
			this->thread.join();
		}
	}

	void peer_link::push(decide::send_peer message)
	{
		if (this->inputs.push(std::move(message)))
		{
			this->wake();
		}
	}

	std::size_t peer_link::depth() const
	{
		return this->inputs.size();
	}

	void peer_link::wake() const noexcept
	{
		std::uint64_t const one = 1;
		[[maybe_unused]] auto const written = write(this->wakeup_descriptor, &one, sizeof(one));
	}

	void peer_link::run()
	{
		std::array<zmq::pollitem_t, 2> items{
			{{this->incoming.handle(), 0, ZMQ_POLLIN, 0}, {nullptr, this->wakeup_descriptor, ZMQ_POLLIN, 0}}};
		while (!this->is_stopping)
		{
			try
			{
				this->exchange_messages(items);
			}
			catch (zmq::error_t const& error)
			{
				// A signal may interrupt any call of the library. At most one message is lost, as on any link.
				if (error.num() != EINTR)
				{
					throw;
				}
			}
		}
	}

	void peer_link::exchange_messages(std::span<zmq::pollitem_t> items)
	{
		zmq::poll(items.data(), items.size(), poll_timeout);
		std::uint64_t count = 0;
		[[maybe_unused]] auto const taken = read(this->wakeup_descriptor, &count, sizeof(count));
		while (auto const message = this->inputs.try_pop())
		{
			this->send(*message);
		}
		this->receive_all();
	}

	void peer_link::send(decide::send_peer const& message)
	{
		if (message.address.empty())
		{
			return;
		}
		auto const bytes = message.message.SerializeAsString();
		auto& socket = this->socket_to(message.to, message.address);
		if (!socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
		{
			this->hooks.unreachable(message.to);
		}
	}

	void peer_link::receive_all()
	{
		zmq::message_t sender;
		zmq::message_t body;
		while (this->incoming.recv(sender, zmq::recv_flags::dontwait))
		{
			if (!sender.more() || !this->incoming.recv(body, zmq::recv_flags::dontwait))
			{
				continue;
			}
			wire::PeerMessage message;
			if (!message.ParseFromArray(body.data(), static_cast<int>(body.size())))
			{
				continue;
			}
			this->hooks.received(std::move(message));
		}
	}

	zmq::socket_t& peer_link::socket_to(instance_id const& peer, std::string const& address)
	{
		auto known = this->outgoing.find(peer);
		if (known != this->outgoing.end() && known->second.address == address)
		{
			return known->second.socket;
		}
		zmq::socket_t socket(this->context, zmq::socket_type::dealer);
		set_common_options(socket);
		socket.set(zmq::sockopt::immediate, true);
		socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
		socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_ms);
		this->set_curve(socket, false);
		socket.connect("tcp://" + address);
		outgoing_socket entry{std::move(socket), address};
		return this->outgoing.insert_or_assign(peer, std::move(entry)).first->second.socket;
	}

	void peer_link::set_curve(zmq::socket_t& socket, bool is_server) const
	{
		if (this->secret_key.empty())
		{
			return;
		}
		socket.set(zmq::sockopt::curve_publickey, this->public_key);
		socket.set(zmq::sockopt::curve_secretkey, this->secret_key);
		if (is_server)
		{
			socket.set(zmq::sockopt::curve_server, true);
		}
		else
		{
			socket.set(zmq::sockopt::curve_serverkey, this->public_key);
		}
	}
}
