#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "daemon_group.hpp"
#include "stream_answers.hpp"
#include "streaming_servers.hpp"
#include "test_protocol.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// Streams of a service whose servers have no stage: what serves a request is told by its servers, not by its route's
// kind.
namespace
{
	constexpr std::size_t daemon_count = 6;
	constexpr std::size_t caller_count = 36;
	constexpr auto plain = routing::server_role::plain;

	void sleep(std::chrono::milliseconds time)
	{
		std::this_thread::sleep_for(time);
	}

	// Six daemons before four plain servers of each of two versions, and callers at all daemons.
	class plain_versions
	{
	  public:
		[[nodiscard]] std::vector<routing::registered_server> all_entries() const
		{
			auto entries = entries_of(this->old_servers);
			std::ranges::copy(entries_of(this->new_servers), std::back_inserter(entries));
			return entries;
		}

		server_list old_servers = make_servers(4, "v1", plain);
		server_list new_servers = make_servers(4, "v1.1", plain);
		daemon_group daemons{daemon_count, make_route(routing::call_kind::streaming, 3, true), all_entries()};
		stream_callers callers{daemons.addresses(), caller_count};
	};
}

TEST_CASE("streams begin at plain servers when their service has no others, and get all events", "[plain_streams]")
{
	auto const is_resumable = GENERATE(false, true);
	auto const servers = make_servers(2, "v1", plain);
	daemon_group daemons(1, make_route(routing::call_kind::streaming, 1, is_resumable), entries_of(servers));
	for (int number = 0; number < 4; ++number)
	{
		auto const answer =
			send_to_daemon(daemons.addresses()[0], "POST", {{"Events", "3"}, {"Attempt", fmt::format("t{}", number)}});
		CAPTURE(is_resumable, number, answer);
		REQUIRE(answer.starts_with("HTTP/1.1 200"));
		REQUIRE(is_complete(answer, 3));
	}
}

TEST_CASE("no stream goes to a plain server while its service lists engines", "[plain_streams]")
{
	auto const without_stage = make_servers(2, "v1", plain);
	auto const engines = make_servers(1, "v2");
	auto entries = entries_of(without_stage);
	std::ranges::copy(entries_of(engines), std::back_inserter(entries));
	daemon_group daemons(1, make_route(routing::call_kind::streaming, 3, true), entries);
	for (int number = 0; number < 4; ++number)
	{
		auto const answer =
			send_to_daemon(daemons.addresses()[0], "POST", {{"Events", "3"}, {"Attempt", fmt::format("t{}", number)}});
		CAPTURE(number, answer);
		REQUIRE(holds(answer, "v2"));
		REQUIRE(is_complete(answer, 3));
	}
}

TEST_CASE("a stream goes on at the version that began it after its plain server has broken off", "[plain_streams]")
{
	plain_versions system;
	for (std::size_t number = 0; number < 8; ++number)
	{
		sleep(std::chrono::milliseconds(500));
		auto& servers = number % 2 == 0 ? system.old_servers : system.new_servers;
		servers[number / 2]->break_streams();
	}
	auto const seen = system.callers.finish();
	CAPTURE(seen.begun, seen.complete, seen.mixed, seen.taken_up, seen.went_on);
	REQUIRE(seen.begun > 0);
	REQUIRE(seen.mixed == 0);
	REQUIRE(2 * seen.complete >= seen.begun);
}

TEST_CASE("a stream of a plain server that is taken up goes on at the version that began it", "[plain_streams]")
{
	auto const old_servers = make_servers(2, "v1", plain);
	auto const new_servers = make_servers(2, "v1.1", plain);
	auto entries = entries_of(old_servers);
	std::ranges::copy(entries_of(new_servers), std::back_inserter(entries));
	daemon_group daemons(2, make_route(routing::call_kind::streaming, 3, true), entries);
	sleep(meeting_time);
	for (int number = 0; number < 6; ++number)
	{
		auto const begun =
			send_to_daemon(daemons.addresses()[0], "POST", {{"Events", "3"}, {"Attempt", fmt::format("b{}", number)}});
		CAPTURE(number, begun);
		REQUIRE(is_complete(begun, 3));
		auto const version = holds(begun, "v1.1") ? "v1.1" : "v1";
		auto const taken_up = send_to_daemon(daemons.addresses()[1], "POST",
			{{"Events", "6"}, {"Attempt", fmt::format("u{}", number)}, {"Resumes", fmt::format("b{}", number)},
				{"Last-Event-Id", "3"}});
		CAPTURE(taken_up);
		REQUIRE(taken_up.find("id: 4\n") != std::string::npos);
		REQUIRE(taken_up.find("id: 3\n") == std::string::npos);
		REQUIRE(is_complete(taken_up, 6));
		REQUIRE(holds(taken_up, version));
	}
}

// Guards against streams that go on at a plain server which is back with another version before its entry says so.
TEST_CASE(
	"no stream goes on at another version while a plain server's entry is older than its process", "[plain_streams]")
{
	constexpr std::chrono::milliseconds until_break{120};
	constexpr std::chrono::milliseconds until_entry{200};
	auto const breaks_new_process = GENERATE(false, true);
	plain_versions system;
	sleep(std::chrono::milliseconds(700));
	for (std::size_t number = 0; number < 9; ++number)
	{
		auto const& back = system.old_servers[number % 3];
		auto const& other = system.old_servers.back();
		auto const is_new = back->entry().version == software_version("v1.1");
		back->restart(is_new ? "v1" : "v1.1");
		sleep(until_break);
		auto const& broken = breaks_new_process ? back : (is_new ? system.new_servers.back() : other);
		broken->break_streams();
		sleep(until_entry);
		system.daemons.publish(system.all_entries());
		sleep(until_entry);
	}
	auto const seen = system.callers.finish();
	CAPTURE(breaks_new_process, seen.begun, seen.complete, seen.mixed, seen.taken_up, seen.went_on);
	REQUIRE(seen.begun > 0);
	REQUIRE(seen.mixed <= 2);
	REQUIRE(2 * seen.complete >= seen.begun);
}

TEST_CASE("no stream of plain servers goes on at another version after all daemons were killed", "[plain_streams]")
{
	plain_versions system;
	sleep(std::chrono::milliseconds(1500));
	system.daemons.kill({0, 1, 2, 3, 4, 5});
	sleep(std::chrono::milliseconds(300));
	system.daemons.restart({0, 1, 2, 3, 4, 5});
	sleep(std::chrono::milliseconds(1500));
	auto const seen = system.callers.finish();
	CAPTURE(seen.begun, seen.complete, seen.mixed, seen.taken_up, seen.went_on);
	REQUIRE(seen.taken_up > 0);
	REQUIRE(seen.mixed == 0);
	REQUIRE(2 * seen.went_on >= seen.taken_up);
}
