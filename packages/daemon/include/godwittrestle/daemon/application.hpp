#pragma once

#include <memory>

#include <godwittrestle/daemon/settings.hpp>

namespace godwittrestle::daemon
{
	// The whole daemon: its threads and the rings between them.
	class application
	{
	  public:
		explicit application(daemon_settings settings);
		~application();

		application(application const&) = delete;
		application& operator=(application const&) = delete;
		application(application&&) = delete;
		application& operator=(application&&) = delete;

		// Serves until the daemon has left gracefully, on SIGTERM, SIGINT or an operator's drain. Returns the exit
		// code. Throws when an address can't be bound.
		[[nodiscard]] int run();

	  private:
		class implementation;
		std::unique_ptr<implementation> impl;
	};
}
