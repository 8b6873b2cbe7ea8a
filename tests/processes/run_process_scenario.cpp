#include <array>
#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>
#include <stdexcept>

#include <fmt/format.h>
#include <zmq.h>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/policy.hpp>

#include "process_fleet.hpp"
#include "scenario_file.hpp"
#include "simulated_fleet.hpp"

namespace
{
	using namespace godwittrestle;
	using namespace godwittrestle::testing;
	using words = std::vector<std::string>;

	// Multiplies the time limits of scenarios, since a busy machine may be much slower. A wait ends as soon as its
	// condition holds.
	constexpr int timeout_factor = 6;

	std::string option_value(words const& command_words, std::string const& name, std::string const& fallback)
	{
		auto const found =
			std::ranges::find_if(command_words, [&](std::string const& word) { return word.starts_with(name + "="); });
		return found == command_words.end() ? fallback : found->substr(name.size() + 1);
	}

	// Returns daemon arguments with a new key pair for the option "encrypted=yes", otherwise none.
	std::vector<std::string> key_arguments(words const& command_words)
	{
		if (option_value(command_words, "encrypted", "no") != "yes")
		{
			return {};
		}
		constexpr std::size_t key_length = 40;
		std::array<char, key_length + 1> public_key{};
		std::array<char, key_length + 1> secret_key{};
		if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0)
		{
			throw std::runtime_error("this build of libzmq has no encryption");
		}
		return {std::string("--peer-public-key=") + public_key.data(),
			std::string("--peer-secret-key=") + secret_key.data()};
	}

	// Runs the commands of a scenario against real processes. Throws std::runtime_error for commands and expectations
	// that only the simulation supports.
	class process_interpreter
	{
	  public:
		process_interpreter(unsigned short first_port, std::string folder)
			: port(first_port)
			, log_folder(std::move(folder))
		{
		}

		std::vector<std::string> run(std::vector<command> const& commands)
		{
			for (auto const& step : commands)
			{
				this->execute(step);
			}
			return this->failures;
		}

	  private:
		void execute(command const& step)
		{
			auto const& command_words = step.words;
			auto const& verb = command_words.front();
			if (verb == "fleet")
			{
				this->start_fleet(command_words);
			}
			else if (verb == "run")
			{
				std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(command_words.at(1))));
			}
			else if (verb == "await")
			{
				this->check(
					step, [&] { return this->fleet->count_events(command_words.at(1)) > 0; }, command_words.at(3));
			}
			else if (verb == "expect")
			{
				this->check_expectation(step);
			}
			else
			{
				this->execute_action(command_words);
			}
		}

		void start_fleet(words const& command_words)
		{
			this->fleet = std::make_unique<process_fleet>(this->port, this->log_folder,
				std::stoi(option_value(command_words, "daemons", "3")), key_arguments(command_words));
			this->current_document = policy::seal(make_test_policy(), {});
			this->published_version = 1;
			this->fleet->publish(policy::to_json(this->current_document));
			for (auto const& name : this->fleet->daemons())
			{
				if (!process_fleet::wait_for([&] { return this->fleet->is_ready(name); }, std::chrono::seconds(30)))
				{
					this->failures.push_back(name + " did not become ready");
				}
			}
			// Waits for a small completion. Once it works, the cell owner has received load reports of its engines.
			this->request_completion("warm-up", "d1", 200, 1);
			std::ignore = process_fleet::wait_for(
				[&] { return this->callers.at("warm-up")->answer_so_far().is_done; }, std::chrono::seconds(30));
		}

		void execute_action(words const& command_words)
		{
			auto& processes = *this->fleet;
			std::map<std::string, std::function<void()>> const actions{
				{"kill",
					[&]
					{
						processes.signal(command_words.at(1), SIGKILL);
					}},
				{"start",
					[&]
					{
						processes.start_daemon(command_words.at(1));
					}},
				{"pause",
					[&]
					{
						processes.signal(command_words.at(1), SIGSTOP);
					}},
				{"resume",
					[&]
					{
						processes.signal(command_words.at(1), SIGCONT);
					}},
				{"drain",
					[&]
					{
						processes.signal(command_words.at(1), SIGTERM);
					}},
				{"silence",
					[&]
					{
						processes.set_switches(command_words.at(1), {{"silent", true}});
					}},
				{"unsilence",
					[&]
					{
						processes.set_switches(command_words.at(1), {{"silent", false}});
					}},
				{"says-leaving",
					[&]
					{
						processes.set_switches(command_words.at(1), {{"leaving", true}});
					}},
				{"drop-answers",
					[&]
					{
						processes.set_switches(command_words.at(1), {{"drop_answers", true}});
					}},
				{"slow-answers",
					[&]
					{
						processes.set_switches(command_words.at(1), {{"delay_ms", 1000}});
					}},
				{"outage",
					[&]
					{
						processes.set_switches("platform", {{"outage", true}});
					}},
				{"recover",
					[&]
					{
						processes.set_switches("platform", {{"outage", false}});
					}},
				{"key",
					[&]
					{
						this->keys[command_words.at(1)] = processes.issue_key(command_words.at(3));
					}},
				{"complete",
					[&]
					{
						this->request_completion(command_words.at(1), command_words.at(3),
							std::stoul(option_value(command_words, "prompt", "4000")),
							std::stoi(option_value(command_words, "tokens", "50")));
					}},
				{"book",
					[&]
					{
						this->send_keyed_call(command_words);
					}},
				{"lookup",
					[&]
					{
						this->start_caller(command_words.at(1), command_words.at(3),
							{"GET", "/services/desk/rosters/" + command_words.at(1), {}, {}});
					}},
				{"hang-up",
					[&]
					{
						this->callers.at(command_words.at(1)).reset();
					}},
				{"seal",
					[&]
					{
						this->seal_document(command_words.at(1));
					}},
				{"publish",
					[&]
					{
						this->publish_document(command_words.at(1));
					}},
			};
			auto const found = actions.find(command_words.front());
			if (found == actions.end())
			{
				throw std::runtime_error("no command for processes: " + command_words.front());
			}
			found->second();
		}

		void start_caller(std::string const& caller, std::string const& daemon, http::request message)
		{
			this->callers[caller] =
				std::make_unique<http_caller>(this->fleet->caller_address(daemon), std::move(message));
		}

		void request_completion(
			std::string const& caller, std::string const& daemon, std::size_t prompt_bytes, int tokens)
		{
			auto prompt = caller + std::string(prompt_bytes, '.');
			boost::json::object const body{
				{"model", "report"}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", true}};
			this->prompts[caller] = {std::move(prompt), tokens};
			this->start_caller(caller, daemon, {"POST", "/v1/completions", {}, boost::json::serialize(body)});
		}

		void send_keyed_call(words const& command_words)
		{
			http::request message{
				"POST", "/services/desk/signoffs", {}, option_value(command_words, "body", command_words.at(1))};
			message.headers.push_back({"Idempotency-Key", this->keys[option_value(command_words, "key", "k")]});
			this->start_caller(command_words.at(1), command_words.at(3), std::move(message));
		}

		void seal_document(std::string const& name)
		{
			auto document = make_test_policy();
			document.mutable_accounts(0)->set_requests_per_second(
				20'000 + static_cast<std::uint32_t>(this->sealed_documents.size()));
			policy::seal_base const base{&this->current_document, platform_version(this->published_version), {}};
			this->sealed_documents[name] = policy::seal(std::move(document), base);
		}

		void publish_document(std::string const& name)
		{
			auto const& document = this->sealed_documents.at(name);
			this->fleet->publish(policy::to_json(document));
			if (document.base_version() == this->published_version)
			{
				this->current_document = document;
			}
			++this->published_version;
		}

		void check(command const& step, std::function<bool()> const& condition, std::string const& within)
		{
			if (!process_fleet::wait_for(condition, std::chrono::milliseconds(std::stoi(within) * timeout_factor)))
			{
				this->failures.push_back(fmt::format("line {}: {}: does not hold", step.line, step.text()));
			}
		}

		void check_expectation(command const& step)
		{
			words command_words(step.words.begin() + 1, step.words.end());
			std::string within = "0";
			if (command_words.size() > 2 && command_words[command_words.size() - 2] == "within")
			{
				within = command_words.back();
				command_words.resize(command_words.size() - 2);
			}
			this->check(step, [&] { return this->holds(command_words); }, within);
		}

		bool holds(words const& command_words)
		{
			auto const& subject = command_words.front();
			if (this->callers.contains(subject))
			{
				return this->holds_for_caller(subject, command_words);
			}
			if (subject == "runs")
			{
				return this->fleet->count_runs("POST /signoffs " + command_words.at(1)) ==
					   std::stoi(command_words.at(3));
			}
			if (subject == "held")
			{
				return this->fleet->count_held_requests() == 0;
			}
			if (subject == "config")
			{
				auto const& digest = this->sealed_documents.at(command_words.at(1)).digest();
				return std::ranges::all_of(this->fleet->daemons(),
					[&](std::string const& name)
					{
						auto const status = this->fleet->get_operator_json(name, "/v1/status");
						return status.is_object() && status.at("digest").as_string() == digest;
					});
			}
			if (subject == "left")
			{
				return this->fleet->exit_code(command_words.at(1)) == 0;
			}
			throw std::runtime_error("no expectation for processes: " + subject);
		}

		bool holds_for_caller(std::string const& caller, words const& command_words)
		{
			auto const seen = this->callers.at(caller)->answer_so_far();
			auto const& what = command_words.at(1);
			if (what == "whole")
			{
				return seen.is_complete && seen.text == this->expected_text(caller);
			}
			if (what == "outcome")
			{
				return seen.outcome == command_words.at(2) || (command_words.at(2) == "reply" && seen.status == 200);
			}
			if (what == "replay")
			{
				return seen.replay == "yes";
			}
			return what == "answered" && seen.is_done && !seen.has_no_response;
		}

		std::string expected_text(std::string const& caller) const
		{
			auto const& [prompt, tokens] = this->prompts.at(caller);
			auto const digest = sha256_hex(prompt).substr(0, 4);
			std::string text;
			for (auto index = 0; index < tokens; ++index)
			{
				text += fmt::format("{}-{} ", digest, index);
			}
			return text;
		}

		unsigned short port;
		std::string log_folder;
		std::unique_ptr<process_fleet> fleet;
		std::map<std::string, std::unique_ptr<http_caller>> callers;
		std::map<std::string, std::pair<std::string, int>> prompts;
		std::map<std::string, std::string> keys;
		std::map<std::string, policy::SealedPolicy> sealed_documents;
		policy::SealedPolicy current_document;
		std::uint64_t published_version = 0;
		std::vector<std::string> failures;
	};

	int run(std::string const& path, unsigned short port)
	{
		auto const scenario = read_scenario_file(path);
		auto failed = 0;
		auto row_number = 0;
		for (auto const& row : scenario.rows())
		{
			auto const folder = std::filesystem::temp_directory_path() /
								fmt::format("godwittrestle-{}-{}-{}", scenario.name, getpid(), ++row_number);
			std::filesystem::create_directories(folder);
			process_interpreter run(port, folder.string());
			auto const failures = run.run(scenario.commands_for(row));
			for (auto const& failure : failures)
			{
				std::cout << fmt::format("  FAILED row {}: {} (logs in {})\n", row_number, failure, folder.string());
			}
			failed += failures.empty() ? 0 : 1;
			if (failures.empty())
			{
				std::filesystem::remove_all(folder);
			}
		}
		std::cout << fmt::format("{}: {} of {} rows hold\n", scenario.name, row_number - failed, row_number);
		return failed > 0 ? 1 : 0;
	}
}

int main(int count, char const* const* arguments)
{
	if (count != 3)
	{
		std::cerr << "usage: run_process_scenario FILE FIRST_PORT\n";
		return 2;
	}
	try
	{
		return run(arguments[1], static_cast<unsigned short>(std::stoi(arguments[2])));
	}
	catch (std::exception const& error)
	{
		std::cerr << error.what() << '\n';
		return 2;
	}
}
