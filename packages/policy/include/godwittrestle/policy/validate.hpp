#pragma once

#include <string>
#include <vector>

#include <godwittrestle/policy/policy.pb.h>

namespace godwittrestle::policy
{
	// One thing that is wrong with a document.
	struct fault
	{
		// Path into the JSON form, such as "services[2].deadline_ms".
		std::string path;
		std::string message;
		std::string remedy;
	};

	// Returns every fault of the policy, in document order; none when it may be sealed.
	[[nodiscard]] std::vector<fault> validate(RoutingPolicy const& policy);
}
