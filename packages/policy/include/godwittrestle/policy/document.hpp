#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/policy/policy.pb.h>

namespace godwittrestle::policy
{
	// Maximum number of ancestors that a sealed document lists. A daemon that missed some documents looks for the one
	// that it has in force among the ancestors of a later document. If it is not listed there, the later document
	// belongs to another history, or the daemon is more than this number of revisions behind.
	inline constexpr int max_ancestors = 64;

	// Maximum size of a document, both as JSON and serialized. The configuration service stores values of up to a
	// megabyte.
	inline constexpr std::size_t max_document_bytes = 1'000'000;

	// Parses a policy from the JSON that operators write. Fails with invalid_document when the text is too long, a
	// field is unknown or a value has the wrong type. Does not check the values; validate() does.
	[[nodiscard]] result<RoutingPolicy> parse_policy(std::string_view json);

	// Parses a sealed document from the JSON that the configuration service stores. Fails like parse_policy().
	[[nodiscard]] result<SealedPolicy> parse_sealed(std::string_view json);

	// Returns a document as JSON, with the field names of the schema and with fields that have their default value;
	// empty when that fails.
	[[nodiscard]] std::string to_json(google::protobuf::Message const& document);

	// Computes the digest of the document's content; ignores its digest field.
	[[nodiscard]] std::string compute_digest(SealedPolicy const& document);

	// The document and versions that a new document follows.
	struct seal_base
	{
		// The document in force; a null pointer for the first document of a history.
		SealedPolicy const* parent = nullptr;
		// The version that the parent was published as; 0 without a parent.
		platform_version parent_version;
		// Versions published after the parent, oldest first. All of them were refused.
		std::vector<Ancestor> skipped;
	};

	// Seals a valid policy as the successor of a document. The result comes into force only when it is published as the
	// version right after its base_version: the last skipped version, or the parent's version when none is skipped.
	// Every daemon refuses a document that is published as any other version.
	[[nodiscard]] SealedPolicy seal(RoutingPolicy policy, seal_base const& base);

	// Returns whether a document was published as another version than the one right after its base_version. Such a
	// document never came into force.
	[[nodiscard]] bool is_out_of_turn(Ancestor const& published) noexcept;

	// Checks a sealed document without knowledge of other documents: its digest, its size, its ancestors and skipped
	// versions, and its policy. Fails with invalid_document.
	[[nodiscard]] result<void> check_sealed(SealedPolicy const& document);
}
