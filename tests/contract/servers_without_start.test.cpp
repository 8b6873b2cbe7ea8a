#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

#include "stream_with_second_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// Streams of servers that state the start of their process nowhere, or in one place only.
namespace
{
	using std::chrono::milliseconds;

	// Events of a stream that lasts until its daemon knows the processes of all servers.
	constexpr int long_stream = 300;
	// Time after which a daemon knows them; such a stream takes longer.
	constexpr milliseconds known_time{4500};

	constexpr stated_places nowhere{false, false};
	constexpr stated_places in_entry_only{true, false};
	constexpr stated_places in_report_only{false, true};

	// Begins the stream, and waits until its daemon knows the processes of all servers.
	void begin_known(stream_with_second_server& system)
	{
		system.begin(long_stream);
		std::this_thread::sleep_for(known_time);
		// The registry is read again, and nothing has changed.
		system.publish();
		std::this_thread::sleep_for(settle_time);
	}
}

// Guards against a server that states no start, whoever answers, passing for the process of its entry (ORDER).
TEST_CASE("a stream does not go on at a process whose entry was not read, whatever states its start", "[no_start]")
{
	auto const places = GENERATE(nowhere, in_entry_only, in_report_only);
	CAPTURE(places.in_entry, places.in_report);
	stream_with_second_server system(places);
	begin_known(system);
	system.second.restart("v1.1");
	auto const& answer = system.break_off();
	REQUIRE(holds(answer, "v1"));
	REQUIRE_FALSE(holds(answer, "v1.1"));
}

// Guards against streams that never go on since no server confirms the start of its entry (LOST).
TEST_CASE("a stream goes on at a server of its version, whatever states its start", "[no_start]")
{
	auto const places = GENERATE(nowhere, in_entry_only, in_report_only);
	CAPTURE(places.in_entry, places.in_report);
	stream_with_second_server system(places);
	begin_known(system);
	auto const& answer = system.break_off();
	REQUIRE(is_complete(answer, long_stream));
	REQUIRE_FALSE(holds(answer, "v1.1"));
}
