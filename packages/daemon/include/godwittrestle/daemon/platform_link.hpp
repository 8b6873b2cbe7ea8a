#pragma once

#include <atomic>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/fwd.hpp>
#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/daemon/platform.hpp>

namespace godwittrestle::daemon
{
	// The thread that reads the platform: it watches the policy and the instance list, or reads them now and then when
	// other daemons of the data centre watch.
	class platform_link
	{
	  public:
		platform_link(core_loop& core, daemon_settings const& settings);

		void start();
		void stop();

		void set_watching(bool is_watching) noexcept;

		// Whether the last read of the platform was answered.
		[[nodiscard]] bool is_answering() const noexcept
		{
			return this->answering;
		}

	  private:
		asio::awaitable<void> follow_policy();
		asio::awaitable<void> follow_instances();
		asio::awaitable<void> pause_after(bool was_answered);
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
