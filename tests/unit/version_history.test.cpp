#include <catch2/catch.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	service_id const digests{"digests"};
	software_version const old_version{"v1"};
	software_version const new_version{"v1.1"};
	constexpr duration life = seconds(16);
}

TEST_CASE("the only version is known when it was alone for a stream's longest life", "[version_history]")
{
	routing::version_history history;
	history.set_in_service({{digests, {old_version}}}, at_ms(0));
	// Nothing is known of the time before the first list.
	REQUIRE_FALSE(history.only_version_since(digests, at_ms(1000) - life, at_ms(1000)));
	REQUIRE(history.only_version_since(digests, at_ms(17'000) - life, at_ms(17'000)) == old_version);
}

TEST_CASE("a version that has left counts as long as one of its streams may live", "[version_history]")
{
	routing::version_history history;
	history.note_complete_since(time_point{});
	history.set_in_service({{digests, {old_version, new_version}}}, at_ms(0));
	history.set_in_service({{digests, {new_version}}}, at_ms(5000));
	REQUIRE(history.served_since(digests, at_ms(5000), at_ms(6000)).size() == 2);
	REQUIRE_FALSE(history.only_version_since(digests, at_ms(5000), at_ms(6000)));
	REQUIRE(history.only_version_since(digests, at_ms(5001), at_ms(22'000)) == new_version);
	history.expire(at_ms(6000));
	REQUIRE(history.served_since(digests, at_ms(0), at_ms(22'000)).size() == 1);
}

TEST_CASE("after a time without observation nothing is known, until another daemon tells", "[version_history]")
{
	routing::version_history history;
	history.note_complete_since(time_point{});
	history.set_in_service({{digests, {old_version}}}, at_ms(0));
	history.note_gap(at_ms(30'000));
	REQUIRE_FALSE(history.only_version_since(digests, at_ms(20'000), at_ms(36'000)));
	history.note_complete_since(digests, at_ms(10'000));
	REQUIRE(history.only_version_since(digests, at_ms(20'000), at_ms(36'000)) == old_version);
	history.note_served(digests, new_version, at_ms(25'000));
	REQUIRE_FALSE(history.only_version_since(digests, at_ms(20'000), at_ms(36'000)));
}

// Guards against the belief that the one version in a daemon's first list was alone before: the servers of another one
// may have left just before the daemon started.
TEST_CASE("a first list tells nothing of the time before it", "[version_history]")
{
	routing::version_history history;
	history.set_in_service({{digests, {new_version}}}, at_ms(0));
	REQUIRE_FALSE(history.only_version_since(digests, at_ms(0) - life, at_ms(0)));
	REQUIRE_FALSE(history.only_version_since(digests, at_ms(15'900) - life, at_ms(15'900)));
	REQUIRE(history.only_version_since(digests, at_ms(16'000) - life, at_ms(16'000)) == new_version);
}
