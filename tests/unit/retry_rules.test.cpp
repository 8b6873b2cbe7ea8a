#include <catch2/catch.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using routing::call_kind;
using routing::send_failure;

TEST_CASE("a call that must not be repeated is sent again only if it did not run", "[retry]")
{
	struct row
	{
		send_failure failure;
		bool is_not_run;
	};
	std::vector<row> const table{{send_failure::not_sent, true}, {send_failure::not_run, true},
		{send_failure::wrong_server, true}, {send_failure::server_error, false}, {send_failure::broken, false},
		{send_failure::silent, false}};
	routing::route booking;
	booking.kind = call_kind::non_idempotent;
	routing::route lookup;
	lookup.kind = call_kind::idempotent;
	routing::route stream;
	stream.kind = call_kind::streaming;
	routing::route resumable = stream;
	resumable.resumable = true;
	for (auto const& each : table)
	{
		CAPTURE(routing::to_string(each.failure));
		REQUIRE(routing::may_retry(booking, each.failure) == each.is_not_run);
		REQUIRE(routing::may_retry(stream, each.failure) == each.is_not_run);
		REQUIRE(routing::may_retry(lookup, each.failure));
		REQUIRE(routing::may_retry(resumable, each.failure));
	}
}

TEST_CASE("status 503 is returned only for requests that did not run", "[retry]")
{
	REQUIRE(routing::status_of_failure(false, false) == 503);
	REQUIRE(routing::status_of_failure(false, true) == 503);
	REQUIRE(routing::status_of_failure(true, false) == 502);
	REQUIRE(routing::status_of_failure(true, true) == 504);
}

TEST_CASE("refused callers retry at different times, within the time they have left", "[retry]")
{
	auto const early = routing::retry_after(seconds(12), milliseconds(300), {}, 0);
	auto const late = routing::retry_after(seconds(12), milliseconds(300), {}, 0.99);
	REQUIRE(early < late);
	REQUIRE(late < seconds(1));
	REQUIRE(routing::retry_after(milliseconds(900), milliseconds(300), {}, 0.99) <= milliseconds(300));
	REQUIRE(routing::retry_after(milliseconds(900), milliseconds(900), {}, 0) <= milliseconds(300));
	REQUIRE(routing::retry_after(seconds(12), {}, {}, 0.5) < seconds(1));
}

TEST_CASE("callers of a slow route retry later, since its bursts last longer", "[retry]")
{
	REQUIRE(routing::retry_after(seconds(14), milliseconds(900), {}, 0) == milliseconds(900));
	REQUIRE(routing::retry_after(seconds(14), milliseconds(900), {}, 0.99) > milliseconds(2500));
	REQUIRE(routing::retry_after(seconds(14), milliseconds(900), {}, 0.99) <= milliseconds(2700));
}

TEST_CASE("callers refused during a pause of all servers retry after it if they have the time", "[retry]")
{
	auto const return_time = [](duration time_left, double draw)
	{
		return routing::retry_after(time_left, milliseconds(300), seconds(2), draw);
	};
	REQUIRE(return_time(seconds(12), 0) == seconds(2));
	REQUIRE(return_time(seconds(12), 0.99) > seconds(2));
	REQUIRE(return_time(seconds(12), 0.99) < seconds(3));
	REQUIRE(return_time(milliseconds(1200), 0.5) <= milliseconds(400));
}

TEST_CASE("another daemon gets time to find out that a server has failed, and for the next one", "[retry_rules]")
{
	routing::route route;
	route.kind = routing::call_kind::idempotent;
	route.max_servers = 2;
	route.objective = milliseconds(150);
	route.longest_gap = milliseconds(300);
	route.caller_patience = milliseconds(3600);
	REQUIRE(routing::relayed_response_timeout(route) == 3 * routing::response_timeout(route));
	REQUIRE(routing::relayed_event_timeout(route) == milliseconds(2700));
	REQUIRE(routing::relayed_event_timeout(route) > routing::event_timeout(route));
	// A call that may run once gets no second daemon, and a stream may wait for memory.
	route.kind = routing::call_kind::non_idempotent;
	REQUIRE(routing::relayed_response_timeout(route) == duration::max());
}
