#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scenario_file.hpp"
#include "simulated_fleet.hpp"

namespace godwittrestle::testing
{
	// Runs the commands of one row of a scenario against simulated daemons and servers of its own.
	//
	// Times are in milliseconds of virtual time. OWNER stands for the daemon that owns the cell of the service
	// "report" when the line is executed (a "when" line: before its event). "expect" lines keep OWNER unchanged.
	//
	//     fleet daemons=3 prefill=2 decode=2 plain=2   starts everything and waits until all daemons are ready
	//     run MS                                       lets time pass
	//     await EVENT within MS                        waits for the next occurrence of an event
	//     when EVENT do COMMAND                        runs a command immediately at the next occurrence of an event
	//     expect ... [within MS]                       checks a condition; see interpreter::holds
	//
	//     kill NAME                                    kills a daemon, an engine or a plain server
	//     start|pause|resume|drain D                   starts, suspends, continues or drains a daemon
	//     cut|hold|heal A B, heal all                  drops or delays messages of a link, or restores it; a link joins
	//                                                  two daemons, a daemon and a server, or a daemon and "platform"
	//     noise LOSS DUPLICATION                       sets the probabilities that a message between daemons is lost
	//                                                  or duplicated; tokens of engines are duplicated as well
	//     outage, recover                              makes the platform unreachable, or reachable again
	//     stale DOCUMENTS, fresh                       lets daemons read only the first DOCUMENTS documents, or all
	//     lag MS                                       delays later changes of the platform's instance list
	//
	//     list-leaving NAME                            the platform lists a daemon or server as leaving
	//     says-leaving NAME                            a server refuses calls because it is leaving
	//     silence|unsilence NAME                       a server accepts connections without answering, or answers again
	//     delay-call NAME                              an engine starts its next prefill two seconds late
	//     drop-answers NAME                            a plain server executes calls, but its answers are lost
	//     ignore-fence NAME                            an engine applies orders with any fencing number
	//     hide-fence NAME                              an engine omits the fencing number from its load reports
	//     stall-transfers NAME                         transfers of the KV cache from an engine never finish
	//     order NAME MODEL [fence=N]                   an engine receives an order with a fencing number, 0 by default
	//
	//     key K from D                                 requests an idempotency key
	//     complete C via D tokens=N prompt=BYTES       requests a completion
	//     book C via D key=K body=B                    sends a keyed call, which must run at most once
	//     lookup C via D                               sends a call that may be repeated
	//     hang-up C                                    a caller closes its connection
	//     seal NAME via D [model=M]                    seals a policy document that is based on the configuration of D
	//     publish NAME                                 publishes a sealed document on the platform
	//     mark NAME                                    remembers the number of calls that a server has received
	class interpreter
	{
	  public:
		interpreter(decide::mechanism_set mechanisms, std::uint64_t seed);

		// Runs all commands and the final checks. Returns a description of each failed expectation, empty if all hold.
		// Throws std::runtime_error for an unknown command.
		[[nodiscard]] std::vector<std::string> run(std::vector<command> const& commands);

		// Returns how many callers ended with each outcome, without the requests for keys.
		[[nodiscard]] std::map<std::string, int> outcomes() const;

	  private:
		using words = std::vector<std::string>;

		// A command that runs at the next occurrence of an event.
		struct event_trigger
		{
			std::string event;
			command triggered_command;
		};

		// Replaces the word OWNER by the id of the daemon that owns the cell now.
		[[nodiscard]] words resolve_owner(words const& command_words) const;
		void execute(command const& step);
		// Each of these functions executes the commands that it knows and passes all others to the next one. The last
		// one throws std::runtime_error for an unknown command.
		void execute_fleet_command(words const& command_words);
		void execute_network_command(words const& command_words);
		void execute_caller_command(words const& command_words);
		void execute_operator_command(words const& command_words);
		void check_expectation(command const& step);
		[[nodiscard]] bool holds(words const& command_words);
		[[nodiscard]] bool holds_for_caller(std::string const& caller, words const& command_words);
		[[nodiscard]] bool holds_for_config(words const& command_words);
		void start_fleet(words const& command_words);
		// Counts an event and runs the first command that waits for it.
		void react_to_event(std::string const& event);
		// Checks the conditions that must hold at the end of every scenario: each received answer is correct as far as
		// it goes, each keyed call ran at most once, and the outcomes "ran" and "not_run" agree with the number of
		// runs.
		void check_invariants();
		void record_failure(command const& step, std::string const& what);

		decide::mechanism_set mechanisms;
		std::uint64_t seed;
		std::unique_ptr<simulated_fleet> fleet;
		std::vector<std::string> failures;
		std::vector<event_trigger> event_triggers;
		std::map<std::string, int> event_counts;
		std::map<std::string, policy::SealedPolicy> sealed_documents;
		// Number of calls that each marked server had received at its latest mark command.
		std::map<std::string, std::uint64_t> marked_call_counts;
		// Bodies of keyed calls, by caller.
		std::map<std::string, std::string> keyed_bodies;
	};

	// Disables the mechanism with a given name. Throws std::runtime_error for an unknown name.
	void disable_mechanism(decide::mechanism_set& mechanisms, std::string const& name);
}
