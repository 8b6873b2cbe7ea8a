#include <catch2/catch.hpp>

#include <godwittrestle/decide/configuration.hpp>
#include <godwittrestle/decide/event_context.hpp>

#include "support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::decide;
using namespace godwittrestle::testing;

namespace
{
	// A change to the second document, the version under which the document is published, and whether it then replaces
	// the first document.
	struct publication
	{
		char const* name;
		std::uint64_t version;
		std::function<void(policy::SealedPolicy&)> change;
		bool is_in_force;
	};
}

TEST_CASE("a document comes into force depending only on its content and its version", "[configuration]")
{
	auto const first = policy::seal(small_policy(1), {});
	auto const second = policy::seal(small_policy(2), {&first, platform_version(1), {}});
	std::vector<publication> const table{
		{"published right after its base", 2, [](policy::SealedPolicy&) {}, true},
		{"published one version late", 3, [](policy::SealedPolicy&) {}, false},
		{"published as the version in force", 1, [](policy::SealedPolicy&) {}, false},
		{"changed after sealing", 2, [](policy::SealedPolicy& document) { document.set_revision(9); }, false},
		{"without a digest", 2, [](policy::SealedPolicy& document) { document.clear_digest(); }, false},
		{"invalid content", 2,
			[](policy::SealedPolicy& document)
			{
				document.mutable_policy()->mutable_services(0)->set_deadline_ms(0);
				document.set_digest(policy::compute_digest(document));
			},
			false},
		{"not a descendant of the document in force", 2,
			[](policy::SealedPolicy& document)
			{
				document.mutable_ancestors(0)->set_digest(std::string(64, '0'));
				document.set_digest(policy::compute_digest(document));
			},
			false},
	};
	for (auto const& row : table)
	{
		CAPTURE(row.name);
		mechanism_set const mechanisms;
		configuration config(mechanisms);
		context_fixture fixture;
		auto context = fixture.at({});
		REQUIRE(config.offer(platform_version(1), first, context));
		auto document = second;
		row.change(document);
		REQUIRE(config.offer(platform_version(row.version), document, context) == row.is_in_force);
		REQUIRE(config.version() == platform_version(row.is_in_force ? 2 : 1));
		REQUIRE(config.refused().empty() == (row.is_in_force || row.version == 1));
	}
}

TEST_CASE("a new document may skip refused versions but no version that was in force", "[configuration]")
{
	auto const first = policy::seal(small_policy(1), {});
	auto const second = policy::seal(small_policy(2), {&first, platform_version(1), {}});
	mechanism_set const mechanisms;
	configuration config(mechanisms);
	context_fixture fixture;
	auto context = fixture.at({});
	REQUIRE(config.offer(platform_version(1), first, context));
	REQUIRE(config.offer(platform_version(2), second, context));
	auto const sibling = policy::seal(small_policy(3), {&first, platform_version(1), {}});
	REQUIRE_FALSE(config.offer(platform_version(3), sibling, context));
	policy::seal_base base{&second, platform_version(2), {config.refused().front().published}};
	REQUIRE(config.offer(platform_version(4), policy::seal(small_policy(4), base), context));

	// A document that falsely lists version 2 as refused is refused even by a daemon that never received version 2.
	policy::Ancestor claimed;
	claimed.set_platform_version(2);
	claimed.set_base_version(1);
	configuration behind(mechanisms);
	REQUIRE(behind.offer(platform_version(1), first, context));
	policy::seal_base const false_base{&first, platform_version(1), {claimed}};
	REQUIRE_FALSE(behind.offer(platform_version(3), policy::seal(small_policy(5), false_base), context));
}

TEST_CASE("a peer with an earlier document receives only the changes", "[configuration]")
{
	auto const first = policy::seal(small_policy(1), {});
	auto const second = policy::seal(small_policy(2), {&first, platform_version(1), {}});
	mechanism_set const mechanisms;
	configuration ahead(mechanisms);
	configuration behind(mechanisms);
	context_fixture fixture;
	auto context = fixture.at({});
	REQUIRE(ahead.offer(platform_version(1), first, context));
	REQUIRE(behind.offer(platform_version(1), first, context));
	REQUIRE(ahead.offer(platform_version(2), second, context));
	wire::ConfigPull pull;
	pull.set_have_digest(behind.digest());
	auto const& push = ahead.answer(pull);
	REQUIRE(push.document().empty());
	REQUIRE(behind.handle(push, context));
	REQUIRE(behind.digest() == second.digest());

	configuration blank(mechanisms);
	REQUIRE_FALSE(blank.handle(push, context));
	pull.clear_have_digest();
	REQUIRE(blank.handle(ahead.answer(pull), context));
}
