#include <catch2/catch.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::server_role;

TEST_CASE("a server that asked for a pause gets nothing, then one call, then all", "[load]")
{
	routing::server_load load;
	load.note_pause(at_ms(1000));
	REQUIRE(load.is_paused(at_ms(0)));
	REQUIRE(load.paused_for(at_ms(400)) == milliseconds(600));
	REQUIRE(load.is_paused(at_ms(999)));
	REQUIRE_FALSE(load.is_paused(at_ms(1000)));
	auto const first = load.begin({}, {}, at_ms(1001));
	REQUIRE(load.is_paused(at_ms(1002)));
	load.end(first);
	REQUIRE_FALSE(load.is_paused(at_ms(1003)));
	std::ignore = load.begin({}, {}, at_ms(1004));
	REQUIRE_FALSE(load.is_paused(at_ms(1005)));
}

TEST_CASE("a stream that has begun after the pause shows that the server takes work again", "[load]")
{
	routing::server_load load;
	load.note_pause(at_ms(1000));
	auto const stream = load.begin({}, {}, at_ms(1001));
	REQUIRE(load.is_paused(at_ms(1100)));
	load.note_prefilled(stream);
	REQUIRE_FALSE(load.is_paused(at_ms(1100)));
}

TEST_CASE("a call from before the pause says nothing about its end", "[load]")
{
	routing::server_load load;
	auto const earlier = load.begin({}, {}, at_ms(0));
	load.note_pause(at_ms(1000));
	load.end(earlier);
	REQUIRE(load.is_paused(at_ms(500)));
	std::ignore = load.begin({}, {}, at_ms(1001));
	load.note_pause(at_ms(3000));
	REQUIRE(load.is_paused(at_ms(2999)));
}

TEST_CASE("work is placed past a server that wants a pause or says that it leaves", "[load]")
{
	routing::directory servers;
	servers.put(make_server("a", server_role::plain));
	servers.put(make_server("b", server_role::plain));
	routing::placement_request request;
	request.service = service_id("summaries");
	auto const place = [&](std::int64_t at)
	{
		return routing::place_call(servers, request, constant_draw(), at_ms(at));
	};
	auto const first = servers.find(server_id("a"));
	auto const second = servers.find(server_id("b"));
	first->load.note_pause(at_ms(500));
	REQUIRE(place(0) == second);
	REQUIRE(servers.shortest_pause(request.service, at_ms(0)) == duration{});
	second->load.note_pause(at_ms(300));
	REQUIRE(place(0) == nullptr);
	REQUIRE(servers.shortest_pause(request.service, at_ms(100)) == milliseconds(200));
	REQUIRE(place(301) == second);
	second->has_said_leaving = true;
	REQUIRE(place(301) == nullptr);
	REQUIRE(place(501) == first);
}

TEST_CASE("a server that said that it leaves is forgotten with its incarnation only", "[load]")
{
	routing::directory servers;
	servers.put(make_server("a", server_role::plain));
	servers.find(server_id("a"))->has_said_leaving = true;
	servers.put(make_server("a", server_role::plain));
	REQUIRE(servers.candidates(service_id("summaries"), server_role::plain, at_ms(0)).empty());
	auto restarted = make_server("a", server_role::plain);
	restarted.started = incarnation(2);
	servers.put(restarted);
	REQUIRE(servers.candidates(service_id("summaries"), server_role::plain, at_ms(0)).size() == 1);
}
