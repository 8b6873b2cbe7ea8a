#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <vector>

#include <godwittrestle/routing/engine_room.hpp>

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

	// One engine with more streams than it can take: each gets room as soon as the engine has its need and the margin.
	// Each turn, a stream makes 50 tokens; when the engine's memory is full, the newest is preempted and starts over.
	outcome replay(std::function<std::uint32_t(stream const&)> const& need, std::uint32_t margin)
	{
		constexpr std::uint32_t capacity = 96'000;
		constexpr std::uint32_t tokens_per_turn = 50;
		std::mt19937 random(5);
		std::lognormal_distribution<double> prompts(std::log(5000.0), 0.4);
		std::lognormal_distribution<double> outputs(std::log(3200.0), 0.5);
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
			if (memory() + next.reserved + margin <= capacity)
			{
				running.push_back(next);
			}
			std::ranges::for_each(running, [](stream& each) { each.made += tokens_per_turn; });
			seen.served +=
				static_cast<int>(std::erase_if(running, [](stream const& each) { return each.made >= each.output; }));
			if (memory() > capacity)
			{
				running.pop_back();
				++seen.preempted;
			}
		}
		return seen;
	}
}

TEST_CASE(
	"an engine under lasting load serves more with a part reserved, and preempts few thanks to the margin", "[room]")
{
	constexpr token_count capacity(96'000);
	constexpr token_count predicted(3600);
	auto const whole = [&](stream const& each)
	{
		return each.prompt + predicted.count();
	};
	auto const part = [&](stream const& each)
	{
		return routing::needed_room(token_count(each.prompt), token_count{}, predicted).count();
	};
	auto const margin = routing::room_margin(capacity, false).count();
	auto const all_reserved = replay(whole, 0);
	auto const without_margin = replay(part, 0);
	auto const with_margin = replay(part, margin);
	CAPTURE(all_reserved.served, without_margin.served, with_margin.served);
	CAPTURE(all_reserved.preempted, without_margin.preempted, with_margin.preempted);
	REQUIRE(with_margin.served > all_reserved.served);
	REQUIRE(with_margin.preempted * 4 < without_margin.preempted);
	REQUIRE(with_margin.preempted * 50 < with_margin.served);
}

TEST_CASE("late streams leave more of an engine to the others", "[room]")
{
	constexpr token_count capacity(50'000);
	REQUIRE(routing::room_margin(capacity, true) > routing::room_margin(capacity, false));
	REQUIRE(routing::room_margin(token_count{}, true) == token_count{});
}

TEST_CASE("room grows with what was made, up to the whole stream", "[room]")
{
	auto const at = [](std::uint32_t made)
	{
		return routing::needed_room(token_count(1000), token_count(made), token_count(500));
	};
	REQUIRE(at(0) < at(250));
	REQUIRE(at(500) == token_count(1500));
}
