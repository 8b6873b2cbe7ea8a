#pragma once

#include <memory>

#include <godwittrestle/gateway/protocols.hpp>
#include <godwittrestle/gateway/settings.hpp>

namespace godwittrestle::gateway
{
	// Connects a gateway to one platform: where its settings come from and the wire formats of the calls and of the
	// registry.
	struct platform_adapter
	{
		settings_source read_settings;
		call_protocol calls;
		registry_protocol registry;
		// Path at which the platform checks whether the daemon is ready.
		std::string readiness_path;
		// Path at which the metrics are served.
		std::string metrics_path;
	};

	// The daemon as a gateway on an existing platform. Owns its threads and the rings between them.
	class application
	{
	  public:
		application(gateway_settings settings, platform_adapter adapter);
		~application();

		application(application const&) = delete;
		application& operator=(application const&) = delete;
		application(application&&) = delete;
		application& operator=(application&&) = delete;

		// Serves until SIGTERM or SIGINT, then drains: it answers the requests that it has read, until shortly before
		// the termination grace ends. Returns the exit code. Throws when an address can't be bound.
		[[nodiscard]] int run();

	  private:
		class implementation;
		std::unique_ptr<implementation> impl;
	};
}
