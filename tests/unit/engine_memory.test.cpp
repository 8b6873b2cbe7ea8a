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

	// An engine and the streams that are sent to it; prompt and output lengths are lognormal.
	struct workload
	{
		std::uint32_t capacity = 0;
		double median_prompt = 0;
		double median_output = 0;
		double output_spread = 0;
		std::uint32_t tokens_per_step = 0;

		[[nodiscard]] token_count average_output() const
		{
			return token_count(static_cast<std::uint32_t>(
				this->median_output * std::exp(this->output_spread * this->output_spread / 2)));
		}
	};

	// Simulates an engine that is offered more streams than fit. In each step one new stream is admitted if its
	// reservation and the margin fit into the free memory, and each running stream makes some tokens. When the memory
	// is exceeded, the newest stream is preempted and its progress is lost.
	outcome replay(workload const& given, std::function<std::uint32_t(stream const&)> const& need, std::uint32_t margin)
	{
		std::mt19937 random(5);
		std::lognormal_distribution<double> prompts(std::log(given.median_prompt), 0.4);
		std::lognormal_distribution<double> outputs(std::log(given.median_output), given.output_spread);
		std::vector<stream> running;
		outcome seen;
		auto const memory = [&]
		{
			std::uint32_t used = 0;
			std::ranges::for_each(
				running, [&](stream const& each) { used += std::max(each.prompt + each.made, each.reserved); });
			return used;
		};
		for (int step = 0; step < 4000; ++step)
		{
			stream next{static_cast<std::uint32_t>(prompts(random)), static_cast<std::uint32_t>(outputs(random)), 0, 0};
			next.reserved = need(next);
			if (memory() + next.reserved + margin <= given.capacity)
			{
				running.push_back(next);
			}
			std::ranges::for_each(running, [&](stream& each) { each.made += given.tokens_per_step; });
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
	"partial reservations serve more streams under lasting load, and the margin keeps preemptions few", "[memory]")
{
	// Engines with memory for 15, 9, 6 and 9 streams.
	auto const given = GENERATE(workload{96'000, 5000, 3200, 0.5, 50}, workload{38'000, 3000, 680, 0.6, 12},
		workload{24'300, 3000, 680, 0.6, 12}, workload{55'200, 5000, 750, 0.6, 12});
	auto const predicted = given.average_output();
	auto const whole_output = [&](stream const& each)
	{
		return each.prompt + predicted.count();
	};
	auto const partial_output = [&](stream const& each)
	{
		return routing::memory_to_reserve(token_count(each.prompt), token_count{}, predicted).count();
	};
	auto const margin = routing::memory_margin(predicted, false).count();
	auto const fully_reserved = replay(given, whole_output, 0);
	auto const without_margin = replay(given, partial_output, 0);
	auto const with_margin = replay(given, partial_output, margin);
	CAPTURE(given.capacity, fully_reserved.served, without_margin.served, with_margin.served);
	CAPTURE(fully_reserved.preempted, without_margin.preempted, with_margin.preempted);
	REQUIRE(with_margin.served > fully_reserved.served);
	REQUIRE(with_margin.preempted * 4 < without_margin.preempted);
	REQUIRE(with_margin.preempted * 50 < with_margin.served);
}

TEST_CASE("late streams leave a larger margin free", "[memory]")
{
	constexpr token_count output(800);
	REQUIRE(routing::memory_margin(output, true) > routing::memory_margin(output, false));
	REQUIRE(routing::memory_margin(token_count{}, true) == token_count{});
}

TEST_CASE("the reservation grows with the output, up to the whole stream", "[memory]")
{
	auto const at = [](std::uint32_t made)
	{
		return routing::memory_to_reserve(token_count(1000), token_count(made), token_count(500));
	};
	REQUIRE(at(0) < at(250));
	REQUIRE(at(500) == token_count(1500));
}

TEST_CASE("lost reservation answers leave most of an engine's memory usable", "[memory]")
{
	// An engine of 38,000 tokens gets 20 reservations a second, each of 3,600 tokens; 30 % of the answers are lost.
	auto const time_to_first_event = GENERATE(milliseconds(60), milliseconds(200));
	auto const lifetime_ms = to_milliseconds(routing::reservation_lifetime(time_to_first_event, seconds(2)));
	auto const lost_per_second = 20 * 0.3;
	REQUIRE(lost_per_second * lifetime_ms / 1000 * 3600 < 38'000 * 0.6);
	REQUIRE(lost_per_second * 2 * 3600 > 38'000);
	// A later first event, as with a long prompt, extends the lifetime up to the longest that the engine allows.
	REQUIRE(routing::reservation_lifetime(milliseconds(600), seconds(2)) == milliseconds(1700));
	REQUIRE(routing::reservation_lifetime(seconds(3), seconds(2)) == seconds(2));
}
