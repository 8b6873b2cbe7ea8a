#include <catch2/catch.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

TEST_CASE("streams that can still begin in time go before late ones, earliest deadline first", "[admission_queue]")
{
	routing::admission_queue queue;
	auto const late = queue.enter({at_ms(50), 1, at_ms(0)});
	auto const later_deadline = queue.enter({at_ms(900), 1, at_ms(100)});
	auto const urgent_deadline = queue.enter({at_ms(700), 1, at_ms(90)});
	REQUIRE(queue.may_reserve(urgent_deadline, at_ms(100)));
	queue.leave(urgent_deadline);
	REQUIRE(queue.may_reserve(later_deadline, at_ms(100)));
	queue.leave(later_deadline);
	REQUIRE(queue.may_reserve(late, at_ms(100)));
}

TEST_CASE("a burst makes only some streams late, not all", "[admission_queue]")
{
	// Every 100 ms one stream begins and two arrive. Each must begin within 500 ms of its arrival.
	routing::admission_queue queue;
	struct stream
	{
		routing::queue_ticket ticket;
		routing::waiting_stream waiting;
	};
	std::vector<stream> waiting;
	int in_time = 0;
	int begun = 0;
	for (int now = 0; now < 6000; now += 50)
	{
		routing::waiting_stream const next{at_ms(now + 500), 1, at_ms(now)};
		waiting.push_back({queue.enter(next), next});
		if (now % 100 != 0)
		{
			continue;
		}
		auto const first = std::ranges::find_if(
			waiting, [&](stream const& each) { return queue.may_reserve(each.ticket, at_ms(now)); });
		REQUIRE(first != waiting.end());
		in_time += first->waiting.start_deadline >= at_ms(now) ? 1 : 0;
		++begun;
		queue.leave(first->ticket);
		waiting.erase(first);
	}
	REQUIRE(begun == 60);
	// If streams began in order of arrival, none of the later ones would begin in time.
	REQUIRE(in_time == begun);
}

TEST_CASE(
	"a stream that lost its engine goes before new streams and is not refused for being late", "[admission_queue]")
{
	routing::admission_queue queue;
	auto const urgent_deadline = queue.enter({at_ms(4100), 1, at_ms(4000)});
	routing::waiting_stream begun{at_ms(700), 1, at_ms(0), true};
	auto const resumed = queue.enter(begun);
	REQUIRE(queue.may_reserve(resumed, at_ms(4050)));
	REQUIRE_FALSE(queue.may_reserve(urgent_deadline, at_ms(4050)));
	REQUIRE_FALSE(queue.should_refuse(resumed, at_ms(6500), at_ms(4050)));
	REQUIRE(queue.should_refuse(resumed, at_ms(6500), at_ms(6500)));
}

TEST_CASE("a stream whose caller would leave before its turn is refused, a late stream waits", "[admission_queue]")
{
	routing::admission_queue queue;
	// The queue grants memory every 300 ms.
	for (int grant = 0; grant < 40; ++grant)
	{
		queue.note_grant(at_ms(300L * grant));
	}
	auto const now = at_ms(12'000);
	auto const leaves_at = now + milliseconds(1000);
	std::vector<routing::queue_ticket> tickets(6);
	std::ranges::generate(tickets, [&] { return queue.enter({now + milliseconds(700), 1, now}); });
	// The turns of the first four streams come after 0, 300, 600 and 900 ms; the fourth begins late, but its caller
	// still waits. The callers of the other two would have left before their turns.
	std::vector<bool> refused;
	std::ranges::transform(tickets, std::back_inserter(refused),
		[&](routing::queue_ticket each) { return queue.should_refuse(each, leaves_at, now); });
	REQUIRE(refused == std::vector<bool>{false, false, false, false, true, true});
}

TEST_CASE("a late stream waits until its caller would leave", "[admission_queue]")
{
	routing::admission_queue queue;
	auto const late = queue.enter({at_ms(0), 1, at_ms(0)});
	REQUIRE_FALSE(queue.should_refuse(late, at_ms(2800), at_ms(1000)));
	REQUIRE(queue.should_refuse(late, at_ms(2800), at_ms(2800)));
}

TEST_CASE("streams of higher priority go first among those in time", "[admission_queue]")
{
	routing::admission_queue queue;
	auto const usual = queue.enter({at_ms(500), 2, at_ms(0)});
	auto const urgent = queue.enter({at_ms(900), 0, at_ms(10)});
	REQUIRE(queue.may_reserve(urgent, at_ms(20)));
	REQUIRE_FALSE(queue.may_reserve(usual, at_ms(20)));
}

TEST_CASE("smaller streams may pass a large stream, streams of equal size may not", "[admission_queue]")
{
	routing::admission_queue queue;
	auto const enter = [&](std::int64_t start_deadline, std::uint32_t needed)
	{
		return queue.enter({at_ms(start_deadline), 1, at_ms(0), false, token_count(needed)});
	};
	auto const large = enter(300, 9000);
	auto const small = enter(400, 2000);
	auto const smaller = enter(500, 1500);
	auto const alike = enter(600, 2000);
	REQUIRE(queue.may_reserve(large, at_ms(10)));
	REQUIRE(queue.may_reserve(small, at_ms(10)));
	REQUIRE(queue.may_reserve(smaller, at_ms(10)));
	REQUIRE_FALSE(queue.may_reserve(alike, at_ms(10)));
	// At 550 ms `smaller` is late, and a late stream may not pass others.
	REQUIRE_FALSE(queue.may_reserve(smaller, at_ms(550)));
	REQUIRE(queue.may_reserve(alike, at_ms(550)));
}

TEST_CASE("a burst on small engines is not blocked by the largest streams", "[admission_queue]")
{
	// Blocks of 2,000 to 5,000 tokens of memory become free every 50 ms. One stream in five needs 6,000 tokens and
	// never fits into a block.
	routing::admission_queue queue;
	struct stream
	{
		routing::queue_ticket ticket;
		std::uint32_t needed = 0;
	};
	std::vector<stream> waiting;
	int begun = 0;
	for (int now = 0; now < 3000; now += 50)
	{
		auto const needed = now % 250 == 0 ? 6000U : 1000U + now % 700;
		waiting.push_back({queue.enter({at_ms(now + 500), 1, at_ms(now), false, token_count(needed)}), needed});
		auto const free = 2000U + now * 7 % 3000;
		auto const first = std::ranges::find_if(waiting,
			[&](stream const& each) { return each.needed <= free && queue.may_reserve(each.ticket, at_ms(now)); });
		if (first != waiting.end())
		{
			++begun;
			queue.leave(first->ticket);
			waiting.erase(first);
		}
	}
	REQUIRE(begun >= 45);
}

// Streams begun by a version whose engines are full, beside new ones that may go anywhere.
TEST_CASE("a stream bound to one software version neither waits for others nor holds them up", "[admission_queue]")
{
	routing::admission_queue queue;
	routing::stream_origin const old_version{service_id("s"), software_version("v1")};
	routing::waiting_stream begun{at_ms(700), 1, at_ms(0), true};
	begun.bound_to = old_version;
	auto const first_bound = queue.enter(begun);
	auto const second_bound = queue.enter(begun);
	auto const new_stream = queue.enter({at_ms(900), 1, at_ms(100)});
	REQUIRE(queue.may_reserve(first_bound, at_ms(100)));
	REQUIRE_FALSE(queue.may_reserve(second_bound, at_ms(100)));
	REQUIRE(queue.may_reserve(new_stream, at_ms(100)));
	REQUIRE(queue.awaited_versions(service_id("s")) == std::set<software_version>{software_version("v1")});
	REQUIRE(queue.awaited_versions(service_id("t")).empty());
	// Once the other version is gone, it goes before new streams again.
	queue.bind(first_bound, std::nullopt);
	REQUIRE_FALSE(queue.may_reserve(new_stream, at_ms(100)));
}

// Guards against a queue that moves at the pace of far engines, which answer each question late (LOST).
TEST_CASE("a stream that asks slow engines for long holds nobody up", "[queue]")
{
	routing::admission_queue queue;
	auto const first = queue.enter({at_ms(700), 1, at_ms(0)});
	auto const second = queue.enter({at_ms(800), 1, at_ms(100)});
	queue.note_try(first, at_ms(100));
	REQUIRE_FALSE(queue.may_reserve(second, at_ms(110)));
	REQUIRE(queue.may_reserve(second, at_ms(200)));
	// The order holds among those that do not ask.
	auto const third = queue.enter({at_ms(900), 1, at_ms(150)});
	REQUIRE_FALSE(queue.may_reserve(third, at_ms(200)));
	queue.note_try_end(first);
	REQUIRE_FALSE(queue.may_reserve(second, at_ms(200)));
	REQUIRE(queue.may_reserve(first, at_ms(200)));
}
