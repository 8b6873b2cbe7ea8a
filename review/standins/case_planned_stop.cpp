#include <algorithm>
#include <map>
#include <memory>
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
		constexpr int daemon_count = 6;
		constexpr seconds ready_limit(20);
		constexpr seconds load_time(100);
		constexpr milliseconds request_interval(50);
		constexpr milliseconds time_limit(6000);
		constexpr milliseconds work(450);
		constexpr milliseconds min_upload(300);
		constexpr milliseconds max_upload(2200);
		constexpr milliseconds poll(20);
		// The platform asks each daemon once a second whether it is ready, and takes it out after two misses.
		constexpr seconds readiness_interval(1);
		constexpr int misses_allowed = 1;
		// Bounds of the installation.
		constexpr seconds grace(8);
		constexpr seconds contact(3);
		// The rule excuses what a server still runs in the last sixth of the grace, if it was sent soon after SIGTERM.
		constexpr milliseconds excused_from = milliseconds(grace) * 5 / 6;
		constexpr seconds sent_soon(3);
		// Time between two stops, and from a daemon's end to its start.
		constexpr milliseconds stop_interval(1500);
		constexpr milliseconds restart_delay(500);
		constexpr unsigned status_ok = 200;

		struct machine
		{
			std::unique_ptr<daemon_process> process;
			int misses = 0;
			bool is_in_rotation = true;
			time_point terminated_at;
			bool is_stopping = false;
		};

		struct booking
		{
			std::string attempt;
			std::size_t machine = 0;
			time_point sent_at;
			time_point whole_at;
			time_point ended_at;
			client_answer answer;
			bool has_ended = false;
		};

		asio::awaitable<void> ask_readiness(machine* asked, bool const* is_over)
		{
			while (!*is_over)
			{
				client_request question;
				question.method = "GET";
				question.path = "/ready";
				auto const address = asked->process->addresses.ready;
				auto const answer = co_await send_request(address, std::move(question), seconds(1));
				asked->misses = answer.status == status_ok ? 0 : asked->misses + 1;
				asked->is_in_rotation = asked->misses <= misses_allowed;
				co_await sleep_for(readiness_interval);
			}
		}

		asio::awaitable<void> send_booking(
			std::string address, std::shared_ptr<booking> sent, milliseconds upload_time, record* lines)
		{
			client_request message;
			message.path = "/book/visit";
			message.attempt = sent->attempt;
			message.body = std::string(600, 'b');
			message.upload_time = upload_time;
			sent->sent_at = clock::now();
			sent->whole_at = sent->sent_at + upload_time;
			sent->answer = co_await send_request(std::move(address), std::move(message), time_limit);
			sent->ended_at = clock::now();
			sent->has_ended = true;
			lines->line("client: " + sent->attempt + " at front-" + std::to_string(sent->machine + 1) + " got " +
						(sent->answer.status == 0 ? std::string("no answer") : std::to_string(sent->answer.status)));
		}

		// Stops a daemon as the platform does, and starts it again after it has ended.
		asio::awaitable<void> stop_and_start(machine* stopped, record* lines)
		{
			lines->line(stopped->process->addresses.name + " gets SIGTERM");
			stopped->terminated_at = clock::now();
			stopped->process->terminate();
			while (!stopped->process->has_ended() && clock::now() < stopped->terminated_at + grace)
			{
				co_await sleep_for(poll);
			}
			stopped->process->kill();
			lines->line(stopped->process->addresses.name + " has ended");
			co_await sleep_for(restart_delay);
			stopped->process->start(false);
			stopped->is_stopping = false;
		}
	}

	asio::awaitable<int> run_planned_stop(asio::io_context& loop, case_arguments const& arguments, record& lines)
	{
		constexpr int address_of_platform = 200;
		auto const ip = loopback_address(address_of_platform);
		store registry(loop, ip);
		server_log log;
		server_terms terms;
		terms.slots = 16;
		terms.plain_work = work;
		std::vector<std::unique_ptr<backend_server>> servers;
		for (auto const* const id : {"i-desk1", "i-desk2"})
		{
			servers.push_back(std::make_unique<backend_server>(loop, registry, lines, log, terms, id, "desk", "", ip));
			servers.back()->write_entry();
		}
		registry.put("op/config",
			configuration_text(1, {{"book", "/book/", "non_idempotent", "desk", 6000, 900, 2, false}}, {"desk"}));

		std::vector<daemon_addresses> addresses;
		std::vector<std::string> seeds;
		for (int number = 1; number <= daemon_count; ++number)
		{
			addresses.push_back(choose_daemon_addresses(number));
			seeds.push_back(addresses.back().control);
		}
		std::vector<machine> machines(daemon_count);
		for (std::size_t number = 0; number < machines.size(); ++number)
		{
			machines[number].process = std::make_unique<daemon_process>(
				arguments.daemon_program, arguments.folder, addresses[number], registry.address(), seeds);
			machines[number].process->start(true);
		}
		for (auto const& each : addresses)
		{
			if (!co_await wait_until_ready(each.ready, ready_limit))
			{
				lines.line(each.name + " did not become ready");
				co_return could_not_run;
			}
		}
		auto is_over = false;
		for (auto& each : machines)
		{
			asio::co_spawn(loop, ask_readiness(&each, &is_over), asio::detached);
		}

		std::mt19937_64 random(std::random_device{}());
		std::uniform_int_distribution<std::int64_t> upload_ms(min_upload.count(), max_upload.count());
		std::vector<std::shared_ptr<booking>> bookings;
		std::vector<std::pair<std::size_t, time_point>> terminations;
		auto const ends_at = clock::now() + load_time;
		auto next_stop = clock::now() + contact + seconds(2);
		while (clock::now() < ends_at)
		{
			if (arguments.has_trouble && clock::now() > next_stop && clock::now() + grace < ends_at)
			{
				auto const position = terminations.size() % machines.size();
				terminations.emplace_back(position, clock::now());
				machines[position].is_stopping = true;
				asio::co_spawn(loop, stop_and_start(&machines[position], &lines), asio::detached);
				next_stop += stop_interval;
			}
			std::vector<std::size_t> in_rotation;
			for (std::size_t number = 0; number < machines.size(); ++number)
			{
				if (machines[number].is_in_rotation)
				{
					in_rotation.push_back(number);
				}
			}
			if (!in_rotation.empty())
			{
				auto sent = std::make_shared<booking>();
				sent->attempt = "b" + std::to_string(bookings.size() + 1);
				sent->machine = in_rotation[random() % in_rotation.size()];
				bookings.push_back(sent);
				asio::co_spawn(loop,
					send_booking(addresses[sent->machine].frontend, sent, milliseconds(upload_ms(random)), &lines),
					asio::detached);
			}
			co_await sleep_for(request_interval);
		}
		co_await sleep_for(time_limit);
		is_over = true;
		co_await sleep_for(readiness_interval + seconds(1));

		std::map<std::string, std::string> server_of;
		for (auto const& each : log.runs)
		{
			server_of[each.attempt] = each.server;
		}
		int served = 0;
		int lost = 0;
		for (auto const& each : bookings)
		{
			served += each->answer.status == status_ok && each->answer.is_whole ? 1 : 0;
			auto const stop = std::ranges::find_if(terminations,
				[&](auto const& item)
				{
					return item.first == each->machine && each->ended_at > item.second &&
						   each->ended_at < item.second + grace + seconds(1);
				});
			// The process had read the whole request and passed it on, and the channel ended without an answer.
			auto const is_cut = each->has_ended && !each->answer.is_whole && server_of.contains(each->attempt);
			if (!is_cut || stop == terminations.end() || each->ended_at >= each->sent_at + time_limit)
			{
				continue;
			}
			auto const is_excused =
				each->sent_at <= stop->second + sent_soon && each->ended_at >= stop->second + excused_from;
			if (is_excused)
			{
				continue;
			}
			++lost;
			auto const after = [&](time_point at)
			{
				return std::to_string(std::chrono::duration_cast<milliseconds>(at - stop->second).count()) + " ms";
			};
			lines.line("LOST: " + each->attempt + " at front-" + std::to_string(each->machine + 1) + ": begun " +
					   after(each->sent_at) + ", last byte sent " + after(each->whole_at) +
					   ", channel ended without an answer " + after(each->ended_at) +
					   " after SIGTERM; it was running at " + server_of[each->attempt]);
		}
		lines.line("stops " + std::to_string(terminations.size()) + ", bookings " + std::to_string(bookings.size()) +
				   ", served " + std::to_string(served) + ", lost " + std::to_string(lost));
		if (served == 0)
		{
			co_return could_not_run;
		}
		co_return lost > 0 ? rule_broken : rule_held;
	}
}
