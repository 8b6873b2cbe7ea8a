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
	constexpr std::uint64_t now_ms = 1'700'000'000'000;

	routing::registered_server started_before(std::string id, software_version const& version, std::uint64_t age_ms)
	{
		auto server = make_server(std::move(id), routing::server_role::decode, digests.str());
		server.version = version;
		server.started = incarnation(now_ms - age_ms);
		return server;
	}
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

TEST_CASE("a list whose servers have all been there for long tells of the time before", "[version_history]")
{
	constexpr std::uint64_t old_ms = 60'000;
	auto const is_known = [](std::vector<routing::registered_server> const& servers)
	{
		routing::version_history history;
		auto const changed = routing::changed_services(servers, life, now_ms);
		history.note_first_list(servers, changed, life, at_ms(0));
		history.set_in_service({{digests, {servers.front().version}}}, at_ms(0));
		return history.only_version_since(digests, at_ms(0) - life, at_ms(0)).has_value();
	};
	auto const old_server = started_before("a", old_version, old_ms);
	REQUIRE(is_known({old_server, started_before("b", old_version, old_ms)}));
	REQUIRE_FALSE(is_known({old_server, started_before("b", old_version, 20'000)}));
	REQUIRE_FALSE(is_known({old_server, started_before("b", new_version, old_ms)}));
	auto unknown_start = old_server;
	unknown_start.started = incarnation(0);
	REQUIRE_FALSE(is_known({unknown_start}));
	auto future_start = old_server;
	future_start.started = incarnation(now_ms + 1);
	REQUIRE_FALSE(is_known({future_start}));
	auto leaving = old_server;
	leaving.leaving = true;
	REQUIRE_FALSE(is_known({leaving}));
}
