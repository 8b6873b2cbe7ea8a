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
		std::string_view outcome_of(caller_view const& view)
		{
			if (view.reply)
			{
				return view.reply->outcome == decide::call_outcome::ran ? "ran" : "reply";
			}
			if (view.failure)
			{
				return decide::to_string(view.failure->kind);
			}
			if (view.is_whole)
			{
				return "whole";
			}
			return view.is_gone ? "gone" : view.is_connection_lost ? "connection_lost" : "unanswered";
		}
	}

	std::map<std::string, int> interpreter::outcomes() const
	{
		std::map<std::string, int> counts;
		for (auto const& [caller, view] : this->scene->callers)
		{
			if (!this->scene->keys.contains(caller))
			{
				++counts[std::string(outcome_of(view))];
			}
		}
		return counts;
	}

	void interpreter::execute_expect(command const& each)
	{
		words given(each.words.begin() + 1, each.words.end());
		auto within = duration{};
		if (given.size() > 2 && given[given.size() - 2] == "within")
		{
			within = milliseconds(std::stoi(given.back()));
			given.resize(given.size() - 2);
		}
		if (!this->scene->run_until([&] { return this->holds(given); }, within))
		{
			auto const view = this->scene->callers.find(given.front());
			this->fail(
				each, view == this->scene->callers.end() ? "does not hold" : std::string(outcome_of(view->second)));
		}
	}

	// Returns whether an expectation holds now. Throws std::runtime_error for an unknown one.
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
	bool interpreter::holds(words const& given)
	{
		auto& target = *this->scene;
		auto const& subject = given.front();
		if (target.callers.contains(subject))
		{
			return this->holds_for_caller(subject, given);
		}
		if (subject == "all")
		{
			return std::ranges::all_of(target.callers,
				[&](auto const& each)
				{
					return each.second.is_answered() || each.second.is_connection_lost || each.second.is_gone ||
						   target.keys.contains(each.first);
				});
		}
		if (subject == "runs")
		{
			return target.runs[given.at(1)] == std::stoi(given.at(3));
		}
		if (subject == "held")
		{
			return std::ranges::all_of(target.engines | std::views::values,
				[](fake_engine const& engine) { return engine.is_dead || engine.held.empty(); });
		}
		if (subject == "config" || subject == "never")
		{
			return this->holds_for_config(given);
		}
		if (subject == "no" && given.at(1) == "event")
		{
			return this->event_counts[given.at(2)] == 0;
		}
		if (subject == "no")
		{
			auto const& server = given.at(4);
			auto const engine = target.engines.find(server);
			auto const begun = engine == target.engines.end() ? target.plain_servers.at(server).work_started
															  : engine->second.work_started;
			return begun == this->marks.at(server);
		}
		if (subject == "event")
		{
			return this->event_counts[given.at(1)] > 0;
		}
		if (subject == "left")
		{
			return target.has_left(given.at(1));
		}
		if (subject == "engine")
		{
			return target.engines.at(given.at(1)).model == given.at(3);
		}
		throw std::runtime_error("no expectation " + subject);
	}

	bool interpreter::holds_for_caller(std::string const& caller, words const& given)
	{
		auto const& view = this->scene->callers.at(caller);
		auto const& what = given.at(1);
		if (what == "whole")
		{
			return view.is_whole && view.text == view.reference;
		}
		if (what == "outcome")
		{
			return outcome_of(view) == given.at(2);
		}
		if (what == "answered")
		{
			return view.is_answered();
		}
		if (what == "answered-in")
		{
			return view.answered_at && *view.answered_at - view.asked_at <= milliseconds(std::stoi(given.at(2)));
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

	bool interpreter::holds_for_config(words const& given)
	{
		auto& target = *this->scene;
		auto const& digest = this->documents.at(given.front() == "never" ? given.at(2) : given.at(1)).digest();
		if (given.front() == "never")
		{
			return !target.digests_in_force.contains(digest);
		}
		auto const has_it = [&](std::string const& name)
		{
			return target.core_of(name).config().digest() == digest;
		};
		return given.at(3) == "all" ? std::ranges::all_of(target.running_daemons(), has_it) : has_it(given.at(3));
	}

	void interpreter::check_always()
	{
		auto& target = *this->scene;
		std::ranges::copy(target.violations, std::back_inserter(this->failures));
		for (auto const& [caller, view] : target.callers)
		{
			auto const is_right = !view.is_out_of_order && view.text == reference_text(view.prompt, view.next_index);
			if (!is_right || (view.is_whole && view.next_index != view.expected_tokens))
			{
				this->failures.push_back(fmt::format("{} got a wrong answer: '{}'", caller, view.text.substr(0, 120)));
			}
			auto const body = this->keyed_bodies.find(caller);
			if (body == this->keyed_bodies.end())
			{
				continue;
			}
			auto const runs = target.runs[body->second];
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
