#pragma once

#include <godwittrestle/routing/engine_speed.hpp>
#include <godwittrestle/routing/output_estimate.hpp>
#include <godwittrestle/routing/pool_balance.hpp>

namespace godwittrestle::routing
{
	// What a daemon has learnt of a model service while it ran.
	struct service_observations
	{
		// What the service's streams need.
		stream_demand demand;
		output_estimate outputs;
		// How fast its engines are.
		engine_speed_estimate speed;
	};
}
