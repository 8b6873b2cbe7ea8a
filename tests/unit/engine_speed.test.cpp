#include <catch2/catch.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

TEST_CASE("an average follows its samples and limits the effect of an outlier", "[speed]")
{
	routing::shared_average average;
	REQUIRE(average.all().samples == 0);
	for (int sample = 0; sample < 30; ++sample)
	{
		average.note(4);
	}
	REQUIRE(average.all().value == Approx(4));
	average.note(4000);
	REQUIRE(average.all().value < 5);
	for (int sample = 0; sample < 200; ++sample)
	{
		average.note(8);
	}
	REQUIRE(average.all().value == Approx(8).epsilon(0.02));
}

TEST_CASE("reported averages count at first and own samples prevail later", "[speed]")
{
	routing::shared_average average;
	average.merge_report({4, 20});
	REQUIRE(average.all().value == Approx(4));
	REQUIRE(average.own().samples == 0);
	for (int sample = 0; sample < 20; ++sample)
	{
		average.note(10);
	}
	REQUIRE(average.all().value > 7);
	REQUIRE(average.own().value == Approx(10));
	average.merge_report({0, 0});
	REQUIRE(average.all().value > 7);
}

TEST_CASE("the estimate learns the speed of slow and fast engines", "[speed]")
{
	auto const tokens_per_ms = GENERATE(2.0, 33.0, 55.0, 400.0);
	routing::engine_speed_estimate estimate;
	token_count const prompt(3200);
	REQUIRE_FALSE(estimate.is_known());
	// Before any measurement, the estimate assumes that a prefill takes a fixed part of the objective.
	REQUIRE(estimate.speed(prompt, milliseconds(900)).prefill_time(3200) < milliseconds(300));
	estimate.note_prefill(prompt, microseconds(static_cast<std::int64_t>(3200 / tokens_per_ms * 1000)));
	estimate.note_decode_start(milliseconds(60));
	auto const speed = estimate.speed(prompt, milliseconds(900));
	REQUIRE(estimate.is_known());
	REQUIRE(speed.prefill_tokens_per_ms == Approx(tokens_per_ms).epsilon(0.01));
	REQUIRE(speed.decode_engine_prefill_time(3200).count() == Approx(6400 / tokens_per_ms * 1000).epsilon(0.01));
	REQUIRE(speed.decode_start == milliseconds(60));
}

TEST_CASE("the estimate separates the fixed prefill overhead from the time per token", "[speed]")
{
	auto const tokens_per_ms = GENERATE(2.0, 33.0, 400.0);
	// Every n-th prefill waits for prompts of other daemons, which this daemon does not know of; 0: none waits.
	auto const unknown_queue_every = GENERATE(0U, 5U, 3U);
	routing::engine_speed_estimate estimate;
	for (std::uint32_t stream = 0; stream < 60; ++stream)
	{
		auto const prompt = 800 + stream * 1237 % 4800;
		auto const queued_tokens = unknown_queue_every > 0 && stream % unknown_queue_every == 0 ? 3200 : 0;
		auto const taken_ms = 40 + (prompt + queued_tokens) / tokens_per_ms;
		estimate.note_prefill(token_count(prompt), microseconds(static_cast<std::int64_t>(taken_ms * 1000)));
	}
	auto const speed = estimate.speed(token_count(3200), milliseconds(900));
	REQUIRE(speed.prefill_tokens_per_ms == Approx(tokens_per_ms).epsilon(0.15));
	auto const expected_ms = 40 + 3200 / tokens_per_ms;
	REQUIRE(to_milliseconds(speed.prefill_time(3200)) == Approx(expected_ms).epsilon(0.1));
}
