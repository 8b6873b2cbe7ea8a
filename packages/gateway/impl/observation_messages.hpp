#pragma once

#include <godwittrestle/routing.hpp>
#include <godwittrestle/wire/wire.pb.h>

namespace godwittrestle::gateway
{
	// Returns what this daemon itself has seen of a model service, as it is told to others.
	[[nodiscard]] wire::ServiceObservations to_wire(
		service_id const& service, routing::service_observations const& observed);

	// Takes over what another daemon has seen of a model service.
	void take_observations(wire::ServiceObservations const& told, routing::service_observations& observed);
}
