#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <numeric>
#include <thread>

#include <fmt/format.h>

#include "daemon_group.hpp"
#include "streaming_servers.hpp"
#include "test_protocol.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// Streams that go on at another software version than the one that began them. The users' rule allows two in a day.
namespace
{
	constexpr int allowed_mixed = 2;
	constexpr std::size_t daemon_count = 6;
	constexpr std::size_t caller_count = 36;
	constexpr std::chrono::milliseconds restart_time{300};

	void sleep(std::chrono::milliseconds time)
	{
		std::this_thread::sleep_for(time);
	}

	std::vector<std::size_t> first_daemons(std::size_t count)
	{
		std::vector<std::size_t> numbers(count);
		std::iota(numbers.begin(), numbers.end(), 0);
		return numbers;
	}

	// Six daemons before four servers of each of two versions, and callers at all daemons.
	class two_versions
	{
	  public:
		[[nodiscard]] std::vector<routing::registered_server> all_entries() const
		{
			auto entries = entries_of(this->old_servers);
			std::ranges::copy(entries_of(this->new_servers), std::back_inserter(entries));
			return entries;
		}

		void kill_for_a_moment(std::size_t count)
		{
			this->daemons.kill(first_daemons(count));
			sleep(restart_time);
			this->daemons.restart(first_daemons(count));
		}

		server_list old_servers = make_servers(4, "v1");
		server_list new_servers = make_servers(4, "v1.1");
		daemon_group daemons{daemon_count, make_route(routing::call_kind::streaming, 3, true), all_entries()};
		stream_callers callers{daemons.addresses(), caller_count};
	};
}

TEST_CASE("a stream goes on at the version that began it after its server has broken off", "[version_break]")
{
	two_versions system;
	for (std::size_t number = 0; number < 8; ++number)
	{
		sleep(std::chrono::milliseconds(500));
		auto& servers = number % 2 == 0 ? system.old_servers : system.new_servers;
		servers[number / 2]->break_streams();
	}
	auto const seen = system.callers.finish();
	CAPTURE(seen.begun, seen.complete, seen.mixed, seen.taken_up, seen.went_on);
	REQUIRE(seen.begun > 0);
	REQUIRE(seen.mixed <= allowed_mixed);
	REQUIRE(2 * seen.complete >= seen.begun);
}

TEST_CASE("a stream goes on at the version that began it after its daemon was killed", "[version_kill]")
{
	auto const killed = GENERATE(std::size_t{1}, std::size_t{3}, daemon_count - 1);
	two_versions system;
	sleep(std::chrono::milliseconds(1500));
	system.kill_for_a_moment(killed);
	sleep(std::chrono::milliseconds(1500));
	system.kill_for_a_moment(killed);
	sleep(std::chrono::milliseconds(1000));
	auto const seen = system.callers.finish();
	CAPTURE(killed, seen.begun, seen.complete, seen.mixed, seen.taken_up, seen.went_on);
	REQUIRE(seen.taken_up > 0);
	REQUIRE(seen.mixed <= allowed_mixed);
	// The users' rule for callers who take streams up: half as many go on as new streams begin.
	REQUIRE(2 * seen.went_on >= seen.taken_up);
}

TEST_CASE("no stream goes on at another version after all daemons were killed", "[version_kill_all]")
{
	auto const old_version_leaves = GENERATE(false, true);
	two_versions system;
	sleep(std::chrono::milliseconds(1500));
	if (old_version_leaves)
	{
		system.daemons.publish(entries_of(system.new_servers));
	}
	system.kill_for_a_moment(daemon_count);
	sleep(std::chrono::milliseconds(1500));
	auto const seen = system.callers.finish();
	CAPTURE(old_version_leaves, seen.begun, seen.complete, seen.mixed, seen.taken_up, seen.went_on);
	REQUIRE(seen.taken_up > 0);
	REQUIRE(seen.mixed <= allowed_mixed);
	if (!old_version_leaves)
	{
		// Engines still run the streams that they have begun, and report them.
		REQUIRE(2 * seen.went_on >= seen.taken_up);
	}
}

// Guards against a started daemon that takes the one version left for the one that began a stream (ORDER).
TEST_CASE("no stream goes on at the version that is left, however long its servers have run", "[version_left]")
{
	two_versions system;
	sleep(std::chrono::milliseconds(1500));
	// By their entries, these servers have run for decades.
	system.daemons.publish(entries_of(system.new_servers));
	system.kill_for_a_moment(daemon_count);
	sleep(std::chrono::milliseconds(1500));
	auto const seen = system.callers.finish();
	CAPTURE(seen.begun, seen.complete, seen.mixed, seen.taken_up, seen.went_on);
	REQUIRE(seen.taken_up > 0);
	REQUIRE(seen.mixed <= allowed_mixed);
}

// Guards against streams that go on at a server that has started again with another version while its entry still
// states the one before, as when the registry can't be written (ORDER).
TEST_CASE("no stream goes on at a server that has started again with another version", "[version_restart]")
{
	auto const servers = make_servers(6, "v1");
	daemon_group daemons(daemon_count, make_route(routing::call_kind::streaming, 3, true), entries_of(servers));
	stream_callers callers(daemons.addresses(), caller_count);
	sleep(std::chrono::milliseconds(700));
	daemons.lose_registry();
	for (auto const number : {0, 1, 2})
	{
		servers[number]->restart("v2");
		sleep(std::chrono::milliseconds(300));
		servers[number + 3]->break_streams();
		sleep(std::chrono::milliseconds(300));
	}
	auto const seen = callers.finish();
	CAPTURE(seen.begun, seen.complete, seen.mixed, seen.taken_up, seen.went_on);
	REQUIRE(seen.begun > 0);
	REQUIRE(seen.mixed <= allowed_mixed);
	REQUIRE(2 * seen.complete >= seen.begun);
}

// Guards against streams that go on at another version, since a server is back under its id with that version before
// its entry says so, while the registry can be read (ORDER).
TEST_CASE("no stream goes on at another version while a server's entry is older than its process", "[version_back]")
{
	constexpr std::chrono::milliseconds until_break{120};
	constexpr std::chrono::milliseconds until_entry{200};
	// Where streams break off before the entry is written: at another server of the version before, so that its streams
	// might go on at the new process, or at the new process, so that its streams might go on at the version before.
	auto const breaks_new_process = GENERATE(false, true);
	two_versions system;
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
	REQUIRE(seen.mixed <= allowed_mixed);
	REQUIRE(2 * seen.complete >= seen.begun);
}

// Guards against servers that get no stream any more after a connection has broken, since their report names no start.
TEST_CASE("a server that does not report its start serves streams after a connection has broken", "[version_restart]")
{
	auto servers = make_servers(1, "v1");
	auto entries = entries_of(servers);
	servers.front()->set_reporting(false);
	daemon_group daemons(1, make_route(routing::call_kind::streaming, 1, true), entries);
	auto const send = [&](std::string const& attempt)
	{
		return send_to_daemon(daemons.addresses()[0], "POST", {{"Events", "3"}, {"Attempt", attempt}});
	};
	REQUIRE(send("t1").find("id: 3\n") != std::string::npos);
	daemons.lose_registry();
	servers.front()->restart("v1");
	REQUIRE_FALSE(send("t2").empty());
	REQUIRE(send("t3").find("id: 3\n") != std::string::npos);
}

TEST_CASE("a stream is taken up only by naming the attempt that began it, whatever else is named", "[version_odd]")
{
	auto const old_servers = make_servers(1, "v1");
	auto const new_servers = make_servers(1, "v1.1");
	auto entries = entries_of(old_servers);
	std::ranges::copy(entries_of(new_servers), std::back_inserter(entries));
	daemon_group daemons(2, make_route(routing::call_kind::streaming, 3, true), entries);
	int number = 0;
	auto const send = [&](std::size_t daemon, std::vector<http::header> headers)
	{
		headers.push_back({"Events", "3"});
		headers.push_back({"Attempt", fmt::format("t{}", number++)});
		return send_to_daemon(daemons.addresses()[daemon], "POST", headers);
	};
	auto const begun = send(0, {});
	REQUIRE(begun.find("id: 3\n") != std::string::npos);
	auto const is_new = begun.find("data: v1.1\n") != std::string::npos;
	auto const goes_on = [&](std::string const& answer)
	{
		auto const holds_new = answer.find("data: v1.1\n") != std::string::npos;
		return answer.starts_with("HTTP/1.1 200") && holds_new == is_new;
	};
	// At the daemon that began it and at another one, several times, also after an odd event.
	for (auto const* last_event : {"1", "2", "-1", "one"})
	{
		REQUIRE(goes_on(send(0, {{"Resumes", "t0"}, {"Last-Event-Id", last_event}})));
		REQUIRE(goes_on(send(1, {{"Resumes", "t0"}, {"Last-Event-Id", last_event}})));
	}
	auto const own_attempt = fmt::format("t{}", number);
	std::vector<std::vector<http::header>> const unknown{{}, {{"Resumes", "other"}}, {{"Resumes", own_attempt}},
		{{"Resumes", std::string(10'000, 't')}}, {{"Resumes", "other"}, {"Resumes", "t0"}}, {{"Resumes", "t0,t0"}}};
	for (auto headers : unknown)
	{
		headers.push_back({"Last-Event-Id", "1"});
		auto const answer = send(1, headers);
		CAPTURE(headers.front().value.substr(0, 20), answer);
		REQUIRE(answer.starts_with("HTTP/1.1 503"));
		REQUIRE(answer.find("Retry-After: ") != std::string::npos);
	}
	// Without a last event the stream begins anew.
	REQUIRE(send(1, {{"Resumes", "other"}}).starts_with("HTTP/1.1 200"));
}
