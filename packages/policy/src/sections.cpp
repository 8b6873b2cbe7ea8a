#include <godwittrestle/policy/sections.hpp>

#include <algorithm>
#include <iterator>
#include <string_view>

#include <fmt/format.h>

#include <godwittrestle/policy/document.hpp>

namespace godwittrestle::policy
{
	namespace
	{
		template <typename Elements>
		void add_sections(std::string_view list, Elements const& elements, section_map& sections)
		{
			std::ranges::for_each(elements, [&](auto const& element)
				{ sections.emplace(fmt::format("{}/{}", list, element.name()), element.SerializeAsString()); });
		}

		// Parses all sections named "list/..." into the repeated field.
		template <typename Elements>
		void parse_list(std::string_view list, section_map const& sections, Elements& elements)
		{
			auto const prefix = fmt::format("{}/", list);
			for (auto at = sections.lower_bound(prefix); at != sections.end() && at->first.starts_with(prefix); ++at)
			{
				elements.Add()->ParseFromString(at->second);
			}
		}

		RoutingPolicy join_sections(section_map const& sections)
		{
			RoutingPolicy policy;
			parse_list("regions", sections, *policy.mutable_regions());
			parse_list("pools", sections, *policy.mutable_pools());
			parse_list("services", sections, *policy.mutable_services());
			parse_list("accounts", sections, *policy.mutable_accounts());
			return policy;
		}

		bool has_ancestor(SealedPolicy const& document, std::string const& digest)
		{
			return std::ranges::any_of(
				document.ancestors(), [&](Ancestor const& ancestor) { return ancestor.digest() == digest; });
		}
	}

	section_map split_sections(RoutingPolicy const& policy)
	{
		section_map sections;
		add_sections("regions", policy.regions(), sections);
		add_sections("pools", policy.pools(), sections);
		add_sections("services", policy.services(), sections);
		add_sections("accounts", policy.accounts(), sections);
		return sections;
	}

	std::string make_delta(SealedPolicy const& base, SealedPolicy const& target)
	{
		auto const before = split_sections(base.policy());
		auto const after = split_sections(target.policy());
		SectionDelta delta;
		for (auto const& [name, content] : after)
		{
			auto const old = before.find(name);
			if (old == before.end() || old->second != content)
			{
				auto* const section = delta.add_changed();
				section->set_name(name);
				section->set_content(content);
			}
		}
		for (auto const& [name, content] : before)
		{
			if (!after.contains(name))
			{
				delta.add_removed(name);
			}
		}
		delta.set_revision(target.revision());
		delta.set_base_version(target.base_version());
		std::ranges::copy_if(target.ancestors(),
			google::protobuf::RepeatedFieldBackInserter(delta.mutable_new_ancestors()),
			[&](Ancestor const& ancestor) { return !has_ancestor(base, ancestor.digest()); });
		*delta.mutable_skipped() = target.skipped();
		delta.set_digest(target.digest());
		return delta.SerializeAsString();
	}

	result<SealedPolicy> apply_delta(SealedPolicy const& base, std::string const& delta)
	{
		SectionDelta changes;
		if (!changes.ParseFromString(delta))
		{
			return fail(error_kind::invalid_document, "", "the delta can't be parsed", "ask for the whole document");
		}
		auto sections = split_sections(base.policy());
		std::ranges::for_each(changes.removed(), [&](std::string const& name) { sections.erase(name); });
		std::ranges::for_each(changes.changed(),
			[&](Section const& section) { sections.insert_or_assign(section.name(), section.content()); });
		SealedPolicy target;
		*target.mutable_policy() = join_sections(sections);
		target.set_revision(changes.revision());
		target.set_base_version(changes.base_version());
		*target.mutable_ancestors() = changes.new_ancestors();
		auto const kept = std::min(base.ancestors_size(), max_ancestors - target.ancestors_size());
		std::for_each_n(base.ancestors().begin(), std::max(kept, 0),
			[&](Ancestor const& ancestor) { *target.add_ancestors() = ancestor; });
		*target.mutable_skipped() = changes.skipped();
		target.set_digest(compute_digest(target));
		if (target.digest() != changes.digest())
		{
			return fail(error_kind::invalid_document, "digest", "the delta belongs to another document",
				"ask for the whole document");
		}
		return target;
	}

	std::string describe_difference(RoutingPolicy const& before, RoutingPolicy const& after)
	{
		auto const old_sections = split_sections(before);
		auto const new_sections = split_sections(after);
		std::string lines;
		for (auto const& [name, content] : new_sections)
		{
			auto const old = old_sections.find(name);
			if (old == old_sections.end())
			{
				lines += fmt::format("+ {}\n", name);
			}
			else if (old->second != content)
			{
				lines += fmt::format("~ {}\n", name);
			}
		}
		for (auto const& [name, content] : old_sections)
		{
			if (!new_sections.contains(name))
			{
				lines += fmt::format("- {}\n", name);
			}
		}
		return lines;
	}
}
