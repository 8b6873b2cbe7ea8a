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

#include "process_scene.hpp"
#include "script.hpp"
#include "world.hpp"

namespace
{
	using namespace godwittrestle;
	using namespace godwittrestle::testing;
	using words = std::vector<std::string>;

	// Multiplies the time limits of scenarios, since a busy machine may be much slower. A wait ends as soon as its
	// condition holds.
	constexpr int patience_factor = 6;

	std::string option(words const& given, std::string const& name, std::string const& missing)
	{
		auto const found =
			std::ranges::find_if(given, [&](std::string const& word) { return word.starts_with(name + "="); });
		return found == given.end() ? missing : found->substr(name.size() + 1);
	}

	// Returns daemon arguments with a new key pair for the option "encrypted=yes", otherwise none.
	std::vector<std::string> key_arguments(words const& given)
	{
		if (option(given, "encrypted", "no") != "yes")
		{
			return {};
		}
		constexpr std::size_t key_letters = 40;
		std::array<char, key_letters + 1> public_key{};
		std::array<char, key_letters + 1> secret_key{};
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
			for (auto const& each : commands)
			{
				this->execute(each);
			}
			return this->failures;
		}

	  private:
		void execute(command const& each)
		{
			auto const& given = each.words;
			auto const& verb = given.front();
			if (verb == "fleet")
			{
				this->begin(given);
			}
			else if (verb == "run")
			{
				std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(given.at(1))));
			}
			else if (verb == "await")
			{
				this->check(each, [&] { return this->scene->count_events(given.at(1)) > 0; }, given.at(3));
			}
			else if (verb == "expect")
			{
				this->expect(each);
			}
			else
			{
				this->act(given);
			}
		}

		void begin(words const& given)
		{
			this->scene = std::make_unique<process_scene>(
				this->port, this->log_folder, std::stoi(option(given, "daemons", "3")), key_arguments(given));
			this->current = policy::seal(make_test_policy(), {});
			this->version = 1;
			this->scene->publish(policy::to_json(this->current));
			for (auto const& name : this->scene->daemons())
			{
				if (!process_scene::wait_for([&] { return this->scene->is_ready(name); }, std::chrono::seconds(30)))
				{
					this->failures.push_back(name + " did not become ready");
				}
			}
			// Once a small completion works, the cell owner has received load reports of its engines.
			this->complete("warm-up", "d1", 200, 1);
			std::ignore = process_scene::wait_for(
				[&] { return this->callers.at("warm-up")->seen().is_done; }, std::chrono::seconds(30));
		}

		void act(words const& given)
		{
			auto& target = *this->scene;
			std::map<std::string, std::function<void()>> const actions{
				{"kill",
					[&]
					{
						target.signal(given.at(1), SIGKILL);
					}},
				{"start",
					[&]
					{
						target.start_daemon(given.at(1));
					}},
				{"pause",
					[&]
					{
						target.signal(given.at(1), SIGSTOP);
					}},
				{"resume",
					[&]
					{
						target.signal(given.at(1), SIGCONT);
					}},
				{"drain",
					[&]
					{
						target.signal(given.at(1), SIGTERM);
					}},
				{"silence",
					[&]
					{
						target.control(given.at(1), {{"silent", true}});
					}},
				{"unsilence",
					[&]
					{
						target.control(given.at(1), {{"silent", false}});
					}},
				{"says-leaving",
					[&]
					{
						target.control(given.at(1), {{"leaving", true}});
					}},
				{"drop-answers",
					[&]
					{
						target.control(given.at(1), {{"drop_answers", true}});
					}},
				{"slow-answers",
					[&]
					{
						target.control(given.at(1), {{"delay_ms", 1000}});
					}},
				{"outage",
					[&]
					{
						target.control("platform", {{"outage", true}});
					}},
				{"recover",
					[&]
					{
						target.control("platform", {{"outage", false}});
					}},
				{"key",
					[&]
					{
						this->keys[given.at(1)] = target.issue_key(given.at(3));
					}},
				{"complete",
					[&]
					{
						this->complete(given.at(1), given.at(3), std::stoul(option(given, "prompt", "4000")),
							std::stoi(option(given, "tokens", "50")));
					}},
				{"book",
					[&]
					{
						this->book(given);
					}},
				{"lookup",
					[&]
					{
						this->call(given.at(1), given.at(3), {"GET", "/services/desk/rosters/" + given.at(1), {}, {}});
					}},
				{"hang-up",
					[&]
					{
						this->callers.at(given.at(1)).reset();
					}},
				{"seal",
					[&]
					{
						this->seal(given.at(1));
					}},
				{"publish",
					[&]
					{
						this->publish(given.at(1));
					}},
			};
			auto const found = actions.find(given.front());
			if (found == actions.end())
			{
				throw std::runtime_error("no command for processes: " + given.front());
			}
			found->second();
		}

		void call(std::string const& caller, std::string const& daemon, http::request message)
		{
			this->callers[caller] =
				std::make_unique<process_caller>(this->scene->caller_address(daemon), std::move(message));
		}

		void complete(std::string const& caller, std::string const& daemon, std::size_t prompt_bytes, int tokens)
		{
			auto prompt = caller + std::string(prompt_bytes, '.');
			boost::json::object const body{
				{"model", "report"}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", true}};
			this->prompts[caller] = {std::move(prompt), tokens};
			this->call(caller, daemon, {"POST", "/v1/completions", {}, boost::json::serialize(body)});
		}

		void book(words const& given)
		{
			http::request message{"POST", "/services/desk/signoffs", {}, option(given, "body", given.at(1))};
			message.headers.push_back({"Idempotency-Key", this->keys[option(given, "key", "k")]});
			this->call(given.at(1), given.at(3), std::move(message));
		}

		void seal(std::string const& name)
		{
			auto document = make_test_policy();
			document.mutable_accounts(0)->set_requests_per_second(
				20'000 + static_cast<std::uint32_t>(this->documents.size()));
			policy::seal_base const base{&this->current, platform_version(this->version), {}};
			this->documents[name] = policy::seal(std::move(document), base);
		}

		void publish(std::string const& name)
		{
			auto const& document = this->documents.at(name);
			this->scene->publish(policy::to_json(document));
			if (document.base_version() == this->version)
			{
				this->current = document;
			}
			++this->version;
		}

		void check(command const& each, std::function<bool()> const& condition, std::string const& within)
		{
			if (!process_scene::wait_for(condition, std::chrono::milliseconds(std::stoi(within) * patience_factor)))
			{
				this->failures.push_back(fmt::format("line {}: {}: does not hold", each.line, each.text()));
			}
		}

		void expect(command const& each)
		{
			words given(each.words.begin() + 1, each.words.end());
			std::string within = "0";
			if (given.size() > 2 && given[given.size() - 2] == "within")
			{
				within = given.back();
				given.resize(given.size() - 2);
			}
			this->check(each, [&] { return this->holds(given); }, within);
		}

		bool holds(words const& given)
		{
			auto const& subject = given.front();
			if (this->callers.contains(subject))
			{
				return this->holds_for_caller(subject, given);
			}
			if (subject == "runs")
			{
				return this->scene->runs("POST /signoffs " + given.at(1)) == std::stoi(given.at(3));
			}
			if (subject == "held")
			{
				return this->scene->held() == 0;
			}
			if (subject == "config")
			{
				auto const& digest = this->documents.at(given.at(1)).digest();
				return std::ranges::all_of(this->scene->daemons(),
					[&](std::string const& name)
					{
						auto const status = this->scene->ask(name, "/v1/status");
						return status.is_object() && status.at("digest").as_string() == digest;
					});
			}
			if (subject == "left")
			{
				return this->scene->exit_code(given.at(1)) == 0;
			}
			throw std::runtime_error("no expectation for processes: " + subject);
		}

		bool holds_for_caller(std::string const& caller, words const& given)
		{
			auto const seen = this->callers.at(caller)->seen();
			auto const& what = given.at(1);
			if (what == "whole")
			{
				return seen.is_whole && seen.text == this->reference(caller);
			}
			if (what == "outcome")
			{
				return seen.outcome == given.at(2) || (given.at(2) == "reply" && seen.status == 200);
			}
			if (what == "replay")
			{
				return seen.replay == "yes";
			}
			return what == "answered" && seen.is_done && !seen.is_lost;
		}

		std::string reference(std::string const& caller) const
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
		std::unique_ptr<process_scene> scene;
		std::map<std::string, std::unique_ptr<process_caller>> callers;
		std::map<std::string, std::pair<std::string, int>> prompts;
		std::map<std::string, std::string> keys;
		std::map<std::string, policy::SealedPolicy> documents;
		policy::SealedPolicy current;
		std::uint64_t version = 0;
		std::vector<std::string> failures;
	};

	int run(std::string const& path, unsigned short port)
	{
		auto const scenario = read_script(path);
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
