#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "cases.hpp"
#include "servers.hpp"

namespace review
{
	namespace
	{
		constexpr int daemon_count = 2;
		constexpr seconds ready_limit(20);
		constexpr seconds load_time(80);
		constexpr seconds time_limit(14);
		constexpr unsigned status_unavailable = 503;
		constexpr int tokens_per_event = 50;

		// What differs between the cases that share this load.
		struct load_terms
		{
			int output_tokens = 400;
			milliseconds interval{16};
		};
		// The largest dose of "garble" with "extra late" in the site file: this share of the answers of 0.6 of the
		// servers, for 5 s. It comes again after a pause.
		constexpr double extra_share = 0.03;
		constexpr seconds trouble_time(5);
		constexpr seconds trouble_period(8);

		struct counts
		{
			int sent = 0;
			int ended = 0;
			int whole = 0;
			// Wrong answers.
			int mixed = 0;
			// Requests whose answer says that they have not run.
			std::vector<std::string> refused;
		};

		asio::awaitable<void> send_stream(
			std::string address, std::string attempt, int output_tokens, record* lines, counts* seen)
		{
			client_request message;
			message.path = "/digest/one";
			message.attempt = attempt;
			message.headers = {{"X-Model", "m"}, {"X-Token-Counts", "5200," + std::to_string(output_tokens)},
				{"X-Length-Hint", std::to_string(output_tokens)},
				{"X-Prompt-Prefix", "5c1e07a2:200," + attempt + ":5000"}};
			auto const answer = co_await send_request(std::move(address), std::move(message), time_limit);
			auto const is_success = answer.status >= 200 && answer.status < 300;
			auto const expected = whole_stream(attempt, output_tokens / tokens_per_event);
			auto const is_wrong = is_success && (!answer.has_seal || (answer.is_whole && answer.body != expected) ||
													!expected.starts_with(answer.body));
			++seen->ended;
			if (answer.status == status_unavailable)
			{
				seen->refused.push_back(attempt);
			}
			seen->whole += is_success && answer.is_whole && !is_wrong ? 1 : 0;
			if (is_wrong)
			{
				++seen->mixed;
				lines->line("client: " + attempt + " got " + std::to_string(answer.status) +
							(answer.has_seal ? " with" : " without") + " X-Server-Seal, " +
							(answer.is_whole ? "complete" : "cut") + ", " + std::to_string(answer.body.size()) +
							" of " + std::to_string(expected.size()) + " bytes");
			}
			else
			{
				lines->line("client: " + attempt + " got " + std::to_string(answer.status) +
							(answer.is_whole ? ", complete" : ", cut"));
			}
		}

		// Plays the load and the disruption. Returns what the clients saw; nothing when the case could not run.
		asio::awaitable<std::optional<counts>> play(
			asio::io_context& loop, case_arguments const& arguments, record& lines, load_terms load, server_log& log)
		{
			constexpr int address_of_platform = 200;
			auto const ip = loopback_address(address_of_platform);
			store registry(loop, ip);
			server_terms const terms;
			std::vector<std::unique_ptr<backend_server>> servers;
			for (auto const* const id : {"i-p1", "i-d1", "i-d2", "i-p2", "i-d3"})
			{
				auto const stage = std::string(id).starts_with("i-p") ? "prefill" : "decode";
				servers.push_back(
					std::make_unique<backend_server>(loop, registry, lines, log, terms, id, "digest", stage, ip));
				servers.back()->write_entry();
			}
			registry.put("op/config",
				configuration_text(1, {{"digest", "/digest/", "streaming", "digest", 14'000, 900, 2, false}}, {}));

			auto const first_trouble = clock::now() + seconds(8);
			std::mt19937_64 random(1);
			auto const draws_extra = [&]
			{
				auto const since = clock::now() - first_trouble;
				auto const is_now = since > clock::duration::zero() && since % trouble_period < trouble_time;
				return is_now && std::uniform_real_distribution<double>(0, 1)(random) < extra_share;
			};
			if (arguments.has_trouble)
			{
				// Three of five servers.
				for (auto const position : {1, 2, 4})
				{
					servers.at(static_cast<std::size_t>(position))->draws_extra = draws_extra;
				}
			}

			std::vector<daemon_addresses> addresses;
			std::vector<std::string> seeds;
			for (int number = 1; number <= daemon_count; ++number)
			{
				addresses.push_back(choose_daemon_addresses(number));
				seeds.push_back(addresses.back().control);
			}
			std::vector<std::unique_ptr<daemon_process>> daemons;
			for (auto const& each : addresses)
			{
				daemons.push_back(std::make_unique<daemon_process>(
					arguments.daemon_program, arguments.folder, each, registry.address(), seeds));
				daemons.back()->start(true);
			}
			for (auto const& each : addresses)
			{
				if (!co_await wait_until_ready(each.ready, ready_limit))
				{
					lines.line(each.name + " did not become ready");
					co_return std::nullopt;
				}
			}

			counts seen;
			auto const ends_at = clock::now() + load_time;
			while (clock::now() < ends_at)
			{
				auto const& chosen = addresses.at(static_cast<std::size_t>(seen.sent) % addresses.size());
				auto const attempt = "a" + std::to_string(++seen.sent);
				asio::co_spawn(
					loop, send_stream(chosen.frontend, attempt, load.output_tokens, &lines, &seen), asio::detached);
				co_await sleep_for(load.interval);
			}
			auto const waits_until = clock::now() + time_limit;
			while (seen.ended < seen.sent && clock::now() < waits_until)
			{
				co_await sleep_for(milliseconds(100));
			}
			lines.line("sent " + std::to_string(seen.sent) + ", served whole " + std::to_string(seen.whole) +
					   ", extra answers " + std::to_string(log.extra_answers) + ", refused " +
					   std::to_string(seen.refused.size()) + ", wrong answers " + std::to_string(seen.mixed));
			co_return seen;
		}
	}

	asio::awaitable<int> run_extra_answer(asio::io_context& loop, case_arguments const& arguments, record& lines)
	{
		server_log log;
		auto const seen = co_await play(loop, arguments, lines, load_terms{}, log);
		if (!seen || seen->whole == 0)
		{
			co_return could_not_run;
		}
		co_return seen->mixed > 0 ? rule_broken : rule_held;
	}

	asio::awaitable<int> run_extra_refusal(asio::io_context& loop, case_arguments const& arguments, record& lines)
	{
		server_log log;
		auto const seen = co_await play(loop, arguments, lines, load_terms{2000, milliseconds(25)}, log);
		if (!seen || seen->whole == 0)
		{
			co_return could_not_run;
		}
		std::map<std::string, std::vector<std::string>> servers_of;
		for (auto const& each : log.runs)
		{
			servers_of[each.attempt].push_back(each.server);
		}
		int twice = 0;
		for (auto const& [attempt, servers] : servers_of)
		{
			if (servers.size() > 1)
			{
				++twice;
				lines.line("TWICE: " + attempt + " ran " + std::to_string(servers.size()) + " times, at " + servers[0] +
						   " and " + servers[1]);
			}
		}
		int refused_but_run = 0;
		for (auto const& attempt : seen->refused)
		{
			if (servers_of.contains(attempt))
			{
				++refused_but_run;
				lines.line("REFUSED: " + attempt + " was answered 503 and has run");
			}
		}
		lines.line("ran twice " + std::to_string(twice) + ", answered 503 and run " + std::to_string(refused_but_run));
		co_return refused_but_run > 0 ? rule_broken : rule_held;
	}
}
