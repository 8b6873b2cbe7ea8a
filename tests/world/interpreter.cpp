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
		constexpr duration ready_timeout = seconds(10);
		// Virtual time between the last command and the final checks, in which retries and clean-ups can finish.
		constexpr duration settle_time = seconds(8);

		// Returns the value of the option NAME=VALUE, or a default if the option is missing.
		std::string option_value(
			std::vector<std::string> const& command_words, std::string const& name, std::string const& fallback)
		{
			auto const found = std::ranges::find_if(
				command_words, [&](std::string const& word) { return word.starts_with(name + "="); });
			return found == command_words.end() ? fallback : found->substr(name.size() + 1);
		}

		int integer_option(std::vector<std::string> const& command_words, std::string const& name, int fallback)
		{
			return std::stoi(option_value(command_words, name, std::to_string(fallback)));
		}
	}

	void disable_mechanism(decide::mechanism_set& mechanisms, std::string const& name)
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

	interpreter::interpreter(decide::mechanism_set enabled, std::uint64_t run_seed)
		: mechanisms(enabled)
		, seed(run_seed)
	{
	}

	std::vector<std::string> interpreter::run(std::vector<command> const& commands)
	{
		for (auto const& step : commands)
		{
			this->execute(step);
		}
		this->fleet->run_for(settle_time);
		this->check_invariants();
		return this->failures;
	}

	void interpreter::record_failure(command const& step, std::string const& what)
	{
		this->failures.push_back(fmt::format("line {}: {}: {}", step.line, step.text(), what));
	}

	void interpreter::react_to_event(std::string const& event)
	{
		++this->event_counts[event];
		auto const found = std::ranges::find(this->event_triggers, event, &event_trigger::event);
		if (found != this->event_triggers.end())
		{
			auto const triggered_command = found->triggered_command;
			this->event_triggers.erase(found);
			this->execute(triggered_command);
		}
	}

	std::vector<std::string> interpreter::resolve_owner(words const& command_words) const
	{
		auto resolved = command_words;
		if (contains(command_words, "OWNER"))
		{
			auto const names = this->fleet->running_daemons();
			auto const& core = this->fleet->core_of(names.front());
			auto const owner = core.explain(service_id("report"), this->fleet->current_time()).owner;
			std::ranges::replace(resolved, "OWNER", owner);
		}
		return resolved;
	}

	void interpreter::execute(command const& step)
	{
		auto const command_words = this->fleet ? this->resolve_owner(step.words) : step.words;
		auto const& verb = command_words.front();
		if (verb == "fleet")
		{
			this->start_fleet(command_words);
		}
		else if (verb == "run")
		{
			this->fleet->run_for(milliseconds(std::stoi(command_words.at(1))));
		}
		else if (verb == "await")
		{
			auto const before = this->event_counts[command_words.at(1)];
			auto const has_occurred = [&]
			{
				return this->event_counts[command_words.at(1)] > before;
			};
			if (!this->fleet->run_until(has_occurred, milliseconds(std::stoi(command_words.at(3)))))
			{
				this->record_failure(step, "did not happen");
			}
		}
		else if (verb == "when")
		{
			this->event_triggers.push_back(
				{command_words.at(1), {words(command_words.begin() + 3, command_words.end()), step.line}});
		}
		else if (verb == "expect")
		{
			this->check_expectation(step);
		}
		else
		{
			this->execute_fleet_command(command_words);
		}
	}

	void interpreter::start_fleet(words const& command_words)
	{
		fleet_size const shape{integer_option(command_words, "daemons", 3), integer_option(command_words, "prefill", 2),
			integer_option(command_words, "decode", 2), integer_option(command_words, "plain", 2)};
		this->fleet = std::make_unique<simulated_fleet>(shape, this->mechanisms, this->seed);
		this->fleet->on_event = [this](std::string const& event, std::string const&)
		{
			this->react_to_event(event);
		};
		auto const is_ready = [&]
		{
			return std::ranges::all_of(this->fleet->running_daemons(), [&](std::string const& name)
				{ return this->fleet->core_of(name).status(time_point{}).state == decide::readiness::ready; });
		};
		if (!this->fleet->run_until(is_ready, ready_timeout))
		{
			this->failures.emplace_back("the fleet did not become ready");
		}
		// Gives the daemons time to receive the first load reports of the engines.
		this->fleet->run_for(seconds(1));
	}

	void interpreter::execute_fleet_command(words const& command_words)
	{
		auto& simulated = *this->fleet;
		std::map<std::string, std::function<void(std::string const&)>> const commands_with_argument{
			{"kill",
				[&](auto const& name)
				{
					simulated.kill(name);
				}},
			{"start",
				[&](auto const& name)
				{
					simulated.start(name);
				}},
			{"pause",
				[&](auto const& name)
				{
					simulated.pause(name);
				}},
			{"resume",
				[&](auto const& name)
				{
					simulated.resume(name);
				}},
			{"drain",
				[&](auto const& name)
				{
					simulated.drain(name);
				}},
			{"hang-up",
				[&](auto const& name)
				{
					simulated.hang_up(name);
				}},
			{"list-leaving",
				[&](auto const& name)
				{
					simulated.list_as_leaving(name);
				}},
			{"stale",
				[&](auto const& count)
				{
					simulated.limit_visible_policies(std::stoul(count));
				}},
			{"lag",
				[&](auto const& span)
				{
					simulated.set_list_lag(milliseconds(std::stoi(span)));
				}},
			{"hide-fence",
				[&](auto const& name)
				{
					simulated.engines.at(name).hides_fence = true;
				}},
			{"ignore-fence",
				[&](auto const& name)
				{
					simulated.engines.at(name).checks_fence = false;
				}},
			{"stall-transfers",
				[&](auto const& name)
				{
					simulated.engines.at(name).stalls_transfers = true;
				}},
			{"delay-call",
				[&](auto const& name)
				{
					simulated.engines.at(name).call_delay = seconds(2);
				}},
			{"drop-answers",
				[&](auto const& name)
				{
					simulated.plain_servers.at(name).drops_answers = true;
				}},
			{"mark",
				[&](auto const& name)
				{
					auto const engine = simulated.engines.find(name);
					this->marked_call_counts[name] = engine == simulated.engines.end()
														 ? simulated.plain_servers.at(name).calls_received
														 : engine->second.calls_received;
				}},
		};
		std::map<std::string, std::function<void()>> const commands_without_argument{
			{"outage",
				[&]
				{
					simulated.set_platform_outage(true);
				}},
			{"recover",
				[&]
				{
					simulated.set_platform_outage(false);
				}},
			{"fresh",
				[&]
				{
					simulated.limit_visible_policies(0);
				}},
		};
		auto const& verb = command_words.front();
		if (auto const found = commands_with_argument.find(verb); found != commands_with_argument.end())
		{
			found->second(command_words.at(1));
		}
		else if (auto const match = commands_without_argument.find(verb); match != commands_without_argument.end())
		{
			match->second();
		}
		else
		{
			this->execute_network_command(command_words);
		}
	}

	void interpreter::execute_network_command(words const& command_words)
	{
		auto& simulated = *this->fleet;
		auto const& verb = command_words.front();
		auto const set_flags = [&](bool leaving, bool silent)
		{
			if (auto const engine = simulated.engines.find(command_words.at(1)); engine != simulated.engines.end())
			{
				engine->second.reports_leaving = engine->second.reports_leaving || leaving;
				engine->second.is_silent = silent;
				return;
			}
			auto& server = simulated.plain_servers.at(command_words.at(1));
			server.reports_leaving = server.reports_leaving || leaving;
			server.is_silent = silent;
		};
		if (verb == "cut")
		{
			simulated.cut_link(command_words.at(1), command_words.at(2));
		}
		else if (verb == "hold")
		{
			simulated.hold_link(command_words.at(1), command_words.at(2));
		}
		else if (verb == "heal" && command_words.at(1) == "all")
		{
			simulated.heal_all_links();
		}
		else if (verb == "heal")
		{
			simulated.heal_link(command_words.at(1), command_words.at(2));
		}
		else if (verb == "noise")
		{
			simulated.set_message_faults(std::stod(command_words.at(1)), std::stod(command_words.at(2)));
		}
		else if (verb == "says-leaving" || verb == "silence" || verb == "unsilence")
		{
			set_flags(verb == "says-leaving", verb == "silence");
		}
		else
		{
			this->execute_caller_command(command_words);
		}
	}

	void interpreter::execute_caller_command(words const& command_words)
	{
		auto& simulated = *this->fleet;
		auto const& verb = command_words.front();
		if (verb == "key")
		{
			simulated.request_key(command_words.at(1), command_words.at(3));
		}
		else if (verb == "complete")
		{
			auto prompt = command_words.at(1) +
						  std::string(static_cast<std::size_t>(integer_option(command_words, "prompt", 4000)), '.');
			simulated.request_completion(command_words.at(1), command_words.at(3), std::move(prompt),
				static_cast<std::uint32_t>(integer_option(command_words, "tokens", 50)));
		}
		else if (verb == "book")
		{
			auto const body = option_value(command_words, "body", command_words.at(1));
			this->keyed_bodies[command_words.at(1)] = body;
			simulated.call_service(command_words.at(1), command_words.at(3), "POST", "/signoffs", body,
				simulated.keys[option_value(command_words, "key", "k")]);
		}
		else if (verb == "lookup")
		{
			simulated.call_service(
				command_words.at(1), command_words.at(3), "GET", "/rosters/today", command_words.at(1), "");
		}
		else
		{
			this->execute_operator_command(command_words);
		}
	}

	void interpreter::execute_operator_command(words const& command_words)
	{
		auto& simulated = *this->fleet;
		auto const& verb = command_words.front();
		if (verb == "seal")
		{
			auto const& config = simulated.core_of(command_words.at(3)).config();
			policy::seal_base base{&config.active()->document(), config.version(), {}};
			std::ranges::transform(config.refused(), std::back_inserter(base.skipped),
				[](decide::refused_document const& refused) { return refused.published; });
			auto document = make_test_policy();
			document.mutable_accounts(0)->set_requests_per_second(
				10'000 + static_cast<std::uint32_t>(this->sealed_documents.size()) + 1);
			if (auto const model = option_value(command_words, "model", ""); !model.empty())
			{
				document.mutable_pools(0)->set_model(model);
				document.mutable_pools(1)->set_model(model);
			}
			this->sealed_documents[command_words.at(1)] = policy::seal(std::move(document), base);
		}
		else if (verb == "publish")
		{
			simulated.publish(this->sealed_documents.at(command_words.at(1)));
		}
		else if (verb == "order")
		{
			// Stands for an order from a daemon that acts on an outdated policy.
			decide::send_order order;
			order.model = command_words.at(2);
			order.role = simulated.engines.at(command_words.at(1)).role;
			order.fence = platform_version(static_cast<std::uint64_t>(integer_option(command_words, "fence", 0)));
			simulated.engines.at(command_words.at(1)).apply_order(order);
		}
		else
		{
			throw std::runtime_error("no command " + verb);
		}
	}

}
