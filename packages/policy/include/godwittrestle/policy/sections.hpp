#pragma once

#include <map>
#include <string>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/policy/policy.pb.h>

namespace godwittrestle::policy
{
	// The sections of a policy, the units in which documents are compared and transferred. Each region, pool, service
	// and account is a section. The key is its name, such as "pools/NAME"; the value is the serialized message.
	using section_map = std::map<std::string, std::string>;

	// Splits a policy into its sections.
	[[nodiscard]] section_map split_sections(RoutingPolicy const& policy);

	// Returns a serialized SectionDelta that turns one document into another: the changed and removed sections, and the
	// seal of the target (revision, base_version, ancestors, skipped versions and digest).
	[[nodiscard]] std::string make_delta(SealedPolicy const& base, SealedPolicy const& target);

	// Applies a delta to the document that it was made from. Fails with invalid_document when the delta can't be parsed
	// or the digest of the result differs from the one in the delta, as it does for any other base.
	[[nodiscard]] result<SealedPolicy> apply_delta(SealedPolicy const& base, std::string const& delta);

	// Returns one line for each section that differs: "+ name" for an added one, "- name" for a removed one and
	// "~ name" for a changed one.
	[[nodiscard]] std::string describe_difference(RoutingPolicy const& before, RoutingPolicy const& after);
}
