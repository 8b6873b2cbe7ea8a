#include <catch2/catch.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::server_role;

namespace
{
	constexpr token_count prompt{5200};

	routing::placement_request make_request(std::string service = "summaries")
	{
		routing::placement_request request;
		request.service = service_id(std::move(service));
		request.data_centre = data_centre_id("north");
		request.prompt = prompt;
		request.needed = token_count(8700);
		request.capacity = token_count(96'426);
		request.idle_split_limit = milliseconds(450);
		return request;
	}

	// Four prefill and five decode engines.
	routing::directory make_engines()
	{
		routing::directory servers;
		for (auto const* name : {"p1", "p2", "p3", "p4"})
		{
			servers.put(make_server(name, server_role::prefill));
		}
		for (auto const* name : {"d1", "d2", "d3", "d4", "d5"})
		{
			servers.put(make_server(name, server_role::decode));
		}
		return servers;
	}
}

TEST_CASE("a plain call goes to the least loaded server, same data centre first", "[placement]")
{
	routing::directory servers;
	servers.put(make_server("far", server_role::plain, "desk", "south"));
	servers.put(make_server("near", server_role::plain, "desk", "north"));
	auto const request = make_request("desk");
	REQUIRE(routing::place_call(servers, request, constant_draw(), at_ms(1))->entry.id == server_id("near"));
	servers.find(server_id("near"))->load.begin_call({}, {}, at_ms(1));
	REQUIRE(routing::place_call(servers, request, constant_draw(), at_ms(2))->entry.id == server_id("far"));
}

TEST_CASE("a server that leaves calls unanswered gets no calls while another server is usable", "[placement]")
{
	routing::directory servers;
	servers.put(make_server("unresponsive", server_role::plain, "desk"));
	servers.put(make_server("busy", server_role::plain, "desk"));
	servers.find(server_id("unresponsive"))->load.begin_call({}, {}, at_ms(0));
	for (int call = 0; call < 5; ++call)
	{
		servers.find(server_id("busy"))->load.begin_call({}, {}, at_ms(450));
	}
	auto const request = make_request("desk");
	REQUIRE(routing::place_call(servers, request, constant_draw(), at_ms(500))->entry.id == server_id("busy"));
}

TEST_CASE("a burst of streams does not exceed the memory of any engine", "[placement]")
{
	auto const servers = make_engines();
	auto const request = make_request();
	std::size_t placed = 0;
	while (true)
	{
		auto const engines = routing::rank_decode_engines(servers, request, constant_draw(), at_ms(10));
		if (engines.empty())
		{
			break;
		}
		engines.front()->load.begin_call({}, request.needed, at_ms(10));
		++placed;
	}
	// Eleven streams of 8,700 tokens fit into each of five engines with memory for 96,426 tokens.
	REQUIRE(placed == 55);
	for (auto const& [id, server] : servers.all())
	{
		REQUIRE(server->load.own().committed <= request.capacity.count());
	}
}

TEST_CASE("other daemons' load reports count until they expire", "[placement]")
{
	auto const servers = make_engines();
	auto const request = make_request();
	for (auto const* name : {"d1", "d2", "d3", "d4"})
	{
		servers.find(server_id(name))->load.set_share(instance_id("other"), {11, 0, 95'000}, at_ms(0));
	}
	auto const engines = routing::rank_decode_engines(servers, request, constant_draw(), at_ms(100));
	REQUIRE(engines.size() == 1);
	REQUIRE(engines.front()->entry.id == server_id("d5"));
	REQUIRE(routing::rank_decode_engines(servers, request, constant_draw(), at_ms(3000)).size() == 5);
}

TEST_CASE("a stream larger than an engine may use an engine without committed memory", "[placement]")
{
	auto const servers = make_engines();
	auto request = make_request();
	request.needed = token_count(200'000);
	REQUIRE(routing::rank_decode_engines(servers, request, constant_draw(), at_ms(1)).size() == 5);
}

TEST_CASE("prefill engines read prompts, also in a burst, unless a decode engine is idle", "[placement]")
{
	auto const servers = make_engines();
	auto const request = make_request();
	auto const decode = servers.find(server_id("d1"));
	auto const speed = make_speed();
	auto const normal = routing::place_prefill(servers, request, decode, speed, constant_draw(), at_ms(1));
	REQUIRE(normal.prefill);
	for (auto const* name : {"p1", "p2", "p3", "p4"})
	{
		servers.find(server_id(name))->load.begin_call(token_count(60'000), {}, at_ms(1));
	}
	auto const idle = routing::place_prefill(servers, request, decode, speed, constant_draw(), at_ms(2));
	REQUIRE_FALSE(idle.prefill);
	decode->load.begin_call({}, request.needed, at_ms(2));
	auto const shared = routing::place_prefill(servers, request, decode, speed, constant_draw(), at_ms(3));
	REQUIRE(shared.prefill);
}

TEST_CASE("a busy decode engine reads a prompt when two of four prefill engines are lost and the others would be late",
	"[placement]")
{
	auto const servers = make_engines();
	auto request = make_request();
	request.first_event_limit = milliseconds(800);
	auto const decode = servers.find(server_id("d1"));
	decode->load.begin_call({}, request.needed, at_ms(1));
	servers.find(server_id("p1"))->has_announced_leaving = true;
	servers.find(server_id("p2"))->has_announced_leaving = true;
	auto const place = [&]
	{
		return routing::place_prefill(servers, request, decode, make_speed(), constant_draw(), at_ms(2));
	};
	std::size_t split_count = 0;
	for (auto placement = place(); placement.prefill; placement = place())
	{
		REQUIRE(placement.first_event <= request.first_event_limit);
		placement.prefill->load.begin_call(request.prompt, {}, at_ms(2));
		++split_count;
	}
	// Two prefill engines remain. Each takes 95 ms to prefill a prompt of 5,200 tokens.
	REQUIRE(split_count == 16);
	REQUIRE(place().first_event <= request.first_event_limit);
	// When no engine can start the stream in time, a prefill engine gets the prompt: on the decode engine it would slow
	// down the running streams without any benefit.
	request.first_event_limit = milliseconds(100);
	REQUIRE(place().prefill);
}

TEST_CASE("daemons that do not know of each other yet do not overcommit the engines", "[placement]")
{
	constexpr std::uint32_t daemons = 4;
	auto request = make_request();
	request.own_capacity = token_count(request.capacity.count() / daemons);
	std::map<server_id, std::uint64_t> committed;
	for (std::uint32_t daemon = 0; daemon < daemons; ++daemon)
	{
		auto const servers = make_engines();
		while (true)
		{
			auto const engines = routing::rank_decode_engines(servers, request, constant_draw(), at_ms(10));
			if (engines.empty())
			{
				break;
			}
			engines.front()->load.begin_call({}, request.needed, at_ms(10));
			committed[engines.front()->entry.id] += request.needed.count();
		}
	}
	for (auto const& [engine, tokens] : committed)
	{
		REQUIRE(tokens <= request.capacity.count());
	}
}

TEST_CASE("a decode engine reads the prompt when there are no prefill engines", "[placement]")
{
	routing::directory servers;
	servers.put(make_server("d1", server_role::decode));
	auto const decode = servers.find(server_id("d1"));
	auto const placed =
		routing::place_prefill(servers, make_request(), decode, make_speed(), constant_draw(), at_ms(1));
	REQUIRE_FALSE(placed.prefill);
	REQUIRE(placed.decode == decode);
}

TEST_CASE("an engine that counts as full gets no streams", "[placement]")
{
	auto const servers = make_engines();
	servers.find(server_id("p1"))->load.note_full_until(at_ms(5000));
	servers.find(server_id("d1"))->load.note_full_until(at_ms(5000));
	auto const engines = routing::rank_decode_engines(servers, make_request(), constant_draw(), at_ms(100));
	REQUIRE(engines.size() == 4);
	for (int draw_index = 0; draw_index < 8; ++draw_index)
	{
		auto const placed = routing::place_prefill(
			servers, make_request(), engines.front(), make_speed(), constant_draw(draw_index / 8.0), at_ms(100));
		REQUIRE(placed.prefill->entry.id != server_id("p1"));
	}
}

TEST_CASE("a stream goes to plain servers only when its service lists no engine of either stage", "[placement]")
{
	routing::directory servers;
	servers.put(make_server("a", server_role::plain));
	servers.put(make_server("b", server_role::plain));
	servers.put(make_server("elsewhere", server_role::decode, "other"));
	auto const request = make_request();
	auto const engines = routing::rank_decode_engines(servers, request, constant_draw(), at_ms(1));
	REQUIRE(engines.size() == 2);
	auto const placed =
		routing::place_prefill(servers, request, engines.front(), make_speed(), constant_draw(), at_ms(1));
	REQUIRE_FALSE(placed.prefill);
	servers.put(make_server("p", server_role::prefill));
	REQUIRE(routing::rank_decode_engines(servers, request, constant_draw(), at_ms(1)).empty());
	servers.put(make_server("d", server_role::decode));
	auto const decode = routing::rank_decode_engines(servers, request, constant_draw(), at_ms(1));
	REQUIRE(decode.size() == 1);
	REQUIRE(decode.front()->entry.id == server_id("d"));
}

TEST_CASE("a stream that has begun is placed only on engines of its software version", "[placement]")
{
	auto servers = make_engines();
	auto const set_version = [&](std::string const& name, std::string version)
	{
		auto entry = servers.find(server_id(name))->entry;
		entry.version = software_version(std::move(version));
		servers.put(entry);
	};
	set_version("d1", "v1");
	set_version("d2", "v1");
	auto request = make_request();
	request.version = software_version("v1");
	auto const names = [&]
	{
		std::set<std::string> found;
		for (auto const& each : routing::rank_decode_engines(servers, request, constant_draw(), at_ms(0)))
		{
			found.insert(each->entry.id.str());
		}
		return found;
	};
	REQUIRE(names() == std::set<std::string>{"d1", "d2"});
	// The only engines of the version are used even when they are unhealthy and others are not.
	for (auto const* name : {"d1", "d2"})
	{
		servers.find(server_id(name))->load.begin_call({}, {}, at_ms(0) - seconds(1));
	}
	REQUIRE(names() == std::set<std::string>{"d1", "d2"});
	request.excluded = {server_id("d1"), server_id("d2")};
	REQUIRE(names().empty());
	request.excluded.clear();
	request.version.reset();
	request.reserved_versions = {software_version("v1")};
	REQUIRE(names() == std::set<std::string>{"d3", "d4", "d5"});
}
