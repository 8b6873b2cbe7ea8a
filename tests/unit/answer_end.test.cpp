#include <catch2/catch.hpp>

#include <godwittrestle/routing/answer_end.hpp>
#include <godwittrestle/routing/retry_budget.hpp>

using namespace godwittrestle;
using namespace godwittrestle::routing;

namespace
{
	bool chance(unsigned bits, unsigned bit)
	{
		return (bits >> bit & 1U) != 0;
	}
}

TEST_CASE("an answer without length is whole only if nothing speaks against it", "[answer_end]")
{
	auto const process = GENERATE(process_state::same, process_state::ended, process_state::unknown);
	auto const bits = GENERATE(range(0U, 16U));
	answer_end const seen{process, chance(bits, 0), chance(bits, 1), chance(bits, 2), chance(bits, 3)};
	auto const has_sign = seen.is_still_run || seen.has_server_broken_off || seen.is_unusually_late;
	auto const judged = judge_end(seen);
	CAPTURE(to_string(process), bits);
	if (process != process_state::same)
	{
		REQUIRE(judged == end_judgement::broken);
	}
	else if (seen.can_go_on)
	{
		REQUIRE(judged == end_judgement::unproved);
	}
	else
	{
		REQUIRE(judged == (has_sign ? end_judgement::broken : end_judgement::whole));
	}
}

TEST_CASE("while servers break streams off, a caller that can take its stream up is asked to", "[answer_end]")
{
	auto const can_be_taken_up = GENERATE(true, false);
	auto const has_service_broken_off = GENERATE(true, false);
	answer_end seen;
	seen.process = process_state::same;
	seen.can_be_taken_up = can_be_taken_up;
	seen.has_service_broken_off = has_service_broken_off;
	auto const is_asked = can_be_taken_up && has_service_broken_off;
	CHECK(judge_end(seen) == (is_asked ? end_judgement::broken : end_judgement::whole));
	// What the caller is asked takes no retries of failed sends.
	CHECK(budget_part(seen) < 1.0);
	seen.can_go_on = true;
	CHECK(judge_end(seen) == end_judgement::unproved);
}

TEST_CASE("servers are known to break streams off for a while after a proof", "[answer_end]")
{
	constexpr auto within = seconds(10);
	time_point const proved{seconds(100)};
	end_habits habits;
	CHECK_FALSE(habits.were_broken_off(within, proved));
	habits.note_broken_off(proved);
	CHECK(habits.were_broken_off(within, proved));
	CHECK(habits.were_broken_off(within, proved + within));
	CHECK_FALSE(habits.were_broken_off(within, proved + within + milliseconds(1)));
}

TEST_CASE("an end is late when the next event was nearly due or a busy machine can't explain it", "[answer_end]")
{
	CHECK_FALSE(is_late_end(milliseconds(0), milliseconds(30)));
	CHECK_FALSE(is_late_end(milliseconds(3), milliseconds(5)));
	CHECK(is_late_end(milliseconds(15), milliseconds(30)));
	CHECK(is_late_end(milliseconds(30), milliseconds(30)));
	CHECK_FALSE(is_late_end(milliseconds(15), milliseconds(300)));
	CHECK(is_late_end(milliseconds(60), milliseconds(300)));
	CHECK_FALSE(is_late_end(seconds(1), duration{}));
}

TEST_CASE("late ends are rare only once enough ends are known and few of them were late", "[answer_end]")
{
	end_habits habits;
	for (int number = 0; number < 7; ++number)
	{
		habits.note_end(false);
		REQUIRE_FALSE(habits.are_late_ends_rare());
	}
	habits.note_end(false);
	REQUIRE(habits.are_late_ends_rare());
	// A single one, as of an answer that is broken off, changes nothing; a habit does.
	habits.note_end(true);
	REQUIRE(habits.are_late_ends_rare());
	for (int number = 0; number < 8; ++number)
	{
		habits.note_end(true);
	}
	REQUIRE_FALSE(habits.are_late_ends_rare());
}

TEST_CASE("sends that may be left out leave the rest of the retries for failures", "[answer_end]")
{
	retry_budget_settings const terms{0, seconds(10), 20};
	time_point const now{seconds(100)};
	constexpr std::uint32_t daemons = 1;
	auto const part = GENERATE(0.25, 0.75);
	retry_budget budget;
	int spared = 0;
	while (budget.try_spend_part(part, terms, daemons, now))
	{
		++spared;
	}
	int rest = 0;
	while (budget.try_spend(terms, daemons, now))
	{
		++rest;
	}
	constexpr int all = 16;
	CAPTURE(part);
	REQUIRE(spared == part * all);
	REQUIRE(rest == all - spared);
	REQUIRE_FALSE(budget.try_spend_part(part, terms, daemons, now));
}

TEST_CASE("only a sign lets a question about an end take the retries of failed sends", "[answer_end]")
{
	auto const bits = GENERATE(range(0U, 8U));
	answer_end const seen{process_state::same, true, chance(bits, 0), chance(bits, 1), chance(bits, 2)};
	REQUIRE((budget_part(seen) == 1.0) == (bits != 0));
	REQUIRE(budget_part(seen) > 0.5);
}
