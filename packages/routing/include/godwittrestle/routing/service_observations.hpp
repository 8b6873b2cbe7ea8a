#pragma once

#include <godwittrestle/routing/answer_end.hpp>
#include <godwittrestle/routing/engine_speed.hpp>
#include <godwittrestle/routing/output_estimate.hpp>
#include <godwittrestle/routing/pool_balance.hpp>

namespace godwittrestle::routing
{
	// Statistics of a model service that a daemon collects at run time.
	struct service_observations
	{
		stream_demand demand;
		output_estimate outputs;
		engine_speed_estimate speed;
		end_habits ends;
		// Whether a server has answered the question for its report without its start.
		bool has_unreported_starts = false;
		// Whether a stream without length or chunks has come, which is whole only if its process lives on.
		bool has_streams_without_length = false;
	};
}
