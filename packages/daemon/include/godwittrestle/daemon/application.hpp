#pragma once

#include <memory>

#include <godwittrestle/daemon/settings.hpp>

namespace godwittrestle::daemon
{
	// Owns the threads of the daemon and the bounded rings that connect them.
	class application
	{
	  public:
		explicit application(daemon_settings settings);
		~application();

		application(application const&) = delete;
		application& operator=(application const&) = delete;
		application(application&&) = delete;
		application& operator=(application&&) = delete;

		// Serves until the daemon has drained and left, which SIGTERM, SIGINT or an operator's drain request starts.
		// Returns the exit code of the process. Throws when an address cannot be bound.
		[[nodiscard]] int run();

	  private:
		class implementation;
		std::unique_ptr<implementation> impl;
	};
}
