#include <algorithm>
#include <memory>
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
		constexpr std::size_t daemon_count = 2;
		constexpr std::size_t decode_servers = 8;
		constexpr seconds ready_limit(20);
		constexpr seconds time_limit(14);
		constexpr milliseconds request_interval(50);
		// The store is away for the time of all crashes: at most 8 s. Servers crash in groups of two of the eight, and
		// are down for this long.
		constexpr std::size_t rounds = 3;
		constexpr std::size_t servers_per_round = 2;
		constexpr milliseconds time_before_crashes(400);
		constexpr milliseconds down_time(2000);
		constexpr milliseconds pause_between(500);
		// Streams with events of two versions that the rule allows.
		constexpr int allowed_streams = 2;

		struct counts
		{
			int sent = 0;
			int ended = 0;
			int whole = 0;
			int mixed = 0;
		};

		asio::awaitable<void> send_stream(std::string address, std::string attempt, record* lines, counts* seen)
		{
			client_request message;
			message.path = "/digest/one";
			message.attempt = attempt;
			message.headers = {{"X-Model", "m"}, {"X-Token-Counts", "1000,4000"}, {"X-Length-Hint", "4000"},
				{"X-Prompt-Prefix", "5c1e07a2:200," + attempt + ":800"}};
			auto const answer = co_await send_request(std::move(address), std::move(message), time_limit);
			auto const has_first = answer.body.find("@v1\n") != std::string::npos;
			auto const has_second = answer.body.find("@v2\n") != std::string::npos;
			++seen->ended;
			seen->whole += answer.status == 200 && answer.is_whole ? 1 : 0;
			if (has_first && has_second)
			{
				++seen->mixed;
				lines->line("ORDER: " + attempt + " got events of v1 and v2 in one answer");
			}
			else
			{
				lines->line("client: " + attempt + " got " + std::to_string(answer.status) +
							(answer.is_whole ? ", complete" : ", cut"));
			}
		}
	}

	asio::awaitable<int> run_restarted_servers(asio::io_context& loop, case_arguments const& arguments, record& lines)
	{
		constexpr int address_of_platform = 200;
		auto const ip = loopback_address(address_of_platform);
		store registry(loop, ip);
		server_log log;
		server_terms terms;
		std::vector<std::unique_ptr<backend_server>> servers;
		for (std::size_t number = 1; number <= decode_servers + 2; ++number)
		{
			auto const stage = number <= decode_servers ? "decode" : "prefill";
			servers.push_back(std::make_unique<backend_server>(
				loop, registry, lines, log, terms, "i-" + std::to_string(number), "digest", stage, ip));
			servers.back()->write_entry();
		}
		registry.put("op/config",
			configuration_text(1, {{"digest", "/digest/", "streaming", "digest", 14'000, 900, 4, true}}, {}));

		std::vector<daemon_addresses> addresses;
		std::vector<std::string> seeds;
		for (std::size_t number = 1; number <= daemon_count; ++number)
		{
			addresses.push_back(choose_daemon_addresses(static_cast<int>(number)));
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
				co_return could_not_run;
			}
		}

		counts seen;
		auto is_loading = true;
		auto const load = [&]() -> asio::awaitable<void>
		{
			while (is_loading)
			{
				auto const& chosen = addresses.at(static_cast<std::size_t>(seen.sent) % addresses.size());
				auto const attempt = "a" + std::to_string(++seen.sent);
				asio::co_spawn(loop, send_stream(chosen.frontend, attempt, &lines, &seen), asio::detached);
				co_await sleep_for(request_interval);
			}
		};
		asio::co_spawn(loop, load(), asio::detached);
		co_await sleep_for(seconds(6));
		if (arguments.has_trouble)
		{
			std::vector<backend_server*> restarted;
			lines.line("store: away");
			registry.go_away();
			co_await sleep_for(time_before_crashes);
			for (std::size_t round = 0; round < rounds; ++round)
			{
				std::vector<backend_server*> group;
				for (std::size_t number = 0; number < servers_per_round; ++number)
				{
					group.push_back(servers.at(round * servers_per_round + number).get());
					group.back()->crash();
				}
				co_await sleep_for(down_time);
				for (auto* const server : group)
				{
					server->version = "v2";
					server->start_again();
					restarted.push_back(server);
				}
				co_await sleep_for(pause_between);
			}
			registry.come_back();
			lines.line("store: back");
			for (auto* const server : restarted)
			{
				server->write_entry();
			}
		}
		co_await sleep_for(seconds(8));
		is_loading = false;
		auto const waits_until = clock::now() + time_limit;
		while (seen.ended < seen.sent && clock::now() < waits_until)
		{
			co_await sleep_for(milliseconds(100));
		}
		lines.line("sent " + std::to_string(seen.sent) + ", complete " + std::to_string(seen.whole) +
				   ", with events of two versions " + std::to_string(seen.mixed));
		if (seen.whole == 0)
		{
			co_return could_not_run;
		}
		co_return seen.mixed > allowed_streams ? rule_broken : rule_held;
	}
}
