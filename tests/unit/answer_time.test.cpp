#include <catch2/catch.hpp>

#include <cstdint>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	constexpr duration longest = milliseconds(1200);
	constexpr duration shortest = routing::answer_time::shortest_timeout;

	void note_answers(routing::answer_time& answers, duration taken, int count)
	{
		for (int number = 0; number < count; ++number)
		{
			answers.note_answer(taken);
		}
	}
}

TEST_CASE("a server that has shown nothing gets the shortest time-out", "[answer_time]")
{
	routing::answer_time const answers;
	REQUIRE(answers.timeout(longest) == shortest);
	REQUIRE(answers.expected() == duration{});
}

TEST_CASE("a time-out follows from the answers and is bounded", "[answer_time]")
{
	routing::answer_time answers;
	answers.note_answer(milliseconds(1));
	REQUIRE(answers.timeout(longest) == shortest);
	// A late answer.
	answers.note_answer(milliseconds(400));
	REQUIRE(answers.timeout(longest) > milliseconds(400));
	note_answers(answers, milliseconds(400), 40);
	REQUIRE(answers.expected() > milliseconds(390));
	REQUIRE(answers.timeout(longest) > milliseconds(390));
	REQUIRE(answers.timeout(longest) < milliseconds(450));
	REQUIRE(answers.timeout(milliseconds(300)) == milliseconds(300));
	REQUIRE(answers.timeout(duration{}) == shortest);
	note_answers(answers, milliseconds(2), 80);
	REQUIRE(answers.timeout(longest) == shortest);
}

TEST_CASE("a time-out covers answers that vary", "[answer_time]")
{
	routing::answer_time answers;
	for (int number = 0; number < 40; ++number)
	{
		answers.note_answer(milliseconds(number % 2 == 0 ? 100 : 600));
	}
	REQUIRE(answers.timeout(longest) > milliseconds(600));
}

// Guards against a server that stands still and holds streams up for longer and longer (RECOVER).
TEST_CASE("a time-out does not grow without bound while a server is silent", "[answer_time]")
{
	routing::answer_time answers;
	answers.note_silence(at_ms(0), at_ms(200));
	REQUIRE(answers.timeout(longest) == 2 * shortest);
	for (std::int64_t number = 1; number < 100; ++number)
	{
		answers.note_silence(at_ms(number * 1000), at_ms(number * 1000 + 400));
	}
	REQUIRE(answers.timeout(longest) == 2 * shortest);
	REQUIRE(answers.timeout(milliseconds(250)) == milliseconds(250));
	answers.note_answer(milliseconds(1));
	REQUIRE(answers.timeout(longest) == shortest);
}
