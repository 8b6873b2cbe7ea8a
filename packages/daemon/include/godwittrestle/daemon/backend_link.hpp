#pragma once

#include <map>
#include <memory>

#include <boost/asio/cancellation_signal.hpp>

#include <godwittrestle/daemon/backend.hpp>
#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/io_thread.hpp>

namespace godwittrestle::daemon
{
	// The thread that calls backend servers. It carries out the core's actions and passes their outcomes to the core.
	class backend_link
	{
	  public:
		backend_link(core_loop& core, std::size_t ring_capacity);

		void start();
		void stop();

		// Queues an action for backend servers or a probe of another daemon. Waits while the queue is full.
		void push(decide::action action);

		[[nodiscard]] std::size_t depth() const;

	  private:
		void carry_out(decide::action&& action);
		// Starts a call that abort_call can cancel, and passes its event to the core.
		void spawn(call_id call, asio::awaitable<decide::event> work);
		// Passes an event to the core; waits while the core's ring is full.
		asio::awaitable<void> deliver(decide::event event);
		asio::awaitable<void> probe(decide::probe_peer order);

		core_loop* core;
		io_thread thread;
		http::client client;
		backend_interface backend;
		std::map<call_id, std::shared_ptr<asio::cancellation_signal>> running;
		event_loop_queue<decide::action> inputs;
	};
}
