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

#include "simulated_backends.hpp"

namespace godwittrestle::testing
{
	// Numbers of simulated daemons, engines and plain servers.
	struct fleet_size
	{
		int daemons = 3;
		int prefill = 2;
		int decode = 2;
		int plain = 2;
	};

	// Returns the policy that scenarios run under: a model service "report" and a plain service "desk".
	[[nodiscard]] policy::RoutingPolicy make_test_policy();

	// Simulates daemons, engines, plain servers, callers and the platform in one process and in virtual time. Each
	// daemon runs a real decide::core; the links between them are simulated. The simulation is deterministic: the same
	// seed and calls give the same result.
	class simulated_fleet
	{
	  public:
		simulated_fleet(fleet_size shape, decide::mechanism_set mechanisms, std::uint64_t seed);

		// Advances virtual time and runs everything that is due meanwhile.
		void run_for(duration span);

		// Advances virtual time until the condition holds. Returns false if it does not hold within the given time.
		[[nodiscard]] bool run_until(std::function<bool()> const& condition, duration within);

		[[nodiscard]] time_point current_time() const noexcept
		{
			return this->now;
		}

		// Daemons. A paused daemon handles no events until it is resumed. kill also accepts engines and plain servers.
		void start(std::string const& daemon);
		void kill(std::string const& name);
		void pause(std::string const& name);
		void resume(std::string const& name);
		void drain(std::string const& daemon);
		[[nodiscard]] decide::core& core_of(std::string const& daemon);
		[[nodiscard]] bool is_running(std::string const& daemon) const;
		// Returns whether the daemon has ended its process after a drain.
		[[nodiscard]] bool has_left(std::string const& daemon) const;
		[[nodiscard]] std::vector<std::string> running_daemons() const;

		// Links between daemons, between daemons and servers, and between daemons and "platform". A cut link drops
		// messages, also those already on their way. A held link keeps new messages and delivers them when it is
		// healed.
		void cut_link(std::string const& left, std::string const& right);
		void hold_link(std::string const& left, std::string const& right);
		void heal_link(std::string const& left, std::string const& right);
		void heal_all_links();
		// Sets the probabilities that a message between daemons is lost or duplicated. Tokens that engines stream are
		// duplicated with the same probability.
		void set_message_faults(double loss, double duplication);

		// Platform: its policy documents, its instance list and its outages.
		void publish(policy::SealedPolicy const& document);
		void set_platform_outage(bool is_platform_down);
		// Lets daemons read only this many of the first published documents; 0 removes the limit.
		void limit_visible_policies(std::size_t documents);
		void list_as_leaving(std::string const& name);
		// Sets the time from a change of the instance list until daemons can read it.
		void set_list_lag(duration lag);

		// Callers. Each call sends one request to a daemon; the name of the caller identifies it afterwards.
		void request_completion(
			std::string const& caller, std::string const& daemon, std::string prompt, std::uint32_t tokens);
		void call_service(std::string const& caller, std::string const& daemon, std::string method, std::string target,
			std::string body, std::string key);
		void request_key(std::string const& name, std::string const& daemon);
		void hang_up(std::string const& caller);

		std::map<std::string, simulated_caller> callers;
		std::map<std::string, std::string> keys;
		std::map<std::string, simulated_engine> engines;
		std::map<std::string, simulated_plain_server> plain_servers;
		// Number of executions of keyed calls, by body.
		std::map<std::string, int> run_counts;
		// Called for each timeline event of a daemon and each event of a simulated server, with the name of the event
		// and the daemon or server at which it happened.
		std::function<void(std::string const& name, std::string const& where)> on_event;
		// Violated invariants: a daemon's configuration went back to an older version.
		std::vector<std::string> violations;
		// Daemons on which each configuration has been in force, by the digest of the configuration.
		std::map<std::string, std::set<std::string>> digests_in_force;

	  private:
		// A simulated daemon process.
		struct simulated_daemon
		{
			std::unique_ptr<decide::core> core;
			incarnation started;
			bool is_running = false;
			bool is_paused = false;
			bool has_left = false;
			bool is_watching = true;
			// Events that arrived while the daemon was paused.
			std::vector<decide::event> events_while_paused;
			platform_version policy_version_read;
			platform_version list_version_read;
			platform_version highest_version_in_force;
		};

		// A function that runs at a point of virtual time; functions due at the same time run in order of scheduling.
		struct scheduled_task
		{
			time_point at;
			std::uint64_t sequence = 0;
			std::function<void()> run;

			[[nodiscard]] bool operator>(scheduled_task const& other) const noexcept
			{
				return std::pair(this->at, this->sequence) > std::pair(other.at, other.sequence);
			}
		};

		// Schedules a function to run after a delay.
		void schedule(duration delay, std::function<void()> run);
		// Runs a function, which stands for the arrival of a message, after the delay of a link. On a held link it runs
		// when the link is healed, on a cut link never.
		void send_over_link(std::string const& from, std::string const& to, std::function<void()> run);
		// In the functions below, name is the id of the daemon that receives the event or acts.

		// Gives an event to a daemon. Drops it if this incarnation no longer runs; keeps it while the daemon is paused.
		void deliver(std::string const& name, incarnation receiver_incarnation, decide::event event);
		// Lets a core handle an event and carries out the resulting actions.
		void handle_event(std::string const& name, decide::event const& event);
		// Sends a tick to a daemon, and the next one after 10 ms, as long as this incarnation runs.
		void tick(std::string const& name, incarnation daemon_incarnation);
		// Lets a daemon read the platform now and at each poll interval, as long as this incarnation runs.
		void poll_platform(std::string const& name, incarnation daemon_incarnation);
		void perform_action(std::string const& name, decide::action const& action);
		// Carries out an action that answers a caller; ignores all other actions.
		void answer_caller(std::string const& name, decide::action const& action);
		void send_peer_message(std::string const& name, decide::send_peer const& message);
		void probe_daemon(std::string const& name, decide::probe_peer const& order);
		// Sends the failure of a call from a server to a daemon.
		void report_call_failure(std::string const& server, std::string const& name, incarnation daemon_incarnation,
			decide::call_failed const& failed);
		// Returns whether the link to a server is cut. If so, the daemon learns after the connect timeout that the call
		// failed without being sent.
		[[nodiscard]] bool fail_if_link_cut(std::string const& name, server_id const& server, call_id call);
		void run_prefill(std::string const& name, decide::start_prefill const& call);
		void run_decode(std::string const& name, decide::start_decode const& call);
		// Streams the tokens from an index to the end of the answer, one per token gap.
		void stream_tokens(std::string const& name, incarnation receiver_incarnation, decide::start_decode call,
			std::string prompt, std::uint32_t index);
		void run_plain_call(std::string const& name, decide::start_plain const& call);
		void poll_engine(std::string const& name, decide::poll_load const& order);
		void emit_event(std::string const& event, std::string const& where);
		// Records a violation if the configuration of a daemon went back to an older version.
		void check_config_version(std::string const& name);
		[[nodiscard]] simulated_caller* find_caller(request_id const& request);
		[[nodiscard]] duration draw_link_delay();
		[[nodiscard]] bool is_dead(std::string const& name) const;
		[[nodiscard]] decide::instance_list make_list() const;
		void change_list(std::function<void(decide::instance_list&)> const& change);

		decide::mechanism_set mechanisms;
		std::mt19937_64 random;
		time_point now;
		std::uint64_t last_sequence = 0;
		std::priority_queue<scheduled_task, std::vector<scheduled_task>, std::greater<>> queue;
		std::map<std::string, simulated_daemon> daemons;
		// Links are unordered pairs of names.
		std::set<std::set<std::string>> cut_links;
		// Messages on held links.
		std::map<std::set<std::string>, std::vector<std::function<void()>>> held_links;
		double loss_probability = 0;
		double duplicate_probability = 0;
		std::vector<policy::SealedPolicy> published;
		std::size_t visible_policies = 0;
		bool is_platform_down = false;
		bool has_policy_limit = false;
		decide::instance_list list;
		std::uint64_t last_request = 0;
		std::uint64_t last_incarnation = 0;
		duration list_lag{};
	};
}
