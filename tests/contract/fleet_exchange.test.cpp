#include <catch2/catch.hpp>

#include <limits>

#include <deque>

#include <godwittrestle/gateway/fleet_exchange.hpp>

using namespace godwittrestle;

namespace
{
	time_point at_ms(std::int64_t count)
	{
		return time_point(seconds(1000)) + milliseconds(count);
	}

	// A daemon's exchange with what it would tell the rest of the daemon; its messages wait until they are passed on.
	class peer
	{
	  public:
		explicit peer(std::string name)
			: exchange(instance_id(name), incarnation(1), name + ":1", this->shared,
				  {[this](decide::send_peer message) { this->outbox.push_back(std::move(message)); },
					  [this](std::string text) { this->configurations.push_back(std::move(text)); },
					  [this](std::vector<routing::registered_server> servers) { this->servers = std::move(servers); },
					  []
					  {
						  return 0.0;
					  }},
				  [](decide::record_event const&) {})
			, address(name + ":1")
		{
		}

		void add_server(std::string const& id)
		{
			routing::registered_server server;
			server.id = server_id(id);
			server.service = service_id("s");
			server.role = routing::server_role::decode;
			server.started = incarnation(7);
			this->shared.servers.put(server);
		}

		[[nodiscard]] routing::server_record& server(std::string const& id) const
		{
			return *this->shared.servers.find(server_id(id));
		}

		gateway::shared_state shared;
		gateway::registry_knowledge known;
		std::deque<decide::send_peer> outbox;
		std::vector<std::string> configurations;
		std::vector<routing::registered_server> servers;
		gateway::fleet_exchange exchange;
		std::string address;
	};

	// Passes messages on between two peers until none is left.
	void deliver(peer& left, peer& right, time_point now)
	{
		while (!left.outbox.empty() || !right.outbox.empty())
		{
			for (auto* const each : {&left, &right})
			{
				while (!each->outbox.empty())
				{
					auto const message = std::move(each->outbox.front());
					each->outbox.pop_front();
					auto& target = message.address == left.address ? left : right;
					target.exchange.receive(message.message, target.known, now);
				}
			}
		}
	}

	// Two peers that have heard of each other; the first knows configuration 5 and one server.
	struct pair_of_peers
	{
		pair_of_peers()
		{
			this->knows.known = {platform_version(5), "the configuration", true, false};
			this->knows.add_server("e1");
			this->other.exchange.set_seeds({this->knows.address});
			this->knows.exchange.set_seeds({this->other.address});
		}

		void round(std::int64_t ms)
		{
			std::ignore = this->other.exchange.tick(this->other.known, at_ms(ms));
			std::ignore = this->knows.exchange.tick(this->knows.known, at_ms(ms));
			deliver(this->knows, this->other, at_ms(ms));
		}

		peer knows{"a"};
		peer other{"b"};
	};
}

TEST_CASE("a daemon that the registry turns away gets configuration and servers from another", "[fleet]")
{
	pair_of_peers pair;
	pair.other.known.is_lost = true;
	pair.round(0);
	pair.round(400);
	REQUIRE_FALSE(pair.other.configurations.empty());
	REQUIRE(pair.other.configurations.front() == "the configuration");
	REQUIRE(pair.other.servers.size() == 1);
	REQUIRE(pair.other.servers.front().id == server_id("e1"));
	REQUIRE(pair.other.servers.front().started == incarnation(7));
	REQUIRE(pair.knows.configurations.empty());
}

TEST_CASE("a newer version is asked for as soon as it is heard of, an older one never taken", "[fleet]")
{
	pair_of_peers pair;
	pair.other.known = {platform_version(4), "older", true, false};
	pair.round(0);
	REQUIRE(pair.other.configurations == std::vector<std::string>{"the configuration"});
	// The registry is there: its list of servers goes before another daemon's.
	REQUIRE(pair.other.servers.empty());
	REQUIRE(pair.knows.configurations.empty());
}

TEST_CASE("what a daemon runs on a server counts at the others, until it is over", "[fleet]")
{
	pair_of_peers pair;
	pair.other.add_server("e1");
	pair.round(0);
	auto& load = pair.knows.server("e1").load;
	auto const call = load.begin_call(token_count(10), token_count(800), at_ms(100));
	pair.round(200);
	REQUIRE(pair.other.server("e1").load.total(at_ms(200)).committed == 800);
	REQUIRE(pair.other.server("e1").load.own().running == 0);
	load.end_call(call);
	pair.round(400);
	REQUIRE(pair.other.server("e1").load.total(at_ms(400)).running == 0);
}

TEST_CASE("a daemon that leaves is no longer counted", "[fleet]")
{
	pair_of_peers pair;
	pair.round(0);
	pair.round(200);
	REQUIRE(pair.other.shared.daemons == 2);
	pair.knows.exchange.announce_leaving(pair.knows.known, at_ms(300));
	deliver(pair.knows, pair.other, at_ms(300));
	std::ignore = pair.other.exchange.tick(pair.other.known, at_ms(350));
	REQUIRE(pair.other.shared.daemons == 1);
}

TEST_CASE("only the daemon with the smallest name that reads the registry is the first", "[fleet]")
{
	pair_of_peers pair;
	pair.round(0);
	pair.round(200);
	REQUIRE(pair.knows.shared.is_first_daemon);
	REQUIRE_FALSE(pair.other.shared.is_first_daemon);
	pair.knows.known.is_lost = true;
	pair.round(400);
	REQUIRE_FALSE(pair.knows.shared.is_first_daemon);
}

TEST_CASE("what one daemon has seen of engines and streams, another that has just started goes by", "[fleet]")
{
	pair_of_peers pair;
	routing::configuration config;
	config.services[service_id("s")].id = service_id("s");
	pair.other.shared.routes = std::make_shared<routing::route_table const>(config);
	auto& seen = pair.knows.shared.observed[service_id("s")];
	for (int stream = 0; stream < 8; ++stream)
	{
		seen.demand.note_stream(token_count(3000), token_count(800));
		seen.demand.note_duration(token_count(800), milliseconds(3200));
		seen.speed.note_prefill(token_count(3000), milliseconds(100));
		seen.speed.note_decode_start(milliseconds(20));
	}
	// A service that the receiver's configuration does not name is passed over.
	pair.knows.shared.observed[service_id("unknown")].speed.note_decode_start(milliseconds(1));
	pair.round(0);
	pair.round(1200);
	REQUIRE(pair.other.shared.observed.size() == 1);
	auto const& told = pair.other.shared.observed.at(service_id("s"));
	REQUIRE(told.demand.is_known());
	REQUIRE(told.speed.is_known());
	REQUIRE(told.demand.prompt() == token_count(3000));
	REQUIRE(told.speed.speed(token_count(3000), milliseconds(900)).prefill_tokens_per_ms == Approx(30).epsilon(0.05));
	REQUIRE(told.demand.prompt_tokens.own().samples == 0);
}

TEST_CASE("a daemon orders with a higher fencing number than any that it has heard of", "[fleet]")
{
	pair_of_peers pair;
	pair.knows.shared.highest_fence = 1'000'000;
	pair.round(0);
	pair.round(1200);
	REQUIRE(pair.other.shared.highest_fence == 1'000'000);
	// A number that leaves no room for higher ones is passed over.
	pair.knows.shared.highest_fence = std::numeric_limits<std::uint64_t>::max();
	pair.round(2400);
	REQUIRE(pair.other.shared.highest_fence == 1'000'000);
}

TEST_CASE(
	"an engine that changes its role is passed over by all, also when the daemon that ordered it is gone", "[fleet]")
{
	pair_of_peers pair;
	pair.knows.add_server("e1");
	pair.other.add_server("e1");
	pair.knows.server("e1").note_pending_role_change({routing::server_role::prefill, at_ms(20'000)});
	pair.round(100);
	auto& engine = pair.other.server("e1");
	REQUIRE(engine.is_changing_role(at_ms(200)));
	auto const& servers = pair.other.shared.servers;
	REQUIRE(servers.candidates(service_id("s"), routing::server_role::decode, at_ms(200)).empty());
	REQUIRE(servers.pools(service_id("s"), at_ms(200)) == routing::pool_sizes{1, 0});
	// What is told again and again lasts no longer than the order.
	pair.round(10'000);
	REQUIRE_FALSE(engine.is_changing_role(at_ms(20'100)));
	// The registry shows the new role: it is done.
	engine.entry.role = routing::server_role::prefill;
	REQUIRE_FALSE(engine.is_changing_role(at_ms(10'100)));
}

TEST_CASE("an order to an engine that has restarted since is over", "[fleet]")
{
	pair_of_peers pair;
	pair.knows.add_server("e1");
	pair.other.add_server("e1");
	pair.other.server("e1").entry.started = incarnation(8);
	pair.knows.server("e1").note_pending_role_change({routing::server_role::prefill, at_ms(20'000)});
	pair.round(100);
	REQUIRE_FALSE(pair.other.server("e1").is_changing_role(at_ms(200)));
}
