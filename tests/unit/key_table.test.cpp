#include <catch2/catch.hpp>

#include <godwittrestle/decide/key_table.hpp>

using namespace godwittrestle;
using namespace godwittrestle::decide;

namespace
{
	account_id const crews("crews");

	key_table make_table(std::uint64_t budget = 1000)
	{
		return {instance_id("d1"), incarnation(7), "secret", byte_count(budget)};
	}

	wire::KeyedOutcome make_result(std::string body)
	{
		wire::KeyedOutcome result;
		result.set_outcome(wire::KeyedOutcome::RAN);
		result.set_body(std::move(body));
		return result;
	}
}

TEST_CASE("a key contains its issuer and is genuine only unchanged and for its account", "[key_table]")
{
	auto table = make_table();
	auto const key = table.issue(crews, time_point(seconds(5)));
	auto parts = parse_key(key);
	REQUIRE(parts);
	REQUIRE(parts->issuer == instance_id("d1"));
	REQUIRE(table.is_genuine(*parts, crews));
	REQUIRE_FALSE(table.is_genuine(*parts, account_id("other")));
	parts->expires += 1;
	REQUIRE_FALSE(table.is_genuine(*parts, crews));
}

TEST_CASE("malformed keys are rejected", "[key_table]")
{
	auto const key = make_table().issue(crews, {});
	for (auto const& text : {std::string{}, std::string("k1"), std::string("k1~d1~x~0~0~00"), key + "~more",
			 "k2" + key.substr(2), key.substr(0, key.size() - 1)})
	{
		CAPTURE(text);
		REQUIRE_FALSE(parse_key(text));
	}
}

TEST_CASE("the result of a call whose answer was dropped still states that the call ran", "[key_table]")
{
	auto table = make_table(10);
	std::ignore = table.issue(crews, {});
	std::ignore = table.issue(crews, {});
	for (std::uint64_t sequence : {0U, 1U})
	{
		table.begin(sequence, 1);
		table.finish(sequence, make_result("12345678"));
	}
	REQUIRE(table.result_of(0).outcome() == wire::KeyedOutcome::RAN);
	REQUIRE(table.result_of(0).answer_dropped());
	REQUIRE_FALSE(table.result_of(1).answer_dropped());
	REQUIRE(table.state_of(0) == key_table::state::finished);
}

TEST_CASE("an imported table keeps the used, voided and unused states of the keys", "[key_table]")
{
	auto table = make_table();
	for (auto count = 0; count < 3; ++count)
	{
		std::ignore = table.issue(crews, {});
	}
	table.begin(0, 11);
	table.finish(0, make_result("done"));
	table.begin(1, 12);
	wire::KeyedOutcome voided;
	voided.set_outcome(wire::KeyedOutcome::NOT_RUN);
	table.finish(1, voided);
	auto const copy = key_table::import_table(table.export_table(), byte_count(1000));
	REQUIRE(copy.result_of(0).body() == "done");
	REQUIRE(copy.is_mismatch(0, 99));
	REQUIRE(copy.state_of(1) == key_table::state::voided);
	REQUIRE(copy.state_of(2) == key_table::state::unused);
	REQUIRE(copy.state_of(3) == key_table::state::voided);
}
