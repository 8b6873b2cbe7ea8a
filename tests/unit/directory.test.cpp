#include <catch2/catch.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::server_role;

namespace
{
	std::size_t count_candidates(routing::directory const& servers, time_point now)
	{
		return servers.candidates(service_id("summaries"), server_role::decode, now).size();
	}
}

TEST_CASE("a leaving server is no candidate, even if it is the only server", "[directory]")
{
	routing::directory servers;
	auto entry = make_server("d1", server_role::decode);
	servers.put(entry);
	REQUIRE(count_candidates(servers, at_ms(1)) == 1);
	entry.leaving = true;
	REQUIRE(servers.put(entry));
	REQUIRE(count_candidates(servers, at_ms(3)) == 0);
}

TEST_CASE("a server whose entry was removed is a last resort until the grace period ends", "[directory]")
{
	routing::directory servers;
	servers.put(make_server("d1", server_role::decode));
	servers.put(make_server("d2", server_role::decode));
	servers.remove(server_id("d1"), at_ms(100));
	REQUIRE(count_candidates(servers, at_ms(101)) == 1);
	servers.remove(server_id("d2"), at_ms(100));
	REQUIRE(count_candidates(servers, at_ms(101)) == 2);
	REQUIRE(count_candidates(servers, at_ms(1301)) == 0);
	REQUIRE(servers.expire(at_ms(1301)).size() == 2);
	REQUIRE(servers.all().empty());
}

TEST_CASE("entries that expired during a registry outage have time to return", "[directory]")
{
	routing::directory servers;
	servers.put(make_server("d1", server_role::decode));
	servers.note_registry_return(at_ms(10'000));
	servers.replace({}, at_ms(10'000));
	REQUIRE(count_candidates(servers, at_ms(12'200)) == 1);
	REQUIRE(count_candidates(servers, at_ms(12'400)) == 0);
}

TEST_CASE("a server that restarts with the same id gets a new record", "[directory]")
{
	routing::directory servers;
	auto entry = make_server("d1", server_role::decode);
	servers.put(entry);
	auto const before = servers.find(entry.id);
	before->load.begin_call(token_count(10), token_count(10), at_ms(1));
	entry.started = incarnation(2);
	REQUIRE(servers.put(entry));
	REQUIRE(servers.find(entry.id) != before);
	REQUIRE(servers.find(entry.id)->load.own().running == 0);
}

TEST_CASE("put reports no change for an unchanged entry", "[directory]")
{
	routing::directory servers;
	auto const entry = make_server("d1", server_role::decode);
	REQUIRE(servers.put(entry));
	REQUIRE_FALSE(servers.put(entry));
}
