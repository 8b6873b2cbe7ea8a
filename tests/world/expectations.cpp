#include "interpreter.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <stdexcept>

#include <fmt/format.h>

// Checks the expectations of scenarios, and the conditions that must hold at the end of every scenario.
namespace godwittrestle::testing
{
	namespace
	{
		std::string_view outcome_of(simulated_caller const& view)
		{
			if (view.reply)
			{
				return view.reply->outcome == decide::call_outcome::ran ? "ran" : "reply";
			}
			if (view.failure)
			{
				return decide::to_string(view.failure->kind);
			}
			if (view.is_complete)
			{
				return "whole";
			}
			return view.has_hung_up ? "gone" : view.is_connection_lost ? "connection_lost" : "unanswered";
		}
	}

	std::map<std::string, int> interpreter::outcomes() const
	{
		std::map<std::string, int> counts;
		for (auto const& [caller, view] : this->fleet->callers)
		{
			if (!this->fleet->keys.contains(caller))
			{
				++counts[std::string(outcome_of(view))];
			}
		}
		return counts;
	}

	void interpreter::check_expectation(command const& step)
	{
		words command_words(step.words.begin() + 1, step.words.end());
		auto within = duration{};
		if (command_words.size() > 2 && command_words[command_words.size() - 2] == "within")
		{
			within = milliseconds(std::stoi(command_words.back()));
			command_words.resize(command_words.size() - 2);
		}
		if (!this->fleet->run_until([&] { return this->holds(command_words); }, within))
		{
			auto const view = this->fleet->callers.find(command_words.front());
			this->record_failure(
				step, view == this->fleet->callers.end() ? "does not hold" : std::string(outcome_of(view->second)));
		}
	}

	// Returns whether an expectation holds now. Throws std::runtime_error if the expectation is unknown.
	//
	//     C outcome KIND            caller C got the outcome KIND (see outcome_of)
	//     C whole                   caller C received the complete, correct answer
	//     C answered                caller C was answered: by a complete answer, a reply or a failure
	//     C answered-in MS          caller C was answered within MS milliseconds of its request
	//     C retry-after             caller C got a failure with the time after which to retry
	//     C replay                  caller C got the recorded answer of an earlier keyed call
	//     all answered              every caller was answered, hung up or lost its connection
	//     runs B = N                keyed calls with the body B ran N times
	//     held = 0                  no live engine holds memory
	//     config NAME on all|D      document NAME is in force on all running daemons, or on D
	//     never config NAME         document NAME has never been in force on any daemon
	//     no new work on S          server S has received no call since "mark S"
	//     left D                    daemon D has ended its process after a drain
	//     engine E model M          engine E has model M loaded
	//     event E, no event E       event E has happened, or has not
	bool interpreter::holds(words const& command_words)
	{
		auto& simulated = *this->fleet;
		auto const& subject = command_words.front();
		if (simulated.callers.contains(subject))
		{
			return this->holds_for_caller(subject, command_words);
		}
		if (subject == "all")
		{
			return std::ranges::all_of(simulated.callers,
				[&](auto const& each)
				{
					return each.second.is_answered() || each.second.is_connection_lost || each.second.has_hung_up ||
						   simulated.keys.contains(each.first);
				});
		}
		if (subject == "runs")
		{
			return simulated.run_counts[command_words.at(1)] == std::stoi(command_words.at(3));
		}
		if (subject == "held")
		{
			return std::ranges::all_of(simulated.engines | std::views::values,
				[](simulated_engine const& engine) { return engine.is_dead || engine.held.empty(); });
		}
		if (subject == "config" || subject == "never")
		{
			return this->holds_for_config(command_words);
		}
		if (subject == "no" && command_words.at(1) == "event")
		{
			return this->event_counts[command_words.at(2)] == 0;
		}
		if (subject == "no")
		{
			auto const& server = command_words.at(4);
			auto const engine = simulated.engines.find(server);
			auto const received = engine == simulated.engines.end() ? simulated.plain_servers.at(server).calls_received
																	: engine->second.calls_received;
			return received == this->marked_call_counts.at(server);
		}
		if (subject == "event")
		{
			return this->event_counts[command_words.at(1)] > 0;
		}
		if (subject == "left")
		{
			return simulated.has_left(command_words.at(1));
		}
		if (subject == "engine")
		{
			return simulated.engines.at(command_words.at(1)).model == command_words.at(3);
		}
		throw std::runtime_error("no expectation " + subject);
	}

	bool interpreter::holds_for_caller(std::string const& caller, words const& command_words)
	{
		auto const& view = this->fleet->callers.at(caller);
		auto const& what = command_words.at(1);
		if (what == "whole")
		{
			return view.is_complete && view.text == view.expected_text;
		}
		if (what == "outcome")
		{
			return outcome_of(view) == command_words.at(2);
		}
		if (what == "answered")
		{
			return view.is_answered();
		}
		if (what == "answered-in")
		{
			return view.answered_at &&
				   *view.answered_at - view.requested_at <= milliseconds(std::stoi(command_words.at(2)));
		}
		if (what == "retry-after")
		{
			return view.failure && view.failure->retry_after > duration{};
		}
		if (what == "replay")
		{
			return view.reply && view.reply->replay;
		}
		throw std::runtime_error("no expectation " + what);
	}

	bool interpreter::holds_for_config(words const& command_words)
	{
		auto& simulated = *this->fleet;
		auto const& digest =
			this->sealed_documents.at(command_words.front() == "never" ? command_words.at(2) : command_words.at(1))
				.digest();
		if (command_words.front() == "never")
		{
			return !simulated.digests_in_force.contains(digest);
		}
		auto const is_in_force = [&](std::string const& name)
		{
			return simulated.core_of(name).config().digest() == digest;
		};
		return command_words.at(3) == "all" ? std::ranges::all_of(simulated.running_daemons(), is_in_force)
											: is_in_force(command_words.at(3));
	}

	void interpreter::check_invariants()
	{
		auto& simulated = *this->fleet;
		std::ranges::copy(simulated.violations, std::back_inserter(this->failures));
		for (auto const& [caller, view] : simulated.callers)
		{
			auto const is_correct = !view.is_out_of_order && view.text == reference_text(view.prompt, view.next_index);
			if (!is_correct || (view.is_complete && view.next_index != view.expected_tokens))
			{
				this->failures.push_back(fmt::format("{} got a wrong answer: '{}'", caller, view.text.substr(0, 120)));
			}
			auto const body = this->keyed_bodies.find(caller);
			if (body == this->keyed_bodies.end())
			{
				continue;
			}
			auto const runs = simulated.run_counts[body->second];
			if (runs > 1)
			{
				this->failures.push_back(fmt::format("{} ran {} times", body->second, runs));
			}
			if (outcome_of(view) == "not_run" && runs != 0)
			{
				this->failures.push_back(fmt::format("{} was answered 'not run' but ran", body->second));
			}
			if (outcome_of(view) == "ran" && runs == 0)
			{
				this->failures.push_back(fmt::format("{} was answered 'ran' but did not run", body->second));
			}
		}
	}
}
