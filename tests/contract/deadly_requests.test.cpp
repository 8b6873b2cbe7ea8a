#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "crashing_server.hpp"
#include "daemon_group.hpp"
#include "test_protocol.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	// contact-ms of the users' platform.
	constexpr duration contact_time = seconds(3);
	// Deadly requests that may reach servers after the users' rule binds.
	constexpr std::size_t allowed_sends = 3;

	// What the caller's requests are, by their number.
	struct request_kinds
	{
		std::function<bool(int number)> is_deadly;
		std::function<std::string(int number, std::string const& attempt)> parts;
		std::function<std::string(int number)> body;
	};

	struct load_counts
	{
		std::atomic<int> sound = 0;
		std::atomic<int> served = 0;
	};

	// Returns whether an answer is the whole answer of a crashing_server, as a stream or with a length.
	bool is_whole(std::string const& answer)
	{
		return answer.starts_with("HTTP/1.1 200") && (answer.ends_with("0\r\n\r\n") || answer.ends_with("data: x\n\n"));
	}

	// Sends requests one after the other to a daemon until told to stop.
	void send_requests(http::endpoint const& address, request_kinds const& kinds, std::atomic<bool> const& is_over,
		load_counts& counts)
	{
		constexpr auto request_interval = std::chrono::milliseconds(20);
		for (int number = 0; !is_over; ++number)
		{
			auto const attempt = fmt::format("{}-{}", address.port, number);
			auto const answer = send_to_daemon(
				address, "POST", {{"Attempt", attempt}, {"Parts", kinds.parts(number, attempt)}}, kinds.body(number));
			if (!kinds.is_deadly(number))
			{
				++counts.sound;
				counts.served += is_whole(answer) ? 1 : 0;
			}
			std::this_thread::sleep_for(request_interval);
		}
	}

	std::vector<time_point> all_deadly_arrivals(std::vector<std::unique_ptr<crashing_server>> const& servers)
	{
		std::vector<time_point> all;
		for (auto const& server : servers)
		{
			auto const some = server->deadly_arrivals();
			all.insert(all.end(), some.begin(), some.end());
		}
		std::ranges::sort(all);
		return all;
	}

	struct outcome
	{
		// Deadly requests that reached servers, and those of them after the users' rule had come to bind.
		std::size_t arrivals = 0;
		std::size_t after_bound = 0;
		int late_sound = 0;
		int late_served = 0;
	};

	// Runs three daemons and four servers under load for three times contact_time. binding_ends: number of ends of
	// servers after which, and contact_time later, the users' rule binds.
	outcome run_load(routing::route const& route, routing::server_role role,
		crashing_server::deadly_test const& is_deadly, request_kinds const& kinds, std::size_t binding_ends)
	{
		constexpr std::size_t daemon_count = 3;
		constexpr std::size_t server_count = 4;
		std::vector<std::unique_ptr<crashing_server>> servers;
		std::vector<routing::registered_server> entries;
		for (std::size_t number = 0; number < server_count; ++number)
		{
			servers.push_back(std::make_unique<crashing_server>(is_deadly));
			entries.push_back(make_server(fmt::format("s{}", number), servers.back()->address(), role));
		}
		daemon_group fleet(daemon_count, route, entries);
		std::atomic<bool> is_over = false;
		auto const run = [&](load_counts& counts, duration time)
		{
			is_over = false;
			std::vector<std::thread> callers;
			for (auto const& address : fleet.addresses())
			{
				callers.emplace_back([&, address] { send_requests(address, kinds, is_over, counts); });
			}
			std::this_thread::sleep_for(time);
			is_over = true;
			std::ranges::for_each(callers, [](std::thread& each) { each.join(); });
		};
		load_counts early;
		load_counts late;
		run(early, 2 * contact_time);
		run(late, contact_time);
		auto const arrivals = all_deadly_arrivals(servers);
		outcome seen;
		seen.arrivals = arrivals.size();
		if (arrivals.size() >= binding_ends)
		{
			auto const bound = arrivals[binding_ends - 1] + contact_time;
			seen.after_bound = static_cast<std::size_t>(
				std::ranges::count_if(arrivals, [&](time_point each) { return each > bound; }));
		}
		seen.late_sound = late.sound;
		seen.late_served = late.served;
		return seen;
	}

	bool is_eighth(int number)
	{
		constexpr int deadly_every = 8;
		return number % deadly_every == deadly_every - 1;
	}
}

TEST_CASE("requests with a prompt part that ends servers stop to reach servers, and sound ones go on", "[deadly_part]")
{
	request_kinds const kinds{is_eighth, [](int number, std::string const& attempt)
		{ return is_eighth(number) ? "first,deadly," + attempt : "first," + attempt; },
		[](int)
		{
			return "same";
		}};
	auto const is_deadly = [](std::string const& text)
	{
		return text.find("first,deadly,") != std::string::npos;
	};
	auto const seen =
		run_load(make_route(routing::call_kind::streaming, 3, true), routing::server_role::decode, is_deadly, kinds, 5);
	CAPTURE(seen.arrivals, seen.late_sound, seen.late_served);
	REQUIRE(seen.arrivals > 0);
	REQUIRE(seen.after_bound <= allowed_sends);
	// The users' rule for sound requests: half as many begin as without the deadly ones.
	REQUIRE(2 * seen.late_served >= seen.late_sound);
}

TEST_CASE("a request that ends servers stops to reach servers, whatever ids it comes with", "[deadly_request]")
{
	auto const kind = GENERATE(routing::call_kind::streaming, routing::call_kind::idempotent);
	auto const is_stream = kind == routing::call_kind::streaming;
	request_kinds const kinds{is_eighth, [&](int number, std::string const& attempt)
		{ return !is_stream          ? ""
				 : is_eighth(number) ? "first,own"
									 : "first," + attempt; },
		[](int number)
		{
			return is_eighth(number) ? std::string("deadly") : fmt::format("sound {}", number);
		}};
	auto const is_deadly = [](std::string const& text)
	{
		return text.ends_with("deadly");
	};
	auto const seen = run_load(make_route(kind, 3, true),
		is_stream ? routing::server_role::decode : routing::server_role::plain, is_deadly, kinds, 3);
	CAPTURE(is_stream, seen.arrivals, seen.late_sound, seen.late_served);
	REQUIRE(seen.arrivals > 0);
	REQUIRE(seen.after_bound <= allowed_sends);
	REQUIRE(2 * seen.late_served >= seen.late_sound);
}
