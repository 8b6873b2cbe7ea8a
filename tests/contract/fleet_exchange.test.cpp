#include <catch2/catch.hpp>

#include <limits>

#include <deque>

#include <godwittrestle/gateway/fleet_exchange.hpp>
#include <godwittrestle/gateway/permit_exchange.hpp>

using namespace godwittrestle;

namespace
{
	time_point at_ms(std::int64_t count)
	{
		return time_point(seconds(1000)) + milliseconds(count);
	}

	// A fleet_exchange that records the configurations and server lists that it passes on. Its messages stay in the
	// outbox until the test delivers them.
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
		gateway::registry_snapshot registry;
		std::deque<decide::send_peer> outbox;
		std::vector<std::string> configurations;
		std::vector<routing::registered_server> servers;
		gateway::fleet_exchange exchange;
		std::string address;
	};

	// Delivers the messages of two peers to each other until both outboxes are empty.
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
					target.exchange.receive(message.message, target.registry, now);
				}
			}
		}
	}

	// Two peers that have each other's address as seed. Only `informed` has a configuration, version 5, and a server.
	struct pair_of_peers
	{
		pair_of_peers()
		{
			this->informed.registry = {platform_version(5), "the configuration", true, false, {}};
			this->informed.add_server("e1");
			this->other.exchange.set_seeds({this->informed.address});
			this->informed.exchange.set_seeds({this->other.address});
		}

		void exchange_round(std::int64_t ms)
		{
			std::ignore = this->other.exchange.send_due(this->other.registry, at_ms(ms));
			std::ignore = this->informed.exchange.send_due(this->informed.registry, at_ms(ms));
			deliver(this->informed, this->other, at_ms(ms));
		}

		peer informed{"a"};
		peer other{"b"};
	};
}

TEST_CASE("a daemon that can't read the registry gets configuration and servers from another daemon", "[fleet]")
{
	pair_of_peers pair;
	pair.other.registry.is_lost = true;
	pair.exchange_round(0);
	pair.exchange_round(400);
	REQUIRE_FALSE(pair.other.configurations.empty());
	REQUIRE(pair.other.configurations.front() == "the configuration");
	REQUIRE(pair.other.servers.size() == 1);
	REQUIRE(pair.other.servers.front().id == server_id("e1"));
	REQUIRE(pair.other.servers.front().started == incarnation(7));
	REQUIRE(pair.informed.configurations.empty());
}

// Guards against a daemon that was cut off while the registry came back from a copy and passes on what it knew before.
TEST_CASE("servers that another daemon read from an older era of the registry are not taken over", "[store_copy]")
{
	using gateway::registry_era;
	using gateway::registry_revision;
	pair_of_peers pair;
	pair.informed.registry.position = {registry_era(1), registry_revision(40)};
	pair.other.registry = {platform_version(5), "the configuration", true, true, {}};
	pair.other.registry.position = {registry_era(2), registry_revision(16)};
	pair.exchange_round(0);
	pair.exchange_round(400);
	REQUIRE(pair.other.servers.empty());
	pair.informed.registry.position = {registry_era(2), registry_revision(17)};
	pair.exchange_round(800);
	REQUIRE(pair.other.servers.size() == 1);
}

TEST_CASE("a newer configuration is requested at once, an older one is ignored", "[fleet]")
{
	pair_of_peers pair;
	pair.other.registry = {platform_version(4), "older", true, false, {}};
	pair.exchange_round(0);
	REQUIRE(pair.other.configurations == std::vector<std::string>{"the configuration"});
	// `other` can read the registry itself, so it does not use the server list of `informed`.
	REQUIRE(pair.other.servers.empty());
	REQUIRE(pair.informed.configurations.empty());
}

TEST_CASE("a daemon's load on a server counts at the other daemons until the call ends", "[fleet]")
{
	pair_of_peers pair;
	pair.other.add_server("e1");
	pair.exchange_round(0);
	auto& load = pair.informed.server("e1").load;
	auto const call = load.begin_call(token_count(10), token_count(800), at_ms(100));
	pair.exchange_round(200);
	REQUIRE(pair.other.server("e1").load.total(at_ms(200)).committed == 800);
	REQUIRE(pair.other.server("e1").load.own().running == 0);
	load.end_call(call);
	pair.exchange_round(400);
	REQUIRE(pair.other.server("e1").load.total(at_ms(400)).running == 0);
}

TEST_CASE("a daemon that announces its leaving is no longer counted", "[fleet]")
{
	pair_of_peers pair;
	pair.exchange_round(0);
	pair.exchange_round(200);
	REQUIRE(pair.other.shared.daemon_count == 2);
	pair.informed.exchange.announce_leaving(pair.informed.registry, at_ms(300));
	deliver(pair.informed, pair.other, at_ms(300));
	std::ignore = pair.other.exchange.send_due(pair.other.registry, at_ms(350));
	REQUIRE(pair.other.shared.daemon_count == 1);
}

TEST_CASE("only the daemon with the smallest id is the coordinator, and only while it can read the registry", "[fleet]")
{
	pair_of_peers pair;
	pair.exchange_round(0);
	pair.exchange_round(200);
	REQUIRE(pair.informed.shared.is_coordinator);
	REQUIRE_FALSE(pair.other.shared.is_coordinator);
	pair.informed.registry.is_lost = true;
	pair.exchange_round(400);
	REQUIRE_FALSE(pair.informed.shared.is_coordinator);
}

TEST_CASE("all daemons know that a server which lives on has broken a stream off", "[fleet]")
{
	constexpr auto window = seconds(10);
	pair_of_peers pair;
	routing::configuration config;
	config.services[service_id("s")].id = service_id("s");
	pair.other.shared.routes = std::make_shared<routing::route_table const>(config);
	pair.exchange_round(0);
	pair.informed.shared.observed[service_id("s")].ends.note_broken_off(at_ms(1000));
	pair.exchange_round(2500);
	auto const& known = pair.other.shared.observed.at(service_id("s")).ends;
	CHECK(known.were_broken_off(window, at_ms(2500)));
	CHECK(known.were_broken_off(window, at_ms(11'000)));
	CHECK_FALSE(known.were_broken_off(window, at_ms(11'001)));
	// Told back and forth by messages that are late, it grows old all the same.
	pair.informed.shared.routes = pair.other.shared.routes;
	constexpr std::int64_t lateness = 300;
	for (std::int64_t ms = 4000; ms < 18'000; ms += 1000 + lateness)
	{
		std::ignore = pair.other.exchange.send_due(pair.other.registry, at_ms(ms));
		std::ignore = pair.informed.exchange.send_due(pair.informed.registry, at_ms(ms));
		deliver(pair.informed, pair.other, at_ms(ms + lateness));
	}
	CHECK_FALSE(known.were_broken_off(window, at_ms(18'000)));
	CHECK_FALSE(pair.informed.shared.observed.at(service_id("s")).ends.were_broken_off(window, at_ms(18'000)));
}

TEST_CASE("a daemon without observations of its own uses those of other daemons", "[fleet]")
{
	pair_of_peers pair;
	routing::configuration config;
	config.services[service_id("s")].id = service_id("s");
	pair.other.shared.routes = std::make_shared<routing::route_table const>(config);
	auto& observations = pair.informed.shared.observed[service_id("s")];
	for (int stream = 0; stream < 8; ++stream)
	{
		observations.demand.note_stream(token_count(3000), token_count(800));
		observations.demand.note_duration(token_count(800), milliseconds(3200));
		observations.speed.note_prefill(token_count(3000), milliseconds(100));
		observations.speed.note_decode_start(milliseconds(20));
	}
	// The receiver ignores a service that its configuration does not contain.
	pair.informed.shared.observed[service_id("unknown")].speed.note_decode_start(milliseconds(1));
	pair.exchange_round(0);
	pair.exchange_round(1200);
	REQUIRE(pair.other.shared.observed.size() == 1);
	auto const& received = pair.other.shared.observed.at(service_id("s"));
	REQUIRE(received.demand.is_known());
	REQUIRE(received.speed.is_known());
	REQUIRE(received.demand.prompt() == token_count(3000));
	REQUIRE(
		received.speed.speed(token_count(3000), milliseconds(900)).prefill_tokens_per_ms == Approx(30).epsilon(0.05));
	REQUIRE(received.demand.prompt_tokens.own().samples == 0);
}

TEST_CASE("a daemon learns the highest fencing number from other daemons", "[fleet]")
{
	pair_of_peers pair;
	pair.informed.shared.highest_fence = 1'000'000;
	pair.exchange_round(0);
	pair.exchange_round(1200);
	REQUIRE(pair.other.shared.highest_fence == 1'000'000);
	// A fencing number equal to the maximum of its type is ignored, because no higher number could follow it.
	pair.informed.shared.highest_fence = std::numeric_limits<std::uint64_t>::max();
	pair.exchange_round(2400);
	REQUIRE(pair.other.shared.highest_fence == 1'000'000);
}

TEST_CASE("an engine that changes its role gets no calls from any daemon, and the pending change expires", "[fleet]")
{
	pair_of_peers pair;
	pair.informed.add_server("e1");
	pair.other.add_server("e1");
	pair.informed.server("e1").note_pending_role_change({routing::server_role::prefill, at_ms(20'000)});
	pair.exchange_round(100);
	// Each daemon stores the pending change, so that it is still known when the daemon that ordered it has exited.
	auto& engine = pair.other.server("e1");
	REQUIRE(engine.is_changing_role(at_ms(200)));
	auto const& servers = pair.other.shared.servers;
	REQUIRE(servers.candidates(service_id("s"), routing::server_role::decode, at_ms(200)).empty());
	REQUIRE(servers.pools(service_id("s"), at_ms(200)) == routing::pool_sizes{1, 0});
	// Repeated notices do not extend the pending change beyond the expiry of the order.
	pair.exchange_round(10'000);
	REQUIRE_FALSE(engine.is_changing_role(at_ms(20'100)));
	// The change is complete when the registry shows the new role.
	engine.entry.role = routing::server_role::prefill;
	REQUIRE_FALSE(engine.is_changing_role(at_ms(10'100)));
}

TEST_CASE("a role change that was ordered before the engine's restart is not pending", "[fleet]")
{
	pair_of_peers pair;
	pair.informed.add_server("e1");
	pair.other.add_server("e1");
	pair.other.server("e1").entry.started = incarnation(8);
	pair.informed.server("e1").note_pending_role_change({routing::server_role::prefill, at_ms(20'000)});
	pair.exchange_round(100);
	REQUIRE_FALSE(pair.other.server("e1").is_changing_role(at_ms(200)));
}

TEST_CASE("a limit that one daemon has heard reaches the others, and so does its end", "[fleet]")
{
	pair_of_peers pair;
	pair.other.add_server("e1");
	auto& heard = pair.informed.server("e1").limit;
	auto const& told = pair.other.server("e1").limit;
	REQUIRE(heard.note({routing::request_rate(5), at_ms(50), instance_id("a")}, at_ms(50)));
	pair.exchange_round(100);
	REQUIRE(told.rate() == routing::request_rate(5));
	REQUIRE(told.report().heard_by == instance_id("a"));
	// A newer statement that the other daemon heard itself is not replaced by the repeated news.
	REQUIRE(pair.other.server("e1").limit.note({routing::request_rate(3), at_ms(150), instance_id("b")}, at_ms(150)));
	pair.exchange_round(200);
	pair.exchange_round(300);
	REQUIRE(told.rate() == routing::request_rate(3));
	REQUIRE(heard.rate() == routing::request_rate(3));
	REQUIRE(heard.note_absence(at_ms(310), {std::nullopt, at_ms(320), instance_id("a")}, at_ms(320)));
	pair.exchange_round(400);
	REQUIRE_FALSE(told.rate());
}

TEST_CASE("malformed reports of limits and unknown servers are ignored", "[fleet]")
{
	peer receiver("a");
	receiver.add_server("e1");
	wire::StatedLimit report;
	report.set_server("e1");
	report.set_started(7);
	report.set_is_stated(true);
	auto const rate = GENERATE(-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity());
	report.set_rate(rate);
	auto const ignore_event = [](decide::record_event const&) {
	};
	gateway::apply_limit(report, receiver.shared.servers, ignore_event, at_ms(0));
	REQUIRE_FALSE(receiver.server("e1").limit.rate());
	report.set_rate(5);
	report.set_started(8);
	gateway::apply_limit(report, receiver.shared.servers, ignore_event, at_ms(0));
	REQUIRE_FALSE(receiver.server("e1").limit.rate());
	report.set_started(7);
	report.set_age(std::numeric_limits<std::uint64_t>::max());
	gateway::apply_limit(report, receiver.shared.servers, ignore_event, at_ms(0));
	REQUIRE(receiver.server("e1").limit.rate() == routing::request_rate(5));
	// A request for a permit for a server that is not known gets an answer, without a permit.
	gateway::permit_exchange permits(receiver.shared,
		{instance_id("a"), incarnation(1), "a:1",
			[&](decide::send_peer message)
			{
				receiver.outbox.push_back(std::move(message));
			}},
		ignore_event);
	wire::PeerMessage message;
	auto& request = *message.mutable_send_permit_request();
	request.set_number(3);
	request.set_address("b:1");
	request.mutable_limit()->set_server("unknown");
	REQUIRE(permits.receive(message, at_ms(0)));
	auto const& reply = receiver.outbox.front().message.send_permit_reply();
	REQUIRE(reply.number() == 3);
	REQUIRE(reply.outcome() == wire::SendPermitReply::NOT_ISSUER);
	REQUIRE(reply.retry_after() > 0);
	// A reply that nobody waits for is ignored.
	message.mutable_send_permit_reply()->set_number(99);
	REQUIRE(permits.receive(message, at_ms(0)));
}
