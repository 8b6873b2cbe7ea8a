#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/message.hpp>
#include <godwittrestle/routing/directory.hpp>
#include <godwittrestle/routing/retry_budget.hpp>

namespace godwittrestle::gateway
{
	// How often the registry is called.
	struct registry_pace
	{
		// How long the registry may hold a call back while nothing changes; a connection that has gone silent is found
		// so late.
		duration wait = seconds(3);
		// How long changes that follow one another are gathered at most, to be fetched with one call.
		duration longest_gathering = milliseconds(800);

		[[nodiscard]] bool operator==(registry_pace const&) const = default;
	};

	// What a gateway is told at its start and whenever its settings file changes. Addresses hold for the life of the
	// process; the rest is taken over at once.
	struct gateway_settings
	{
		instance_id instance;
		data_centre_id data_centre;
		http::endpoint caller_address;
		http::endpoint readiness_address;
		// Where other daemons reach this one.
		http::endpoint peer_address;
		http::endpoint metrics_address;
		http::endpoint registry_address;
		// Some daemons' peer addresses, perhaps this one's own, perhaps of daemons that are gone.
		std::vector<http::endpoint> seeds;
		routing::retry_budget_settings retries;
		routing::directory_settings servers;
		registry_pace registry;
		// Time between SIGTERM and SIGKILL.
		duration termination_grace = seconds(8);
		std::string log_level = "INFO";

		[[nodiscard]] bool operator==(gateway_settings const&) const = default;
	};

	// Reads the settings anew.
	using settings_source = std::function<result<gateway_settings>()>;
}
