#include <godwittrestle/policy/document.hpp>

#include <algorithm>
#include <functional>
#include <utility>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/util/json_util.h>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/policy/validate.hpp>

namespace godwittrestle::policy
{
	namespace
	{
		template <typename Message>
		result<Message> parse_json(std::string_view json)
		{
			if (json.size() > max_document_bytes)
			{
				return fail(error_kind::invalid_document, "", "the document is larger than a megabyte",
					"split the accounts over fewer services or shorten names");
			}
			Message message;
			auto const status = google::protobuf::util::JsonStringToMessage({json.data(), json.size()}, &message);
			if (!status.ok())
			{
				return fail(error_kind::invalid_document, "", std::string(status.message()),
					"correct the JSON; field names are those of docs/OPERATING.md");
			}
			return message;
		}

		std::string canonical_bytes(google::protobuf::Message const& message)
		{
			std::string bytes;
			google::protobuf::io::StringOutputStream stream(&bytes);
			google::protobuf::io::CodedOutputStream coded(&stream);
			coded.SetSerializationDeterministic(true);
			message.SerializeToCodedStream(&coded);
			coded.Trim();
			return bytes;
		}

		// Sorts the lists by name, so that the digest and the sections do not depend on the order of the elements.
		void sort_by_name(RoutingPolicy& policy)
		{
			auto const name = [](auto const& element) -> std::string const&
			{
				return element.name();
			};
			std::ranges::sort(*policy.mutable_regions(), std::less{}, name);
			std::ranges::sort(*policy.mutable_pools(), std::less{}, name);
			std::ranges::sort(*policy.mutable_services(), std::less{}, name);
			std::ranges::sort(*policy.mutable_accounts(), std::less{}, name);
		}

		// Returns whether the document lists every version after its parent up to its base_version, and
		// is_out_of_turn() holds for each of them. Otherwise a document could skip a version that came into force,
		// and a daemon that missed that version would accept the document.
		bool are_skipped_versions_valid(SealedPolicy const& document)
		{
			auto expected = document.ancestors().empty() ? 0 : document.ancestors(0).platform_version();
			auto const is_next_refused = [&](Ancestor const& skipped)
			{
				++expected;
				return skipped.platform_version() == expected && is_out_of_turn(skipped);
			};
			return std::ranges::all_of(document.skipped(), is_next_refused) && document.base_version() == expected;
		}

		Ancestor make_ancestor(SealedPolicy const& document, platform_version version)
		{
			Ancestor ancestor;
			ancestor.set_platform_version(version.count());
			ancestor.set_base_version(document.base_version());
			ancestor.set_digest(document.digest());
			return ancestor;
		}
	}

	result<RoutingPolicy> parse_policy(std::string_view json)
	{
		return parse_json<RoutingPolicy>(json);
	}

	result<SealedPolicy> parse_sealed(std::string_view json)
	{
		return parse_json<SealedPolicy>(json);
	}

	std::string to_json(google::protobuf::Message const& document)
	{
		google::protobuf::util::JsonPrintOptions options;
		options.add_whitespace = true;
		options.preserve_proto_field_names = true;
		options.always_print_primitive_fields = true;
		std::string json;
		auto const status = google::protobuf::util::MessageToJsonString(document, &json, options);
		return status.ok() ? json : std::string{};
	}

	std::string compute_digest(SealedPolicy const& document)
	{
		SealedPolicy content = document;
		content.clear_digest();
		return sha256_hex(canonical_bytes(content));
	}

	SealedPolicy seal(RoutingPolicy policy, seal_base const& base)
	{
		SealedPolicy sealed;
		sort_by_name(policy);
		*sealed.mutable_policy() = std::move(policy);
		sealed.set_revision(1);
		sealed.set_base_version(base.parent_version.count());
		if (base.parent != nullptr)
		{
			sealed.set_revision(base.parent->revision() + 1);
			*sealed.add_ancestors() = make_ancestor(*base.parent, base.parent_version);
			auto const kept = std::min(base.parent->ancestors_size(), max_ancestors - 1);
			std::for_each_n(base.parent->ancestors().begin(), kept,
				[&](Ancestor const& ancestor) { *sealed.add_ancestors() = ancestor; });
		}
		if (!base.skipped.empty())
		{
			sealed.set_base_version(base.skipped.back().platform_version());
			std::ranges::copy(base.skipped, google::protobuf::RepeatedFieldBackInserter(sealed.mutable_skipped()));
		}
		sealed.set_digest(compute_digest(sealed));
		return sealed;
	}

	bool is_out_of_turn(Ancestor const& published) noexcept
	{
		return published.base_version() + 1 != published.platform_version();
	}

	result<void> check_sealed(SealedPolicy const& document)
	{
		if (document.digest().empty())
		{
			return fail(
				error_kind::invalid_document, "digest", "the document is not sealed", "run 'godwittrestle seal' on it");
		}
		if (document.digest() != compute_digest(document))
		{
			return fail(error_kind::invalid_document, "digest", "the digest does not belong to the content",
				"seal the document again instead of editing the sealed form");
		}
		if (document.ByteSizeLong() > max_document_bytes)
		{
			return fail(error_kind::invalid_document, "", "the document is larger than a megabyte", "shorten it");
		}
		if (std::ranges::any_of(document.ancestors(), is_out_of_turn) || !are_skipped_versions_valid(document))
		{
			return fail(error_kind::invalid_document, "ancestors",
				"the document does not follow from the one in force at its base version",
				"rebase it: run 'godwittrestle seal' against a daemon again");
		}
		auto const faults = validate(document.policy());
		if (!faults.empty())
		{
			return fail(
				error_kind::invalid_document, faults.front().path, faults.front().message, faults.front().remedy);
		}
		return {};
	}
}
