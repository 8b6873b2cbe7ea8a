#pragma once

#include <string>
#include <vector>

#include <godwittrestle/policy/policy.pb.h>

namespace godwittrestle::policy
{
	// An error in a policy.
	struct fault
	{
		// Path of the field in the JSON document, such as "services[2].deadline_ms".
		std::string path;
		std::string message;
		std::string remedy;
	};

	// Returns all faults of the policy in document order, with missing services or accounts last; none when it may be
	// sealed.
	[[nodiscard]] std::vector<fault> validate(RoutingPolicy const& policy);
}
