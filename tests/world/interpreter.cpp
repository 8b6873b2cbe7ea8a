#include "interpreter.hpp"

#include <algorithm>
#include <ranges>
#include <stdexcept>

#include <fmt/format.h>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/policy.hpp>

namespace godwittrestle::testing
{
	namespace
	{
		constexpr duration ready_time = seconds(10);
		// Virtual time between the last command and the final checks, in which retries and clean-ups can finish.
		constexpr duration settle_time = seconds(8);

		// Returns the value of the option NAME=VALUE, or a default if the option is missing.
		std::string option(std::vector<std::string> const& given, std::string const& name, std::string const& missing)
		{
			auto const found =
				std::ranges::find_if(given, [&](std::string const& word) { return word.starts_with(name + "="); });
			return found == given.end() ? missing : found->substr(name.size() + 1);
		}

		int number(std::vector<std::string> const& given, std::string const& name, int missing)
		{
			return std::stoi(option(given, name, std::to_string(missing)));
		}
	}

	void switch_off(decide::mechanism_set& mechanisms, std::string const& name)
	{
		using member = bool decide::mechanism_set::*;
		static std::map<std::string, member> const members{
			{"key_recorded_before_send", &decide::mechanism_set::key_recorded_before_send},
			{"issuer_checks_start_time", &decide::mechanism_set::issuer_checks_start_time},
			{"orphan_cleanup", &decide::mechanism_set::orphan_cleanup},
			{"disown_proof", &decide::mechanism_set::disown_proof},
			{"cancel_retry", &decide::mechanism_set::cancel_retry},
			{"token_deduplication", &decide::mechanism_set::token_deduplication},
			{"leaving_exclusion", &decide::mechanism_set::leaving_exclusion},
			{"lease_expiry_check", &decide::mechanism_set::lease_expiry_check},
			{"version_order", &decide::mechanism_set::version_order},
			{"out_of_turn_refusal", &decide::mechanism_set::out_of_turn_refusal},
			{"order_repetition", &decide::mechanism_set::order_repetition},
			{"orders_need_current_policy", &decide::mechanism_set::orders_need_current_policy},
			{"wake_up_check", &decide::mechanism_set::wake_up_check},
			{"immediate_refusal", &decide::mechanism_set::immediate_refusal},
			{"key_table_move", &decide::mechanism_set::key_table_move},
			{"peer_config_exchange", &decide::mechanism_set::peer_config_exchange},
			{"stall_detection", &decide::mechanism_set::stall_detection},
		};
		auto const found = members.find(name);
		if (found == members.end())
		{
			throw std::runtime_error("no mechanism " + name);
		}
		mechanisms.*(found->second) = false;
	}

	interpreter::interpreter(decide::mechanism_set enabled, std::uint64_t chosen)
		: mechanisms(enabled)
		, seed(chosen)
	{
	}

	std::vector<std::string> interpreter::run(std::vector<command> const& commands)
	{
		for (auto const& each : commands)
		{
			this->execute(each);
		}
		this->scene->run_for(settle_time);
		this->check_always();
		return this->failures;
	}

	void interpreter::fail(command const& each, std::string const& what)
	{
		this->failures.push_back(fmt::format("line {}: {}: {}", each.line, each.text(), what));
	}

	void interpreter::note_event(std::string const& event)
	{
		++this->event_counts[event];
		auto const found = std::ranges::find(this->reactions, event, &reaction::event);
		if (found != this->reactions.end())
		{
			auto const then = found->then;
			this->reactions.erase(found);
			this->execute(then);
		}
	}

	std::vector<std::string> interpreter::resolve(words const& given) const
	{
		auto resolved = given;
		if (contains(given, "OWNER"))
		{
			auto const names = this->scene->running_daemons();
			auto const& core = this->scene->core_of(names.front());
			auto const owner = core.explain(service_id("report"), this->scene->present()).owner;
			std::ranges::replace(resolved, "OWNER", owner);
		}
		return resolved;
	}

	void interpreter::execute(command const& each)
	{
		auto const given = this->scene ? this->resolve(each.words) : each.words;
		auto const& verb = given.front();
		if (verb == "fleet")
		{
			this->begin(given);
		}
		else if (verb == "run")
		{
			this->scene->run_for(milliseconds(std::stoi(given.at(1))));
		}
		else if (verb == "await")
		{
			auto const before = this->event_counts[given.at(1)];
			auto const has_come = [&]
			{
				return this->event_counts[given.at(1)] > before;
			};
			if (!this->scene->run_until(has_come, milliseconds(std::stoi(given.at(3)))))
			{
				this->fail(each, "did not happen");
			}
		}
		else if (verb == "when")
		{
			this->reactions.push_back({given.at(1), {words(given.begin() + 3, given.end()), each.line}});
		}
		else if (verb == "expect")
		{
			this->execute_expect(each);
		}
		else
		{
			this->execute_simple(given);
		}
	}

	void interpreter::begin(words const& given)
	{
		fleet_shape const shape{number(given, "daemons", 3), number(given, "prefill", 2), number(given, "decode", 2),
			number(given, "plain", 2)};
		this->scene = std::make_unique<world>(shape, this->mechanisms, this->seed);
		this->scene->on_event = [this](std::string const& event, std::string const&)
		{
			this->note_event(event);
		};
		auto const is_ready = [&]
		{
			return std::ranges::all_of(this->scene->running_daemons(), [&](std::string const& name)
				{ return this->scene->core_of(name).status(time_point{}).state == decide::readiness::ready; });
		};
		if (!this->scene->run_until(is_ready, ready_time))
		{
			this->failures.emplace_back("the fleet did not become ready");
		}
		// The daemons receive the first load reports of the engines.
		this->scene->run_for(seconds(1));
	}

	void interpreter::execute_simple(words const& given)
	{
		auto& target = *this->scene;
		std::map<std::string, std::function<void(std::string const&)>> const with_name{
			{"kill",
				[&](auto const& name)
				{
					target.kill(name);
				}},
			{"start",
				[&](auto const& name)
				{
					target.start(name);
				}},
			{"pause",
				[&](auto const& name)
				{
					target.pause(name);
				}},
			{"resume",
				[&](auto const& name)
				{
					target.resume(name);
				}},
			{"drain",
				[&](auto const& name)
				{
					target.drain(name);
				}},
			{"hang-up",
				[&](auto const& name)
				{
					target.hang_up(name);
				}},
			{"list-leaving",
				[&](auto const& name)
				{
					target.list_as_leaving(name);
				}},
			{"stale",
				[&](auto const& count)
				{
					target.set_stale(std::stoul(count));
				}},
			{"lag",
				[&](auto const& span)
				{
					target.set_list_lag(milliseconds(std::stoi(span)));
				}},
			{"hide-fence",
				[&](auto const& name)
				{
					target.engines.at(name).hides_fence = true;
				}},
			{"ignore-fence",
				[&](auto const& name)
				{
					target.engines.at(name).checks_fence = false;
				}},
			{"stall-transfers",
				[&](auto const& name)
				{
					target.engines.at(name).stalls_transfers = true;
				}},
			{"delay-call",
				[&](auto const& name)
				{
					target.engines.at(name).call_delay = seconds(2);
				}},
			{"drop-answers",
				[&](auto const& name)
				{
					target.plain_servers.at(name).drops_answers = true;
				}},
			{"mark",
				[&](auto const& name)
				{
					auto const engine = target.engines.find(name);
					this->marks[name] = engine == target.engines.end() ? target.plain_servers.at(name).work_started
																	   : engine->second.work_started;
				}},
		};
		std::map<std::string, std::function<void()>> const alone{
			{"outage",
				[&]
				{
					target.set_outage(true);
				}},
			{"recover",
				[&]
				{
					target.set_outage(false);
				}},
			{"fresh",
				[&]
				{
					target.set_stale(0);
				}},
		};
		auto const& verb = given.front();
		if (auto const found = with_name.find(verb); found != with_name.end())
		{
			found->second(given.at(1));
		}
		else if (auto const lone = alone.find(verb); lone != alone.end())
		{
			lone->second();
		}
		else
		{
			this->execute_link(given);
		}
	}

	void interpreter::execute_link(words const& given)
	{
		auto& target = *this->scene;
		auto const& verb = given.front();
		auto const set_flags = [&](bool leaving, bool silent)
		{
			if (auto const engine = target.engines.find(given.at(1)); engine != target.engines.end())
			{
				engine->second.says_leaving = engine->second.says_leaving || leaving;
				engine->second.is_silent = silent;
				return;
			}
			auto& server = target.plain_servers.at(given.at(1));
			server.says_leaving = server.says_leaving || leaving;
			server.is_silent = silent;
		};
		if (verb == "cut")
		{
			target.cut(given.at(1), given.at(2));
		}
		else if (verb == "hold")
		{
			target.hold(given.at(1), given.at(2));
		}
		else if (verb == "heal" && given.at(1) == "all")
		{
			target.heal_all();
		}
		else if (verb == "heal")
		{
			target.heal(given.at(1), given.at(2));
		}
		else if (verb == "noise")
		{
			target.set_noise(std::stod(given.at(1)), std::stod(given.at(2)));
		}
		else if (verb == "says-leaving" || verb == "silence" || verb == "unsilence")
		{
			set_flags(verb == "says-leaving", verb == "silence");
		}
		else
		{
			this->execute_call(given);
		}
	}

	void interpreter::execute_call(words const& given)
	{
		auto& target = *this->scene;
		auto const& verb = given.front();
		if (verb == "key")
		{
			target.ask_key(given.at(1), given.at(3));
		}
		else if (verb == "complete")
		{
			auto prompt = given.at(1) + std::string(static_cast<std::size_t>(number(given, "prompt", 4000)), '.');
			target.ask_completion(
				given.at(1), given.at(3), std::move(prompt), static_cast<std::uint32_t>(number(given, "tokens", 50)));
		}
		else if (verb == "book")
		{
			auto const body = option(given, "body", given.at(1));
			this->keyed_bodies[given.at(1)] = body;
			target.call_service(
				given.at(1), given.at(3), "POST", "/signoffs", body, target.keys[option(given, "key", "k")]);
		}
		else if (verb == "lookup")
		{
			target.call_service(given.at(1), given.at(3), "GET", "/rosters/today", given.at(1), "");
		}
		else
		{
			this->execute_policy(given);
		}
	}

	void interpreter::execute_policy(words const& given)
	{
		auto& target = *this->scene;
		auto const& verb = given.front();
		if (verb == "seal")
		{
			auto const& config = target.core_of(given.at(3)).config();
			policy::seal_base base{&config.active()->document(), config.version(), {}};
			std::ranges::transform(config.refused(), std::back_inserter(base.skipped),
				[](decide::refused_document const& refused) { return refused.published; });
			auto document = make_test_policy();
			document.mutable_accounts(0)->set_requests_per_second(
				10'000 + static_cast<std::uint32_t>(this->documents.size()) + 1);
			if (auto const model = option(given, "model", ""); !model.empty())
			{
				document.mutable_pools(0)->set_model(model);
				document.mutable_pools(1)->set_model(model);
			}
			this->documents[given.at(1)] = policy::seal(std::move(document), base);
		}
		else if (verb == "publish")
		{
			target.publish(this->documents.at(given.at(1)));
		}
		else if (verb == "order")
		{
			// An order from a daemon that acts on an outdated policy.
			decide::send_order order;
			order.model = given.at(2);
			order.role = target.engines.at(given.at(1)).role;
			order.fence = platform_version(static_cast<std::uint64_t>(number(given, "fence", 0)));
			target.engines.at(given.at(1)).obey(order);
		}
		else
		{
			throw std::runtime_error("no command " + verb);
		}
	}

}
