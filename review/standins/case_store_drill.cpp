#include <map>
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
		constexpr int daemon_count = 3;
		constexpr seconds ready_limit(20);
		constexpr milliseconds request_interval(40);
		constexpr milliseconds time_limit(2500);
		// Bounds of the installation.
		constexpr milliseconds config_apply(2000);
		constexpr milliseconds contact(3000);
		// The store is "away for a moment" for this long.
		constexpr milliseconds away_time(1500);

		// A request on the route that the new configuration moves to another service.
		struct booking
		{
			std::string attempt;
			std::string daemon;
			time_point sent_at;
			unsigned status = 0;
		};

		asio::awaitable<void> send_booking(std::string address, std::shared_ptr<booking> sent, record* lines)
		{
			client_request message;
			message.path = "/book/visit";
			message.attempt = sent->attempt;
			message.body = "a booking";
			auto const answer = co_await send_request(std::move(address), std::move(message), time_limit);
			sent->status = answer.status;
			lines->line("client: " + sent->attempt + " at " + sent->daemon + " got " + std::to_string(answer.status));
		}

		std::vector<route_text> routes_to(std::string const& service, int timeout_ms)
		{
			return {{"book", "/book/", "non_idempotent", service, timeout_ms, 150, 2, false}};
		}
	}

	asio::awaitable<int> run_store_drill(asio::io_context& loop, case_arguments const& arguments, record& lines)
	{
		constexpr int address_of_platform = 200;
		auto const ip = loopback_address(address_of_platform);
		store registry(loop, ip);
		server_log log;
		server_terms terms;
		terms.slots = 6;
		std::vector<std::string> const plain_services{"desk", "office"};
		std::map<std::string, std::unique_ptr<backend_server>> servers;
		auto const add_server = [&](std::string const& id, std::string const& service)
		{
			auto& added = servers[id];
			added = std::make_unique<backend_server>(loop, registry, lines, log, terms, id, service, "", ip);
			added->write_entry();
		};
		auto const write_configuration = [&](int version, std::string const& service, int timeout_ms)
		{
			registry.put("op/config", configuration_text(version, routes_to(service, timeout_ms), plain_services));
			lines.line("store: configuration " + std::to_string(version) + ", /book/ goes to " + service +
					   ", acknowledged at revision " + std::to_string(registry.revision()) + " of era " +
					   std::to_string(registry.era()));
		};
		add_server("i-desk1", "desk");
		add_server("i-desk2", "desk");
		add_server("i-office1", "office");
		add_server("i-office2", "office");
		write_configuration(1, "desk", 2500);

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
				co_return could_not_run;
			}
		}

		std::vector<std::shared_ptr<booking>> bookings;
		auto is_loading = true;
		auto const load = [&]() -> asio::awaitable<void>
		{
			while (is_loading)
			{
				auto const& chosen = addresses.at(bookings.size() % addresses.size());
				auto sent = std::make_shared<booking>();
				sent->attempt = "b" + std::to_string(bookings.size() + 1);
				sent->daemon = chosen.name;
				sent->sent_at = clock::now();
				bookings.push_back(sent);
				asio::co_spawn(loop, send_booking(chosen.frontend, sent, &lines), asio::detached);
				co_await sleep_for(request_interval);
			}
		};
		asio::co_spawn(loop, load(), asio::detached);
		co_await sleep_for(seconds(5));

		// Ordinary work: a new configuration, and a server that is replaced. It is written after the copy was made.
		registry.copy();
		lines.line("store: the copy is made at revision " + std::to_string(registry.revision()));
		co_await sleep_for(milliseconds(300));
		write_configuration(2, "desk", 2400);
		add_server("i-desk3", "desk");
		servers.at("i-desk1")->state = "draining";
		servers.at("i-desk1")->is_leaving = true;
		servers.at("i-desk1")->write_entry();
		co_await sleep_for(seconds(3));
		servers.at("i-desk1")->remove_entry();
		co_await sleep_for(milliseconds(500));

		if (arguments.has_trouble)
		{
			lines.line("store: away at revision " + std::to_string(registry.revision()));
			registry.go_away();
			co_await sleep_for(away_time);
			registry.come_back_from_copy();
			lines.line("store: back from the copy at revision " + std::to_string(registry.revision()));
			// What the operator and the servers wrote is written again.
			write_configuration(2, "desk", 2400);
			servers.at("i-desk3")->write_entry();
			servers.at("i-desk1")->remove_entry();
		}
		else
		{
			co_await sleep_for(away_time);
		}
		co_await sleep_for(milliseconds(300));
		write_configuration(3, "office", 2400);
		auto const acknowledged_at = clock::now();

		auto const judged_from = acknowledged_at + std::max(config_apply, contact) + milliseconds(500);
		co_await sleep_for(seconds(25));
		is_loading = false;
		co_await sleep_for(time_limit + milliseconds(500));

		std::map<std::string, std::string> server_of_attempt;
		for (auto const& each : log.runs)
		{
			server_of_attempt[each.attempt] = each.server;
		}
		int judged = 0;
		int stale = 0;
		int served_before = 0;
		std::map<std::string, int> stale_at;
		for (auto const& each : bookings)
		{
			served_before += each->sent_at < acknowledged_at && each->status == 200 ? 1 : 0;
			if (each->sent_at < judged_from)
			{
				continue;
			}
			++judged;
			auto const& server = server_of_attempt[each->attempt];
			if (server.starts_with("i-desk"))
			{
				++stale;
				++stale_at[each->daemon];
			}
		}
		for (auto const& [daemon, count] : stale_at)
		{
			lines.line("CONFIG: " + daemon + " sent " + std::to_string(count) +
					   " requests to the old service, more than 3.5 s after the ack of configuration 3");
		}
		lines.line("requests judged " + std::to_string(judged) + ", handled as configuration 2 allows " +
				   std::to_string(stale));
		if (served_before == 0 || judged == 0)
		{
			co_return could_not_run;
		}
		co_return stale > 0 ? rule_broken : rule_held;
	}
}
