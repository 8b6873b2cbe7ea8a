#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "script.hpp"
#include "world.hpp"

namespace godwittrestle::testing
{
	// Runs the commands of one row of a scenario in a world of its own.
	//
	//     fleet daemons=3 prefill=2 decode=2 plain=2   begin, and wait until all daemons are ready
	//     run MS                                       let time pass
	//     await EVENT within MS                        wait for an event that has not happened yet
	//     when EVENT do COMMAND                        run a command at once when an event next happens
	//     kill|start|pause|resume|drain NAME           a daemon, or kill an engine or a server
	//     cut|hold|heal A B, heal all                  links of daemons, servers and "platform"
	//     noise LOSS DOUBLING                          chances for each message between daemons
	//     outage|recover, stale DOCUMENTS|fresh, lag MS  the platform
	//     list-leaving NAME, says-leaving NAME         a leaving server by the list or by its own word
	//     silence|unsilence NAME                       a server or engine whose connections hang
	//     delay-call NAME, drop-answers NAME, ignore-fence NAME, hide-fence NAME, stall-transfers NAME, order NAME
	//     MODEL key K from D                                 get an idempotency key complete C via D tokens=N
	//     prompt=BYTES       ask for a completion book C via D key=K body=B                    call that must not be
	//     repeated lookup C via D                               call that may be repeated hang-up C the caller closes
	//     its connection seal NAME via D, publish NAME, model NAME M  documents of operators mark NAME remember how
	//     much work a server has begun expect ... [within MS]                       see the table in interpreter.cpp
	class interpreter
	{
	  public:
		interpreter(decide::mechanism_set mechanisms, std::uint64_t seed);

		// Runs everything and returns what did not hold; empty when all did.
		[[nodiscard]] std::vector<std::string> run(std::vector<command> const& commands);

		// The callers' outcomes, for the fault table's counts.
		[[nodiscard]] std::map<std::string, int> outcomes() const;

	  private:
		using words = std::vector<std::string>;

		struct reaction
		{
			std::string event;
			command then;
		};

		// Replaces the word OWNER by the daemon that owns the cell now.
		[[nodiscard]] words resolve(words const& given) const;
		void execute(command const& each);
		void execute_simple(words const& given);
		void execute_link(words const& given);
		void execute_call(words const& given);
		void execute_policy(words const& given);
		void execute_expect(command const& each);
		[[nodiscard]] bool holds(words const& given);
		[[nodiscard]] bool holds_for_caller(std::string const& caller, words const& given);
		[[nodiscard]] bool holds_for_config(words const& given);
		void begin(words const& given);
		void note_event(std::string const& event);
		void check_always();
		void fail(command const& each, std::string const& what);

		decide::mechanism_set mechanisms;
		std::uint64_t seed;
		std::unique_ptr<world> scene;
		std::vector<std::string> failures;
		std::vector<reaction> reactions;
		std::map<std::string, int> event_counts;
		std::map<std::string, policy::SealedPolicy> documents;
		std::map<std::string, std::uint64_t> marks;
		std::map<std::string, std::string> keyed_bodies;
	};

	// Switches one mechanism off by its name; throws std::runtime_error for an unknown name.
	void switch_off(decide::mechanism_set& mechanisms, std::string const& name);
}
