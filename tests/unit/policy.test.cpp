#include <fstream>
#include <iterator>

#include <catch2/catch.hpp>

#include "support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	std::string read_example(std::string const& name)
	{
		std::ifstream file(std::string(EXAMPLE_POLICIES) + "/" + name);
		return {std::istreambuf_iterator<char>(file), {}};
	}

	struct fault_row
	{
		char const* name;
		std::function<void(policy::RoutingPolicy&)> change;
		char const* path;
	};
}

TEST_CASE("the example policies are valid and keep their content when converted to JSON and back", "[policy]")
{
	for (auto const* const name : {"malinis.json", "cascade.json"})
	{
		CAPTURE(name);
		auto const is_unchanged = handle_failure(
			[&]() -> result<bool>
			{
				BOOST_LEAF_AUTO(document, policy::parse_policy(read_example(name)));
				BOOST_LEAF_AUTO(again, policy::parse_policy(policy::to_json(document)));
				return policy::validate(document).empty() && document.SerializeAsString() == again.SerializeAsString();
			},
			[](failure const&) { return false; });
		REQUIRE(is_unchanged);
	}
}

TEST_CASE("each fault is reported with its path and a remedy", "[policy]")
{
	std::vector<fault_row> const table{
		{"no service", [](auto& document) { document.clear_services(); }, "services"},
		{"no account", [](auto& document) { document.clear_accounts(); }, "accounts"},
		{"bad name", [](auto& document) { document.mutable_pools(0)->set_name("a b"); }, "pools[0].name"},
		{"no role", [](auto& document) { document.mutable_pools(0)->clear_role(); }, "pools[0].role"},
		{"unknown pool", [](auto& document) { document.mutable_services(0)->set_plain_pool("x"); },
			"services[0].plain_pool"},
		{"no deadline", [](auto& document) { document.mutable_services(0)->clear_deadline_ms(); },
			"services[0].deadline_ms"},
		{"no route", [](auto& document) { document.mutable_services(0)->clear_routes(); }, "services[0].routes"},
		{"bad prefix", [](auto& document) { document.mutable_services(0)->mutable_routes(0)->set_path_prefix("x"); },
			"services[0].routes[0].path_prefix"},
		{"two kinds", [](auto& document) { document.mutable_services(0)->set_decode_pool("desk"); }, "services[0]"},
		{"bad token", [](auto& document) { document.mutable_accounts(0)->set_token_sha256("12"); },
			"accounts[0].token_sha256"},
		{"same name", [](auto& document) { *document.add_accounts() = document.accounts(0); }, "accounts[1].name"},
	};
	REQUIRE(policy::validate(small_policy()).empty());
	for (auto const& row : table)
	{
		CAPTURE(row.name);
		auto document = small_policy();
		row.change(document);
		auto const faults = policy::validate(document);
		REQUIRE_FALSE(faults.empty());
		REQUIRE(faults.front().path == row.path);
		REQUIRE_FALSE(faults.front().remedy.empty());
	}
}

TEST_CASE("parsing rejects unknown fields, wrong types and malformed JSON", "[policy]")
{
	for (auto const* const text : {"{\"pols\": []}", "{\"pools\": 3}", "[", "{\"pools\": [{\"role\": \"COOK\"}]}"})
	{
		CAPTURE(text);
		auto const error = failure_of([&] { return policy::parse_policy(text); });
		REQUIRE(error.kind == error_kind::invalid_document);
		REQUIRE_FALSE(error.remedy.empty());
	}
}

TEST_CASE("a delta produces the later document and fails on any other base", "[policy]")
{
	auto const first = policy::seal(small_policy(1), {});
	auto const second = policy::seal(small_policy(2), {&first, platform_version(1), {}});
	auto const delta = policy::make_delta(first, second);
	REQUIRE(policy::apply_delta(first, delta).value().digest() == second.digest());
	auto larger = small_policy(9);
	*larger.add_accounts() = larger.accounts(0);
	larger.mutable_accounts(1)->set_name("others");
	auto const other = policy::seal(larger, {});
	for (auto const& [base, changes] :
		{std::pair(second, delta), std::pair(other, delta), std::pair(first, std::string("x"))})
	{
		auto const error = failure_of([&] { return policy::apply_delta(base, changes); });
		REQUIRE(error.kind == error_kind::invalid_document);
		REQUIRE_FALSE(error.message.empty());
	}
}

TEST_CASE("a document lists its latest 64 ancestors", "[policy]")
{
	auto document = policy::seal(small_policy(1), {});
	for (std::uint64_t version = 1; version <= 100; ++version)
	{
		document = policy::seal(small_policy(1), {&document, platform_version(version), {}});
	}
	REQUIRE(document.revision() == 101);
	REQUIRE(document.ancestors_size() == policy::max_ancestors);
	REQUIRE(failure_of([&] { return policy::check_sealed(document); }).message.empty());
}
