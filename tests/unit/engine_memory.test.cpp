#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <vector>

#include <godwittrestle/routing/engine_memory.hpp>

using namespace godwittrestle;

namespace
{
	struct stream
	{
		std::uint32_t prompt = 0;
		std::uint32_t output = 0;
		std::uint32_t made = 0;
		std::uint32_t reserved = 0;
	};

	struct outcome
	{
		int served = 0;
		int preempted = 0;
	};

	// An engine and the streams that come to it, each of them lognormal.
	struct scene
	{
		std::uint32_t capacity = 0;
		double usual_prompt = 0;
		double usual_output = 0;
		double output_spread = 0;
		std::uint32_t tokens_per_turn = 0;

		[[nodiscard]] token_count average_output() const
		{
			return token_count(static_cast<std::uint32_t>(
				this->usual_output * std::exp(this->output_spread * this->output_spread / 2)));
		}
	};

	// The engine has more streams than it can take: each gets room as soon as the engine has its need and the margin.
	// Each turn, a stream makes some tokens; when the engine's memory is full, the newest is preempted and starts over.
	outcome replay(scene const& given, std::function<std::uint32_t(stream const&)> const& need, std::uint32_t margin)
	{
		std::mt19937 random(5);
		std::lognormal_distribution<double> prompts(std::log(given.usual_prompt), 0.4);
		std::lognormal_distribution<double> outputs(std::log(given.usual_output), given.output_spread);
		std::vector<stream> running;
		outcome seen;
		auto const memory = [&]
		{
			std::uint32_t used = 0;
			std::ranges::for_each(
				running, [&](stream const& each) { used += std::max(each.prompt + each.made, each.reserved); });
			return used;
		};
		for (int turn = 0; turn < 4000; ++turn)
		{
			stream next{static_cast<std::uint32_t>(prompts(random)), static_cast<std::uint32_t>(outputs(random)), 0, 0};
			next.reserved = need(next);
			if (memory() + next.reserved + margin <= given.capacity)
			{
				running.push_back(next);
			}
			std::ranges::for_each(running, [&](stream& each) { each.made += given.tokens_per_turn; });
			seen.served +=
				static_cast<int>(std::erase_if(running, [](stream const& each) { return each.made >= each.output; }));
			if (memory() > given.capacity)
			{
				running.pop_back();
				++seen.preempted;
			}
		}
		return seen;
	}
}

TEST_CASE(
	"engines of any size under lasting load serve more with a part reserved, and preempt few thanks to the margin",
	"[room]")
{
	// Engines with room for 15, 9, 6 and 9 streams.
	auto const given = GENERATE(scene{96'000, 5000, 3200, 0.5, 50}, scene{38'000, 3000, 680, 0.6, 12},
		scene{24'300, 3000, 680, 0.6, 12}, scene{55'200, 5000, 750, 0.6, 12});
	auto const predicted = given.average_output();
	auto const whole = [&](stream const& each)
	{
		return each.prompt + predicted.count();
	};
	auto const part = [&](stream const& each)
	{
		return routing::memory_to_reserve(token_count(each.prompt), token_count{}, predicted).count();
	};
	auto const margin = routing::memory_margin(predicted, false).count();
	auto const all_reserved = replay(given, whole, 0);
	auto const without_margin = replay(given, part, 0);
	auto const with_margin = replay(given, part, margin);
	CAPTURE(given.capacity, all_reserved.served, without_margin.served, with_margin.served);
	CAPTURE(all_reserved.preempted, without_margin.preempted, with_margin.preempted);
	REQUIRE(with_margin.served > all_reserved.served);
	REQUIRE(with_margin.preempted * 4 < without_margin.preempted);
	REQUIRE(with_margin.preempted * 50 < with_margin.served);
}

TEST_CASE("late streams leave more of an engine to the others", "[room]")
{
	constexpr token_count output(800);
	REQUIRE(routing::memory_margin(output, true) > routing::memory_margin(output, false));
	REQUIRE(routing::memory_margin(token_count{}, true) == token_count{});
}

TEST_CASE("room grows with what was made, up to the whole stream", "[room]")
{
	auto const at = [](std::uint32_t made)
	{
		return routing::memory_to_reserve(token_count(1000), token_count(made), token_count(500));
	};
	REQUIRE(at(0) < at(250));
	REQUIRE(at(500) == token_count(1500));
}

TEST_CASE("answers of reservations that are lost leave most of an engine's memory in use", "[room]")
{
	// An engine of 38,000 tokens is asked for 3,600 twenty times a second; three answers in ten are lost.
	auto const way = GENERATE(milliseconds(60), milliseconds(200));
	auto const kept_ms = to_milliseconds(routing::reservation_lifetime(way, seconds(2)));
	auto const lost_a_second = 20 * 0.3;
	REQUIRE(lost_a_second * kept_ms / 1000 * 3600 < 38'000 * 0.6);
	REQUIRE(lost_a_second * 2 * 3600 > 38'000);
	// Long prompts are not cut short, but for what the engine allows.
	REQUIRE(routing::reservation_lifetime(milliseconds(600), seconds(2)) == milliseconds(1700));
	REQUIRE(routing::reservation_lifetime(seconds(3), seconds(2)) == seconds(2));
}
