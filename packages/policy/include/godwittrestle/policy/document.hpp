#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/policy/policy.pb.h>

namespace godwittrestle::policy
{
	// Ancestors that a sealed document names, so that a daemon which missed some documents can tell a later one of
	// its own line from one of another line.
	inline constexpr int max_ancestors = 64;

	// Largest sealed document: the configuration service holds values up to a megabyte.
	inline constexpr std::size_t max_document_bytes = 1'000'000;

	// Parses the JSON form that operators write. Unknown fields and wrong types are errors of kind
	// invalid_document; the document is not validated further (see validate).
	[[nodiscard]] result<RoutingPolicy> parse_policy(std::string_view json);

	// Parses the JSON form of a sealed document, as the configuration service holds it.
	[[nodiscard]] result<SealedPolicy> parse_sealed(std::string_view json);

	// Returns the JSON form, with every field's name as in the schema.
	[[nodiscard]] std::string to_json(google::protobuf::Message const& document);

	// Returns the digest that belongs to the document's content, whatever its digest field says.
	[[nodiscard]] std::string compute_digest(SealedPolicy const& document);

	// What a new document is sealed on.
	struct seal_base
	{
		// The document in force; nothing for the first document of a line.
		SealedPolicy const* parent = nullptr;
		// The platform version that the parent was published as.
		platform_version parent_version;
		// Versions published since then, all of them refused; oldest first.
		std::vector<Ancestor> skipped;
	};

	// Seals a valid policy as the successor of a document. Published as the version right after the base, it comes
	// into force; published as any other version, every daemon refuses it.
	[[nodiscard]] SealedPolicy seal(RoutingPolicy policy, seal_base const& base);

	// Tells whether a document's own record shows that it was published out of turn.
	[[nodiscard]] bool is_out_of_turn(Ancestor const& published) noexcept;

	// Checks what a document alone can show: its digest, its size, its content and its line.
	[[nodiscard]] result<void> check_sealed(SealedPolicy const& document);
}
