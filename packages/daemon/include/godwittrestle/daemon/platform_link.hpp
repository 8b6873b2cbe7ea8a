#pragma once

#include <atomic>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/fwd.hpp>
#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/daemon/platform.hpp>

namespace godwittrestle::daemon
{
	// The thread that reads the platform. It watches the policy and the instance list, or only polls them at the
	// configured interval when other daemons of the data centre watch them.
	class platform_link
	{
	  public:
		platform_link(core_loop& core, daemon_settings const& settings);

		void start();
		void stop();

		void set_watching(bool is_watching) noexcept;

		// Returns whether the platform answered the last read.
		[[nodiscard]] bool is_answering() const noexcept
		{
			return this->answering;
		}

	  private:
		asio::awaitable<void> follow_policy();
		asio::awaitable<void> follow_instances();
		// Records whether the platform answered, tells the core if it did, and waits until the next read is due.
		asio::awaitable<void> finish_read(bool was_answered);
		// Passes an event to the core; waits while the core's ring is full.
		asio::awaitable<void> deliver(decide::event event);

		core_loop* core;
		duration poll_interval;
		io_thread thread;
		http::client client;
		platform_interface platform;
		std::atomic<bool> watching = true;
		std::atomic<bool> answering = false;
	};
}
