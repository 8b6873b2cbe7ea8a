#pragma once

#include <map>
#include <memory>

#include <boost/asio/cancellation_signal.hpp>

#include <godwittrestle/daemon/backend.hpp>
#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/io_thread.hpp>

namespace godwittrestle::daemon
{
	// The thread that talks to backend servers: it carries the core's calls out and brings their outcomes back.
	class backend_link
	{
	  public:
		backend_link(core_loop& core, std::size_t ring_capacity);

		void start();
		void stop();

		// Takes an action that concerns backend servers, or a probe of a daemon.
		void push(decide::action action);

		[[nodiscard]] std::size_t depth() const;

	  private:
		void carry_out(decide::action&& action);
		void spawn(call_id call, asio::awaitable<decide::event> work);
		asio::awaitable<void> deliver(decide::event event);
		asio::awaitable<void> probe(decide::probe_peer order);

		core_loop* core;
		io_thread thread;
		http::client client;
		backend_interface backend;
		std::map<call_id, std::shared_ptr<asio::cancellation_signal>> running;
		ring_to_loop<decide::action> inputs;
	};
}
