#pragma once

#include <godwittrestle/routing.hpp>
#include <godwittrestle/wire/wire.pb.h>

namespace godwittrestle::gateway
{
	// Returns the message that tells other daemons what this daemon itself has measured of a model service, and when
	// any daemon last had a proof that its servers break streams off.
	[[nodiscard]] wire::ServiceObservations to_wire(
		service_id const& service, routing::service_observations const& observed, time_point now);

	// Records what another daemon tells of a model service.
	void apply_observations(
		wire::ServiceObservations const& received, routing::service_observations& observed, time_point now);
}
