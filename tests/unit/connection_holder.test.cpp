#include <catch2/catch.hpp>

#include <optional>
#include <string_view>

#include "connection_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::routing;
using namespace godwittrestle::testing;

namespace
{
	// A stated start beside an entry that states start 5.
	struct holder_case
	{
		std::string_view name;
		server_role role;
		std::uint64_t entry_start;
		std::optional<incarnation> stated;
		connection_holder holder;
		// The process that is known to have written the entry by other means.
		std::optional<incarnation> writer = std::nullopt;
	};

	// A stream that may or may not be sent to a server whose entry is of the old version.
	struct send_case
	{
		connection_holder holder = connection_holder::unknown;
		std::optional<software_version> origin;
		bool has_several_versions = false;
		bool is_start_doubtful = false;
		bool may_send = false;
	};
}

TEST_CASE("the holder of a connection is compared with the entry's process", "[connection_holder]")
{
	using enum connection_holder;
	constexpr auto decode = server_role::decode;
	auto const cases = {
		holder_case{"the entry's process", decode, 5, incarnation(5), listed},
		holder_case{"a process before", decode, 5, incarnation(4), earlier},
		holder_case{"a process after", decode, 5, incarnation(6), later},
		holder_case{"no start stated", decode, 5, std::nullopt, unknown},
		holder_case{"prefill engine", server_role::prefill, 5, incarnation(4), earlier},
		holder_case{"an entry without a start", decode, 0, incarnation(6), later},
		holder_case{"an entry without a start, none stated", decode, 0, std::nullopt, unknown},
		holder_case{"an entry without a start, of a known writer", decode, 0, incarnation(6), listed, incarnation(6)},
		holder_case{"an entry without a start, of another writer", decode, 0, incarnation(6), later, incarnation(5)},
		holder_case{"an entry without a start, no holder known", decode, 0, std::nullopt, unknown, incarnation(5)},
		holder_case{
			"a start that no report states, of a known writer", decode, 5, incarnation(9), listed, incarnation(9)},
		holder_case{
			"a start that some report states, of a known writer", decode, 5, incarnation(5), listed, incarnation(9)},
		holder_case{"plain server", server_role::plain, 5, std::nullopt, listed},
		holder_case{"plain server that states another start", server_role::plain, 5, incarnation(6), listed},
	};
	for (auto const& each : cases)
	{
		CAPTURE(each.name);
		REQUIRE(compare_holder(make_entry(each.entry_start, old_version, each.role), each.stated, each.writer) ==
				each.holder);
	}
}

TEST_CASE("a stream is sent only where its version is certain", "[connection_holder]")
{
	using enum connection_holder;
	std::optional<software_version> const none;
	std::optional const same = old_version;
	std::optional const other = new_version;
	// A holder that is known makes the other terms irrelevant; see the test below.
	auto const cases = {
		send_case{listed, none, true, true, true},
		send_case{listed, same, true, true, true},
		send_case{listed, other, false, false, false},
		send_case{earlier, none, false, false, false},
		send_case{earlier, same, false, false, false},
		send_case{earlier, other, false, false, false},
		send_case{later, none, true, true, true},
		send_case{later, same, false, false, false},
		send_case{later, other, false, false, false},
		send_case{unknown, none, false, false, true},
		send_case{unknown, none, true, false, true},
		send_case{unknown, none, false, true, false},
		send_case{unknown, none, true, true, false},
		send_case{unknown, same, false, false, true},
		send_case{unknown, same, true, false, false},
		send_case{unknown, same, false, true, false},
		send_case{unknown, same, true, true, false},
		send_case{unknown, other, false, false, false},
		send_case{unknown, other, true, true, false},
	};
	auto const entry = make_entry(5, old_version);
	for (auto const& each : cases)
	{
		CAPTURE(to_string(each.holder), each.origin.has_value(), each.has_several_versions, each.is_start_doubtful);
		stream_terms const terms{each.origin, each.has_several_versions, each.is_start_doubtful};
		REQUIRE(may_send_stream(entry, each.holder, terms) == each.may_send);
	}
}

TEST_CASE("signs and other versions do not matter where the holder is known", "[connection_holder]")
{
	using enum connection_holder;
	auto const entry = make_entry(5, old_version);
	for (auto const holder : {listed, earlier, later})
	{
		for (auto const& origin : {std::optional<software_version>(), std::optional(old_version)})
		{
			auto const expected = may_send_stream(entry, holder, {origin, false, false});
			REQUIRE(may_send_stream(entry, holder, {origin, true, false}) == expected);
			REQUIRE(may_send_stream(entry, holder, {origin, false, true}) == expected);
			REQUIRE(may_send_stream(entry, holder, {origin, true, true}) == expected);
		}
	}
}
