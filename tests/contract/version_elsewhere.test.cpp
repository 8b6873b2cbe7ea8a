#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <string>
#include <thread>

#include <fmt/format.h>

#include "daemon_group.hpp"
#include "streaming_servers.hpp"
#include "test_protocol.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// Streams that are taken up at a daemon that hasn't heard of the servers of the version that began them.
namespace
{
	constexpr std::size_t daemon_count = 3;
	constexpr std::size_t max_streams = 200;
	constexpr std::size_t streams_taken_up = 12;
	constexpr int events = 6;
	constexpr int events_before_break = 3;
	// Time in which the daemons hear of each other, of versions and of origins.
	constexpr std::chrono::milliseconds contact_time{1500};
	constexpr std::chrono::milliseconds telling_time{300};

	// The first daemon knows the servers of the first version only, the others know those of both.
	class out_of_touch_daemon
	{
	  public:
		out_of_touch_daemon()
		{
			auto all = entries_of(this->old_servers);
			std::ranges::copy(entries_of(this->new_servers), std::back_inserter(all));
			for (std::size_t daemon = 1; daemon < daemon_count; ++daemon)
			{
				this->daemons.publish_to(daemon, all);
			}
			std::this_thread::sleep_for(contact_time);
		}

		server_list old_servers = make_servers(2, "v1");
		server_list new_servers = make_servers(2, "v1.1");
		daemon_group daemons{
			daemon_count, make_route(routing::call_kind::streaming, 3, true), entries_of(this->old_servers)};
	};

	std::string take_up(daemon_group const& daemons, std::size_t daemon, std::string const& name)
	{
		return send_to_daemon(daemons.addresses()[daemon], "POST",
			{{"Attempt", "again-" + name}, {"Resumes", name}, {"Events", std::to_string(events)},
				{"Last-Event-Id", std::to_string(events_before_break)}});
	}
}

TEST_CASE("a stream goes on elsewhere if its daemon knows no server of its version", "[version_elsewhere]")
{
	out_of_touch_daemon const system;
	std::set<std::string> begun;
	for (std::size_t number = 0; number < max_streams && begun.size() < streams_taken_up; ++number)
	{
		auto const name = fmt::format("t{}", number);
		auto const daemon = 1 + (number % (daemon_count - 1));
		auto const answer = send_to_daemon(system.daemons.addresses()[daemon], "POST",
			{{"Attempt", name}, {"Events", std::to_string(events_before_break)}});
		if (answer.find("data: v1.1\n") != std::string::npos)
		{
			begun.insert(name);
		}
	}
	std::this_thread::sleep_for(telling_time);
	int went_on = 0;
	int mixed = 0;
	std::string last_refusal;
	for (auto const& name : begun)
	{
		auto const answer = take_up(system.daemons, 0, name);
		auto const is_whole = answer.find(fmt::format("id: {}\ndata: v1.1\n", events)) != std::string::npos;
		went_on += is_whole ? 1 : 0;
		mixed += answer.find("data: v1\n") != std::string::npos ? 1 : 0;
		last_refusal = is_whole ? last_refusal : answer;
	}
	auto const taken_up = static_cast<int>(begun.size());
	CAPTURE(taken_up, went_on, mixed, last_refusal);
	REQUIRE(begun.size() == streams_taken_up);
	REQUIRE(mixed == 0);
	// The users' rule for callers who take streams up: half as many go on as new streams begin.
	REQUIRE(2 * went_on >= taken_up);
	for (auto const& server : system.new_servers)
	{
		auto const runs = server->run_counts();
		REQUIRE(std::ranges::all_of(runs, [](auto const& item) { return item.second == 1; }));
	}
}
