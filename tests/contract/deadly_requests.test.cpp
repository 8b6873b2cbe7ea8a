#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <numeric>
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
	// Number of ends after which the users' rule binds, and the deadly requests that may reach servers afterwards.
	constexpr std::size_t binding_ends = 5;
	constexpr std::size_t allowed_sends = 3;

	struct load_counts
	{
		std::atomic<int> sound = 0;
		std::atomic<int> served = 0;
	};

	// Sends requests one after the other to a daemon until told to stop. One in `deadly_every` has the deadly part;
	// all have the same first part.
	void send_requests(
		http::endpoint const& address, int deadly_every, std::atomic<bool> const& is_over, load_counts& counts)
	{
		constexpr auto request_interval = std::chrono::milliseconds(20);
		for (int number = 0; !is_over; ++number)
		{
			auto const attempt = fmt::format("{}-{}", address.port, number);
			auto const is_deadly = number % deadly_every == deadly_every - 1;
			auto const parts = is_deadly ? "first,deadly," + attempt : "first," + attempt;
			auto const answer = send_to_daemon(address, "POST", {{"Attempt", attempt}, {"Parts", parts}});
			if (!is_deadly)
			{
				++counts.sound;
			counts.served += answer.ends_with("0\r\n\r\n") ? 1 : 0;
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
}

TEST_CASE("requests with a prompt part that ends servers stop to reach servers, and sound ones go on", "[deadly]")
{
	constexpr std::size_t daemon_count = 3;
	constexpr std::size_t server_count = 4;
	constexpr int deadly_every = 8;
	std::vector<std::unique_ptr<crashing_server>> servers;
	std::vector<routing::registered_server> entries;
	for (std::size_t number = 0; number < server_count; ++number)
	{
		servers.push_back(std::make_unique<crashing_server>(
			[](std::string const& text) { return text.find("first,deadly,") != std::string::npos; }));
		entries.push_back(
			make_server(fmt::format("s{}", number), servers.back()->address(), routing::server_role::decode));
	}
	auto route = make_route(routing::call_kind::streaming, 3, true);
	daemon_group fleet(daemon_count, route, entries);

	std::atomic<bool> is_over = false;
	load_counts early;
	load_counts late;
	auto const run = [&](load_counts& counts, duration time)
	{
		is_over = false;
		std::vector<std::thread> callers;
		for (auto const& address : fleet.addresses())
		{
			callers.emplace_back([&, address] { send_requests(address, deadly_every, is_over, counts); });
		}
		std::this_thread::sleep_for(time);
		is_over = true;
		std::ranges::for_each(callers, [](std::thread& each) { each.join(); });
	};
	run(early, 2 * contact_time);
	run(late, contact_time);

	auto const arrivals = all_deadly_arrivals(servers);
	auto const bound = arrivals.size() < binding_ends ? arrivals.end() : arrivals.begin() + binding_ends - 1;
	auto const after = std::ranges::count_if(
		arrivals, [&](time_point each) { return bound != arrivals.end() && each > *bound + contact_time; });
	CAPTURE(arrivals.size(), early.sound.load(), early.served.load(), late.sound.load(), late.served.load());
	REQUIRE(static_cast<std::size_t>(after) <= allowed_sends);
	// The users' rule for sound requests: half as many begin as without the deadly ones.
	REQUIRE(2 * late.served >= late.sound);
}
