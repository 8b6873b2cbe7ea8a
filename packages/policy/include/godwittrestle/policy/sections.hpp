#pragma once

#include <map>
#include <string>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/policy/policy.pb.h>

namespace godwittrestle::policy
{
	// The parts that a document is compared and transferred in: one section for each region, pool, service and
	// account, named "pools/NAME" and so on. The value is the serialized part.
	using section_map = std::map<std::string, std::string>;

	// Splits a policy into its sections.
	[[nodiscard]] section_map split_sections(RoutingPolicy const& policy);

	// Returns what turns one document into another, in bytes: the changed sections, the removed ones, the order and
	// the seal.
	[[nodiscard]] std::string make_delta(SealedPolicy const& base, SealedPolicy const& target);

	// Applies a delta to the document that it was made against. Fails with invalid_document when the outcome's
	// digest is not the one that the delta promises, as when the base is another document.
	[[nodiscard]] result<SealedPolicy> apply_delta(SealedPolicy const& base, std::string const& delta);

	// Returns one line for each section that differs: "+ name", "- name" or "~ name".
	[[nodiscard]] std::string describe_difference(RoutingPolicy const& before, RoutingPolicy const& after);
}
