#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <godwittrestle/decide.hpp>

#include "backends.hpp"

namespace godwittrestle::testing
{
	struct fleet_shape
	{
		int daemons = 3;
		int prefill = 2;
		int decode = 2;
		int plain = 2;
	};

	// Returns the policy that scenarios run under: a model service "report" and a plain service "desk".
	[[nodiscard]] policy::RoutingPolicy make_test_policy();

	// Several cores in one process over fake links, in virtual time. Everything that happens is ordered by time and by
	// the seed, so that a run gives the same verdict each time.
	class world
	{
	  public:
		world(fleet_shape shape, decide::mechanism_set mechanisms, std::uint64_t seed);

		// Lets virtual time pass.
		void run_for(duration span);

		// Lets time pass until the condition holds; returns false when it does not within the span.
		[[nodiscard]] bool run_until(std::function<bool()> const& condition, duration within);

		[[nodiscard]] time_point present() const noexcept
		{
			return this->now;
		}

		// Daemons.
		void start(std::string const& daemon);
		void kill(std::string const& name);
		void pause(std::string const& name);
		void resume(std::string const& name);
		void drain(std::string const& daemon);
		[[nodiscard]] decide::core& core_of(std::string const& daemon);
		[[nodiscard]] bool is_running(std::string const& daemon) const;
		[[nodiscard]] bool has_left(std::string const& daemon) const;
		[[nodiscard]] std::vector<std::string> running_daemons() const;

		// Links between any two of daemons, servers and "platform". A cut link drops; a holding one delivers late, once
		// it is healed.
		void cut(std::string const& left, std::string const& right);
		void hold(std::string const& left, std::string const& right);
		void heal(std::string const& left, std::string const& right);
		void heal_all();
		// Chance that a message between daemons is lost, or comes twice.
		void set_noise(double loss, double doubling);

		// Platform.
		void publish(policy::SealedPolicy const& document);
		void set_outage(bool is_out);
		// Shows only the first documents that were published; 0 shows all again.
		void set_stale(std::size_t documents);
		void list_as_leaving(std::string const& name);
		void set_list_lag(duration lag);

		// Callers.
		void ask_completion(
			std::string const& caller, std::string const& daemon, std::string prompt, std::uint32_t tokens);
		void call_service(std::string const& caller, std::string const& daemon, std::string method, std::string target,
			std::string body, std::string key);
		void ask_key(std::string const& name, std::string const& daemon);
		void hang_up(std::string const& caller);

		std::map<std::string, caller_view> callers;
		std::map<std::string, std::string> keys;
		std::map<std::string, fake_engine> engines;
		std::map<std::string, fake_plain_server> plain_servers;
		// Runs of keyed calls, by body.
		std::map<std::string, int> runs;
		// Called for each event of the time line and of the fakes: the name and where it happened.
		std::function<void(std::string const& name, std::string const& where)> on_event;
		// Faults that no scenario may ever show.
		std::vector<std::string> violations;
		std::map<std::string, std::set<std::string>> digests_in_force;

	  private:
		struct daemon
		{
			std::unique_ptr<decide::core> core;
			incarnation started;
			bool is_running = false;
			bool is_paused = false;
			bool has_left = false;
			bool is_watching = true;
			std::vector<decide::event> while_paused;
			platform_version policy_seen;
			platform_version list_seen;
			platform_version highest_in_force;
		};

		struct scheduled
		{
			time_point at;
			std::uint64_t order = 0;
			std::function<void()> run;

			[[nodiscard]] bool operator>(scheduled const& other) const noexcept
			{
				return std::pair(this->at, this->order) > std::pair(other.at, other.order);
			}
		};

		void at(duration delay, std::function<void()> run);
		// Carries something over a link: after its delay, later when held, never when cut.
		void carry(std::string const& from, std::string const& to, std::function<void()> run);
		void deliver(std::string const& name, incarnation to, decide::event event);
		void hand_in(std::string const& name, decide::event const& event);
		void tick(std::string const& name, incarnation of);
		void poll_platform(std::string const& name, incarnation of);
		void carry_out(std::string const& name, decide::action const& action);
		void answer(std::string const& name, decide::action const& action);
		void send(std::string const& name, decide::send_peer const& message);
		void probe(std::string const& name, decide::probe_peer const& order);
		// Tells a daemon that a call failed at a server.
		void fail_call(
			std::string const& server, std::string const& name, incarnation of, decide::call_failed const& failed);
		// Whether the link to a server is cut, so that a call over a new connection fails without having been sent.
		[[nodiscard]] bool fails_to_connect(std::string const& name, server_id const& server, call_id call);
		void prefill(std::string const& name, decide::start_prefill const& call);
		void decode(std::string const& name, decide::start_decode const& call);
		void stream(std::string const& name, incarnation to, decide::start_decode call, std::string prompt,
			std::uint32_t index);
		void call_plain(std::string const& name, decide::start_plain const& call);
		void poll_engine(std::string const& name, decide::poll_load const& order);
		void note(std::string const& event, std::string const& where);
		void check_config(std::string const& name);
		[[nodiscard]] caller_view* find_caller(request_id const& request);
		[[nodiscard]] duration link_delay();
		[[nodiscard]] bool is_dead(std::string const& name) const;
		[[nodiscard]] decide::instance_list make_list() const;
		void change_list(std::function<void(decide::instance_list&)> const& change);

		decide::mechanism_set mechanisms;
		std::mt19937_64 random;
		time_point now;
		std::uint64_t last_order = 0;
		std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> queue;
		std::map<std::string, daemon> daemons;
		std::set<std::set<std::string>> cuts;
		std::map<std::set<std::string>, std::vector<std::function<void()>>> holding;
		double loss = 0;
		double doubling = 0;
		std::vector<policy::SealedPolicy> published;
		std::size_t stale_policies = 0;
		bool is_out = false;
		bool is_stale = false;
		decide::instance_list list;
		std::uint64_t last_request = 0;
		std::uint64_t last_incarnation = 0;
		duration list_lag{};
	};
}
