#include <catch2/catch.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

TEST_CASE("streams that can still begin in time go before late ones, the most pressed first", "[line]")
{
	routing::admission_queue line;
	auto const late = line.enter({at_ms(50), 1, at_ms(0)});
	auto const relaxed = line.enter({at_ms(900), 1, at_ms(100)});
	auto const pressed = line.enter({at_ms(700), 1, at_ms(90)});
	REQUIRE(line.may_reserve(pressed, at_ms(100)));
	line.leave(pressed);
	REQUIRE(line.may_reserve(relaxed, at_ms(100)));
	line.leave(relaxed);
	REQUIRE(line.may_reserve(late, at_ms(100)));
}

TEST_CASE("a burst makes those late that can no longer be helped, not everybody", "[line]")
{
	// One stream begins every 100 ms, two arrive, each has to begin within 500 ms.
	routing::admission_queue line;
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
		waiting.push_back({line.enter(next), next});
		if (now % 100 != 0)
		{
			continue;
		}
		auto const first = std::ranges::find_if(
			waiting, [&](stream const& each) { return line.may_reserve(each.ticket, at_ms(now)); });
		REQUIRE(first != waiting.end());
		in_time += first->waiting.start_deadline >= at_ms(now) ? 1 : 0;
		++begun;
		line.leave(first->ticket);
		waiting.erase(first);
	}
	REQUIRE(begun == 60);
	// Served in order of arrival, none of the later ones would be in time.
	REQUIRE(in_time == begun);
}

TEST_CASE("a stream that lost its engine goes on before new ones begin, and is not refused for being late", "[line]")
{
	routing::admission_queue line;
	auto const pressed = line.enter({at_ms(4100), 1, at_ms(4000)});
	routing::waiting_stream begun{at_ms(700), 1, at_ms(0), true};
	auto const resumed = line.enter(begun);
	REQUIRE(line.may_reserve(resumed, at_ms(4050)));
	REQUIRE_FALSE(line.may_reserve(pressed, at_ms(4050)));
	REQUIRE_FALSE(line.should_refuse(resumed, at_ms(6500), at_ms(4050)));
	REQUIRE(line.should_refuse(resumed, at_ms(6500), at_ms(6500)));
}

TEST_CASE("who would have left before the turn comes is refused at once; who would be late waits", "[line]")
{
	routing::admission_queue line;
	// The line moves once in 300 ms.
	for (int grant = 0; grant < 40; ++grant)
	{
		line.note_grant(at_ms(300L * grant));
	}
	auto const now = at_ms(12'000);
	auto const leaves_at = now + milliseconds(1000);
	std::vector<routing::queue_ticket> tickets(6);
	std::ranges::generate(tickets, [&] { return line.enter({now + milliseconds(700), 1, now}); });
	// Turns come after 0, 300, 600 and 900 ms, the last of them late; the others would have left.
	std::vector<bool> refused;
	std::ranges::transform(tickets, std::back_inserter(refused),
		[&](routing::queue_ticket each) { return line.should_refuse(each, leaves_at, now); });
	REQUIRE(refused == std::vector<bool>{false, false, false, false, true, true});
}

TEST_CASE("a late stream waits until its caller would leave", "[line]")
{
	routing::admission_queue line;
	auto const late = line.enter({at_ms(0), 1, at_ms(0)});
	REQUIRE_FALSE(line.should_refuse(late, at_ms(2800), at_ms(1000)));
	REQUIRE(line.should_refuse(late, at_ms(2800), at_ms(2800)));
}

TEST_CASE("more urgent streams go first among those in time", "[line]")
{
	routing::admission_queue line;
	auto const usual = line.enter({at_ms(500), 2, at_ms(0)});
	auto const urgent = line.enter({at_ms(900), 0, at_ms(10)});
	REQUIRE(line.may_reserve(urgent, at_ms(20)));
	REQUIRE_FALSE(line.may_reserve(usual, at_ms(20)));
}

TEST_CASE("smaller streams take the room that is too small for a large one, none of its own size does", "[line]")
{
	routing::admission_queue line;
	auto const enter = [&](std::int64_t start_deadline, std::uint32_t needed)
	{
		return line.enter({at_ms(start_deadline), 1, at_ms(0), false, token_count(needed)});
	};
	auto const large = enter(300, 9000);
	auto const small = enter(400, 2000);
	auto const smaller = enter(500, 1500);
	auto const alike = enter(600, 2000);
	REQUIRE(line.may_reserve(large, at_ms(10)));
	REQUIRE(line.may_reserve(small, at_ms(10)));
	REQUIRE(line.may_reserve(smaller, at_ms(10)));
	REQUIRE_FALSE(line.may_reserve(alike, at_ms(10)));
	// Late ones get only what the first of the line leaves.
	REQUIRE_FALSE(line.may_reserve(smaller, at_ms(550)));
	REQUIRE(line.may_reserve(alike, at_ms(550)));
}

TEST_CASE("a burst on engines of a few streams each is not held up by the largest", "[line]")
{
	// Pieces of memory of 2,000 to 5,000 tokens come free every 50 ms; one stream in five needs 6,000 tokens and never
	// fits any of them.
	routing::admission_queue line;
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
		waiting.push_back({line.enter({at_ms(now + 500), 1, at_ms(now), false, token_count(needed)}), needed});
		auto const free = 2000U + now * 7 % 3000;
		auto const first = std::ranges::find_if(waiting,
			[&](stream const& each) { return each.needed <= free && line.may_reserve(each.ticket, at_ms(now)); });
		if (first != waiting.end())
		{
			++begun;
			line.leave(first->ticket);
			waiting.erase(first);
		}
	}
	REQUIRE(begun >= 45);
}
