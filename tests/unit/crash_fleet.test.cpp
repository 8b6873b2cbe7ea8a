#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <fmt/format.h>

#include <godwittrestle/gateway/fleet_exchange.hpp>

using namespace godwittrestle;

namespace
{
	constexpr time_point start_time{seconds(1000)};
	constexpr duration step = milliseconds(10);
	// contact-ms of the users' platform.
	constexpr duration contact_time = seconds(3);
	constexpr fingerprint first_part(1);
	constexpr fingerprint deadly_part(2);

	// Daemons in virtual time that exchange notices and send requests to servers. A server ends when it begins to
	// answer a deadly request, and is back after a while with a new incarnation.
	class crash_fleet
	{
	  public:
		// is_replaced: whether a server that ended comes back under another id.
		crash_fleet(std::size_t daemon_count, std::size_t server_count, duration given_downtime, double given_loss,
			bool is_replaced = false)
			: downtime(given_downtime)
			, has_new_id(is_replaced)
			, message_loss(given_loss)
			, daemons(daemon_count)
			, servers(server_count)
		{
			for (std::size_t number = 0; number < daemon_count; ++number)
			{
				this->start(number);
			}
		}

		// Starts a daemon, or starts it again without its memory.
		void start(std::size_t number)
		{
			auto const address = address_of(number);
			this->daemons[number] = std::make_unique<daemon>();
			auto& started = *this->daemons[number];
			started.exchange = std::make_unique<gateway::fleet_exchange>(instance_id(address),
				incarnation(++this->incarnations), address, started.shared,
				gateway::exchange_hooks{[this](decide::send_peer message) { this->post(std::move(message)); },
					[](std::string const&) {}, [](std::vector<routing::registered_server> const&) {},
					[this]
					{
						return this->draw();
					}},
				[](decide::record_event const&) {});
			started.exchange->set_seeds({address_of(0), address_of(1), address_of(2)});
		}

		void run_for(duration time)
		{
			for (auto const until = this->now + time; this->now < until; this->now += step)
			{
				for (auto& each : std::exchange(this->messages, {}))
				{
					this->deliver(each);
				}
				for (auto const& each : this->daemons)
				{
					if (!each->is_cut_off && this->now >= each->next_notice_at)
					{
						each->next_notice_at = this->now + each->exchange->send_due(this->registry, this->now);
					}
				}
			}
		}

		// Cuts a daemon off from the others, or ends that. Messages are lost meanwhile.
		void set_cut_off(std::size_t number, bool is_cut_off)
		{
			this->daemons[number]->is_cut_off = is_cut_off;
		}

		// Sends a request of a caller from a daemon, as often as servers end under it, three times at most. Returns
		// whether it was answered. lost_with: unanswered requests that the servers have when they end.
		bool send(std::size_t daemon_number, routing::request_identity const& request, bool is_deadly,
			std::vector<routing::request_identity> const& lost_with = {})
		{
			constexpr int max_servers = 3;
			auto& evidence = this->daemons[daemon_number]->shared.crashes;
			for (int attempt = 0; attempt < max_servers && evidence.find_block(request) == nullptr; ++attempt)
			{
				auto const up = std::ranges::find_if(
					this->servers, [this](server const& each) { return each.back_at <= this->now; });
				if (up == this->servers.end())
				{
					return false;
				}
				if (!is_deadly)
				{
					evidence.note_answer(request, this->now);
					return true;
				}
				this->deadly_sends.push_back(this->now);
				auto const number = static_cast<std::size_t>(up - this->servers.begin());
				up->back_at = this->now + this->downtime;
				++up->starts;
				auto const id =
					this->has_new_id ? fmt::format("s{}-{}", number, up->starts) : fmt::format("s{}", number);
				auto lost = lost_with;
				lost.push_back(request);
				for (auto const& each : lost)
				{
					evidence.note_crash(evidence.make_report(server_id(id), incarnation(up->starts), each,
											this->daemons[daemon_number]->shared.own_id, this->now),
						this->now);
				}
			}
			return false;
		}

		// Returns the deadly requests that reached servers later than contact_time after a number of ends.
		[[nodiscard]] std::ptrdiff_t sends_after(std::size_t ends) const
		{
			if (this->deadly_sends.size() < ends)
			{
				return 0;
			}
			auto const bound = this->deadly_sends[ends - 1] + contact_time;
			return std::ranges::count_if(this->deadly_sends, [&](time_point each) { return each > bound; });
		}

		[[nodiscard]] bool is_blocked(std::size_t daemon_number, routing::request_identity const& request) const
		{
			return this->daemons[daemon_number]->shared.crashes.find_block(request) != nullptr;
		}

		[[nodiscard]] double draw()
		{
			return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
		}

		std::vector<time_point> deadly_sends;

	  private:
		struct daemon
		{
			gateway::shared_state shared;
			std::unique_ptr<gateway::fleet_exchange> exchange;
			time_point next_notice_at;
			bool is_cut_off = false;
		};

		struct server
		{
			time_point back_at;
			std::uint64_t starts = 0;
		};

		static std::string address_of(std::size_t number)
		{
			return fmt::format("d{:02}:1", number);
		}

		// Loses some messages and sends others twice.
		void post(decide::send_peer message)
		{
			if (this->draw() < this->message_loss)
			{
				return;
			}
			if (this->draw() < this->message_loss)
			{
				this->messages.push_back(message);
			}
			this->messages.push_back(std::move(message));
		}

		void deliver(decide::send_peer const& message)
		{
			for (std::size_t number = 0; number < this->daemons.size(); ++number)
			{
				if (address_of(number) == message.address && !this->daemons[number]->is_cut_off)
				{
					this->daemons[number]->exchange->receive(message.message, this->registry, this->now);
				}
			}
		}

		std::mt19937_64 random{5};
		time_point now = start_time;
		duration downtime;
		bool has_new_id;
		double message_loss;
		std::uint64_t incarnations = 0;
		gateway::registry_snapshot registry{platform_version(1), "", true, false, {}};
		std::vector<std::unique_ptr<daemon>> daemons;
		std::vector<server> servers;
		std::deque<decide::send_peer> messages;
	};

	routing::request_identity make_request(std::uint64_t number, std::vector<fingerprint> parts)
	{
		constexpr std::uint64_t first_request = 1'000'000;
		return {fingerprint(first_request + number), std::move(parts)};
	}
}

namespace
{
	// How deadly requests come. Requests come one each round_time, sound ones at a daemon drawn at random.
	struct deadly_load
	{
		std::uint64_t rounds = 400;
		std::uint64_t deadly_every = 5;
		std::size_t at_once = 1;
		bool is_one_request = false;
		// Returns the daemon at which the deadly requests of a round come.
		std::function<std::size_t(std::uint64_t round)> place;
	};

	constexpr duration round_time = milliseconds(50);

	// Checks the users' rules for servers that end and for sound requests.
	void check_load(crash_fleet& fleet, deadly_load const& load, std::size_t daemon_count)
	{
		std::size_t served = 0;
		fleet.run_for(seconds(2));
		for (std::uint64_t round = 0; round < load.rounds; ++round)
		{
			auto const sends = round % load.deadly_every == 0 ? load.at_once : 0;
			for (std::size_t copy = 0; copy < sends; ++copy)
			{
				auto const request = load.is_one_request
										 ? make_request(0, {first_part, fingerprint(9)})
										 : make_request(load.at_once * round + copy, {first_part, deadly_part});
				std::ignore = fleet.send((load.place(round) + copy) % daemon_count, request, true);
			}
			auto const somewhere = static_cast<std::size_t>(fleet.draw() * static_cast<double>(daemon_count));
			served += fleet.send(somewhere, make_request(10'000 + round, {first_part}), false) ? 1 : 0;
			fleet.run_for(round_time);
		}
		REQUIRE(fleet.sends_after(load.is_one_request ? 3 : 5) <= 3);
		REQUIRE(2 * served >= load.rounds);
		REQUIRE_FALSE(fleet.is_blocked(0, make_request(1, {first_part})));
	}
}

TEST_CASE("deadly requests stop at all daemons, wherever they come and however servers return", "[crash_fleet]")
{
	auto const daemon_count = GENERATE(std::size_t{1}, std::size_t{6}, std::size_t{30});
	auto const server_count = GENERATE(std::size_t{2}, std::size_t{6}, std::size_t{100});
	auto const downtime = GENERATE(milliseconds(500), milliseconds(2'000), milliseconds(8'000));
	auto const pattern = GENERATE(as<std::string>{}, "even", "on one", "moving");
	auto const is_one_request = GENERATE(false, true);
	CAPTURE(daemon_count, server_count, downtime.count(), pattern, is_one_request);
	constexpr double loss = 0.1;
	constexpr std::uint64_t moving_rounds = 80;
	crash_fleet fleet(daemon_count, server_count, downtime, loss);
	deadly_load load;
	load.is_one_request = is_one_request;
	load.place = [&](std::uint64_t round)
	{
		return pattern == "even"     ? static_cast<std::size_t>(fleet.draw() * static_cast<double>(daemon_count))
			   : pattern == "on one" ? 0
									 : (round / moving_rounds) % daemon_count;
	};
	check_load(fleet, load, daemon_count);
}

TEST_CASE("deadly requests stop, few or many, three at once, and when servers return under other ids", "[crash_fleet]")
{
	auto const daemon_count = GENERATE(std::size_t{6}, std::size_t{30});
	auto const server_count = GENERATE(std::size_t{2}, std::size_t{100});
	auto const is_replaced = GENERATE(false, true);
	auto const is_one_request = GENERATE(false, true);
	auto load = GENERATE(
		deadly_load{1000, 100, 1, false, {}}, deadly_load{400, 5, 3, false, {}}, deadly_load{1000, 100, 3, false, {}});
	CAPTURE(daemon_count, server_count, is_replaced, is_one_request, load.deadly_every, load.at_once);
	constexpr double loss = 0.1;
	crash_fleet fleet(daemon_count, server_count, seconds(2), loss, is_replaced);
	load.is_one_request = is_one_request;
	load.place = [](std::uint64_t round)
	{
		return round;
	};
	check_load(fleet, load, daemon_count);
}

TEST_CASE("a daemon that starts knows within contact-ms what the others have blocked", "[crash_fleet]")
{
	crash_fleet fleet(6, 10, seconds(2), 0.1);
	fleet.run_for(seconds(2));
	auto const deadly = make_request(9, {first_part, deadly_part});
	for (std::uint64_t number = 0; number < 4; ++number)
	{
		std::ignore = fleet.send(number, make_request(number, {first_part, deadly_part}), true);
		fleet.run_for(milliseconds(300));
	}
	fleet.run_for(seconds(20));
	fleet.start(5);
	REQUIRE_FALSE(fleet.is_blocked(5, deadly));
	fleet.run_for(contact_time);
	REQUIRE(fleet.is_blocked(5, deadly));
}

TEST_CASE("a daemon that was frozen or cut off knows within contact-ms what the others have blocked", "[crash_fleet]")
{
	auto const daemon_count = GENERATE(std::size_t{2}, std::size_t{6}, std::size_t{30});
	auto const away_for = GENERATE(milliseconds(3'300), milliseconds(12'000));
	CAPTURE(daemon_count, away_for.count());
	constexpr std::uint64_t lost_each_time = 14;
	constexpr double loss = 0.1;
	crash_fleet fleet(daemon_count, 10, seconds(2), loss);
	fleet.run_for(seconds(2));
	auto const away = daemon_count - 1;
	fleet.set_cut_off(away, true);
	for (std::uint64_t number = 0; number < 3; ++number)
	{
		// The servers also have sound requests that nobody else has answered yet.
		std::vector<routing::request_identity> sound(lost_each_time);
		std::ranges::generate(
			sound, [next = 1'000 + number * lost_each_time]() mutable { return make_request(next++, {first_part}); });
		std::ignore = fleet.send(number % away, make_request(number, {first_part, deadly_part}), true, sound);
		std::ranges::for_each(sound, [&](auto const& each) { std::ignore = fleet.send(0, each, false); });
		fleet.run_for(milliseconds(30));
	}
	fleet.run_for(away_for);
	fleet.set_cut_off(away, false);
	fleet.run_for(contact_time);
	REQUIRE(fleet.is_blocked(away, make_request(9, {first_part, deadly_part})));
	REQUIRE_FALSE(fleet.is_blocked(away, make_request(9, {first_part})));
}

TEST_CASE("a daemon that is cut off from the others again and again ends few servers by itself", "[crash_fleet]")
{
	constexpr std::size_t most_ends = 5;
	constexpr double loss = 0.1;
	constexpr std::uint64_t requests_of_a_cut = 50;
	constexpr std::size_t away = 5;
	crash_fleet fleet(6, 20, milliseconds(500), loss);
	fleet.run_for(seconds(2));
	for (std::uint64_t cut = 0; cut < 3; ++cut)
	{
		fleet.set_cut_off(away, true);
		for (std::uint64_t number = 0; number < requests_of_a_cut; ++number)
		{
			std::ignore =
				fleet.send(away, make_request(cut * requests_of_a_cut + number, {first_part, deadly_part}), true);
			fleet.run_for(milliseconds(100));
		}
		fleet.set_cut_off(away, false);
		fleet.run_for(contact_time);
		REQUIRE(fleet.is_blocked(0, make_request(9, {first_part, deadly_part})));
	}
	REQUIRE(fleet.deadly_sends.size() <= most_ends);
}
