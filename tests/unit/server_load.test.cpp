#include <catch2/catch.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::server_role;

TEST_CASE("a paused server gets no calls, then one call, then all calls", "[load]")
{
	routing::server_load load;
	load.note_pause(at_ms(1000));
	REQUIRE(load.is_paused(at_ms(0)));
	REQUIRE(load.paused_for(at_ms(400)) == milliseconds(600));
	REQUIRE(load.is_paused(at_ms(999)));
	REQUIRE_FALSE(load.is_paused(at_ms(1000)));
	auto const first = load.begin_call({}, {}, at_ms(1001));
	REQUIRE(load.is_paused(at_ms(1002)));
	load.end_call(first);
	REQUIRE_FALSE(load.is_paused(at_ms(1003)));
	std::ignore = load.begin_call({}, {}, at_ms(1004));
	REQUIRE_FALSE(load.is_paused(at_ms(1005)));
}

TEST_CASE("the first event of a stream after the pause ends the pause", "[load]")
{
	routing::server_load load;
	load.note_pause(at_ms(1000));
	auto const stream = load.begin_call({}, {}, at_ms(1001));
	REQUIRE(load.is_paused(at_ms(1100)));
	load.note_progress(stream, at_ms(1050));
	REQUIRE_FALSE(load.is_paused(at_ms(1100)));
}

TEST_CASE("a call from before the pause does not end the pause", "[load]")
{
	routing::server_load load;
	auto const earlier = load.begin_call({}, {}, at_ms(0));
	load.note_pause(at_ms(1000));
	load.end_call(earlier);
	REQUIRE(load.is_paused(at_ms(500)));
	std::ignore = load.begin_call({}, {}, at_ms(1001));
	load.note_pause(at_ms(3000));
	REQUIRE(load.is_paused(at_ms(2999)));
}

TEST_CASE("servers that requested a pause or announced leaving get no work", "[load]")
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
	second->has_announced_leaving = true;
	REQUIRE(place(301) == nullptr);
	REQUIRE(place(501) == first);
}

TEST_CASE("an announcement of leaving holds until the server has a new incarnation", "[load]")
{
	routing::directory servers;
	servers.put(make_server("a", server_role::plain));
	servers.find(server_id("a"))->has_announced_leaving = true;
	servers.put(make_server("a", server_role::plain));
	REQUIRE(servers.candidates(service_id("summaries"), server_role::plain, at_ms(0)).empty());
	auto restarted = make_server("a", server_role::plain);
	restarted.started = incarnation(2);
	servers.put(restarted);
	REQUIRE(servers.candidates(service_id("summaries"), server_role::plain, at_ms(0)).size() == 1);
}

TEST_CASE("silent_for grows for an unresponsive server, not for one that loses single answers", "[load]")
{
	routing::server_load load;
	std::ignore = load.begin_call({}, {}, at_ms(0));
	auto const answered = load.begin_call({}, {}, at_ms(0));
	REQUIRE(load.silent_for(at_ms(500)) == milliseconds(500));
	load.note_progress(answered, at_ms(900));
	REQUIRE(load.silent_for(at_ms(1000)) == milliseconds(100));
	load.note_heard(at_ms(1200));
	REQUIRE(load.silent_for(at_ms(1200)) == duration{});
	REQUIRE(load.silent_for(at_ms(1700)) == milliseconds(500));
}

TEST_CASE("a stream whose answer was lost holds no memory while its caller still waits", "[load]")
{
	// An engine has memory for ten streams. The answers of four of them are lost; their callers wait for 3.6 s.
	constexpr token_count needed(3600);
	constexpr duration silence_limit = milliseconds(1500);
	routing::server_load load;
	std::vector<call_id> lost;
	for (std::int64_t stream = 0; stream < 10; ++stream)
	{
		auto const call = load.begin_call({}, needed, at_ms(stream * 100), silence_limit);
		if (stream % 3 == 0)
		{
			lost.push_back(call);
		}
		for (std::int64_t event = 1; stream % 3 != 0 && event < 30; ++event)
		{
			load.note_progress(call, at_ms(stream * 100 + event * 100));
		}
	}
	REQUIRE(load.own().committed == 10UL * needed.count());
	REQUIRE(load.drop_silent(at_ms(1500)) == 0);
	REQUIRE(load.drop_silent(at_ms(2500)) == lost.size());
	REQUIRE(load.drop_silent(at_ms(2600)) == 0);
	REQUIRE(load.own().committed == 6UL * needed.count());
	// One answer was only late, not lost: the memory of its stream counts again.
	load.note_progress(lost.front(), at_ms(2700));
	load.set_committed(lost.front(), needed);
	REQUIRE(load.own().committed == 7UL * needed.count());
	std::ranges::for_each(lost, [&](call_id call) { load.end_call(call); });
	REQUIRE(load.own().committed == 6UL * needed.count());
}
