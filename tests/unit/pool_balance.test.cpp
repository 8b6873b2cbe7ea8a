#include <catch2/catch.hpp>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::role_change;

namespace
{
	constexpr token_count capacity{96'426};

	// Streams with a prompt of 5,200 and an output of 3,550 tokens, at 1.05 ms per output token.
	routing::stream_demand make_demand(std::uint32_t streams = 40)
	{
		routing::stream_demand demand;
		for (std::uint32_t stream = 0; stream < streams; ++stream)
		{
			demand.note_stream(token_count(5200), token_count(3550));
			demand.note_duration(token_count(3550), milliseconds(3728));
		}
		return demand;
	}

	routing::role_plan choose(std::uint32_t prefill, std::uint32_t decode, routing::stream_demand const& demand)
	{
		return routing::choose_role_change({prefill, decode}, demand, make_speed(), capacity);
	}
}

TEST_CASE("an engine moves to the side that limits the throughput", "[balance]")
{
	REQUIRE(choose(4, 5, make_demand()) == routing::role_plan{role_change::prefill_to_decode, 1});
	REQUIRE(choose(1, 8, make_demand()) == routing::role_plan{role_change::decode_to_prefill, 1});
}

TEST_CASE("a good split stays, and a lost decode engine is replaced by a prefill engine", "[balance]")
{
	REQUIRE(choose(3, 6, make_demand()) == routing::role_plan{});
	REQUIRE(choose(3, 5, make_demand()) == routing::role_plan{role_change::prefill_to_decode, 1});
	REQUIRE(choose(2, 6, make_demand()).change != role_change::prefill_to_decode);
}

TEST_CASE("the last engine of a side stays, and no engine moves before the demand is known", "[balance]")
{
	REQUIRE(choose(1, 1, make_demand()) == routing::role_plan{});
	REQUIRE(choose(4, 5, make_demand(3)) == routing::role_plan{});
}

TEST_CASE("role changes follow the measured speed and memory of slow, small engines", "[balance]")
{
	// Prompts of 3,200 tokens, decode engines with memory for 37,952 tokens, and 4 ms per output token. The plan is
	// checked from the first stream on.
	routing::stream_demand demand;
	routing::engine_speed const speed{33, milliseconds(36), milliseconds(20)};
	auto const plan = [&]
	{
		return routing::choose_role_change({4, 8}, demand, speed, token_count(37'952));
	};
	for (int stream = 0; stream < 8; ++stream)
	{
		demand.note_stream(token_count(3200), token_count(852));
		REQUIRE(plan() == routing::role_plan{});
	}
	for (int stream = 0; stream < 8; ++stream)
	{
		demand.note_duration(token_count(852), milliseconds(3408));
		REQUIRE(plan().change != role_change::decode_to_prefill);
	}
	REQUIRE(plan() == routing::role_plan{role_change::prefill_to_decode, 1});
}

TEST_CASE("a large pool moves several engines at once, although one alone would gain little", "[balance]")
{
	auto const plan = choose(30, 30, make_demand());
	REQUIRE(plan.change == role_change::prefill_to_decode);
	REQUIRE(plan.engines == 10);
	// The split of 16 and 44 is near the best one, so moving the last few engines gains too little.
	REQUIRE(choose(16, 44, make_demand()) == routing::role_plan{});
}

TEST_CASE("a role change needs a stable pool, so engines that return soon cause none", "[balance]")
{
	routing::pool_sizes const whole{4, 8};
	routing::pool_sizes const without_one{3, 8};
	routing::role_change_debouncer debouncer;
	REQUIRE_FALSE(debouncer.should_order(role_change::none, whole, at_ms(0)));
	REQUIRE_FALSE(debouncer.should_order(role_change::decode_to_prefill, without_one, at_ms(8000)));
	REQUIRE_FALSE(debouncer.should_order(role_change::decode_to_prefill, without_one, at_ms(10'500)));
	REQUIRE_FALSE(debouncer.should_order(role_change::none, whole, at_ms(10'600)));
	REQUIRE_FALSE(debouncer.should_order(role_change::decode_to_prefill, without_one, at_ms(11'000)));
	REQUIRE_FALSE(debouncer.should_order(role_change::decode_to_prefill, without_one, at_ms(13'900)));
	REQUIRE(debouncer.should_order(role_change::decode_to_prefill, without_one, at_ms(14'000)));
	REQUIRE_FALSE(debouncer.should_order(role_change::prefill_to_decode, without_one, at_ms(14'500)));
}

TEST_CASE("a pool that was stable from the start changes one second after a change is wanted", "[balance]")
{
	routing::pool_sizes const pools{4, 8};
	routing::role_change_debouncer debouncer;
	REQUIRE_FALSE(debouncer.should_order(role_change::none, pools, at_ms(0)));
	REQUIRE_FALSE(debouncer.should_order(role_change::prefill_to_decode, pools, at_ms(5000)));
	REQUIRE_FALSE(debouncer.should_order(role_change::prefill_to_decode, pools, at_ms(5900)));
	REQUIRE(debouncer.should_order(role_change::prefill_to_decode, pools, at_ms(6000)));
}

TEST_CASE("decode engines keep their role when they can prefill the surplus prompts themselves", "[balance]")
{
	// Prefill engines were lost in a burst. The two that remain for eight decode engines limit the throughput as
	// well.
	routing::stream_demand demand;
	for (int stream = 0; stream < 8; ++stream)
	{
		demand.note_stream(token_count(3200), token_count(852));
		demand.note_duration(token_count(852), milliseconds(3408));
	}
	routing::engine_speed const speed{25, milliseconds(36), milliseconds(20)};
	token_count const memory(37'952);
	REQUIRE(routing::choose_role_change({2, 8}, demand, speed, memory) == routing::role_plan{});
	REQUIRE(routing::choose_role_change({1, 11}, demand, speed, memory).change == role_change::decode_to_prefill);
}

TEST_CASE("single engines that come and go do not delay a role change in a large pool", "[balance]")
{
	routing::role_change_debouncer debouncer;
	for (std::uint32_t at = 0; at < 4000; at += 1000)
	{
		REQUIRE_FALSE(debouncer.should_order(role_change::none, {49, 90 + at % 2000 / 1000}, at_ms(at)));
	}
	REQUIRE_FALSE(debouncer.should_order(role_change::prefill_to_decode, {49, 90}, at_ms(4000)));
	REQUIRE(debouncer.should_order(role_change::prefill_to_decode, {49, 91}, at_ms(5000)));
	// About a quarter of the engines is lost, so the pool is no longer stable.
	REQUIRE_FALSE(debouncer.should_order(role_change::prefill_to_decode, {37, 68}, at_ms(6000)));
}
