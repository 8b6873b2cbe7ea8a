#include <catch2/catch.hpp>

#include <godwittrestle/decide/engine.hpp>

using namespace godwittrestle;
using namespace godwittrestle::decide;

TEST_CASE("prefix hints evict the least recently used block", "[engine]")
{
	prefix_hints hints(2);
	hints.add(1);
	hints.add(2);
	hints.add(1);
	hints.add(3);
	REQUIRE(hints.cached_prefix_length({1, 3}) == 2);
	REQUIRE(hints.cached_prefix_length({2}) == 0);
}

TEST_CASE("a gap in the cache events clears all earlier prefix hints", "[engine]")
{
	prefill_engine engine(1000);
	engine.hints.add(1);
	load_report report;
	report.cache_gap = true;
	report.cache_added = {2};
	engine.apply_cache_events(report);
	REQUIRE(engine.hints.cached_prefix_length({1}) == 0);
	REQUIRE(engine.hints.cached_prefix_length({2}) == 1);
}

TEST_CASE("one slow prefill lowers the speed estimate by at most half", "[engine]")
{
	prefill_engine engine(1000);
	engine.start("a", engine.time_for(token_count(1000)), {});
	engine.finish("a", token_count(1000), time_point(seconds(100)));
	REQUIRE(engine.tokens_per_us < 0.001);
	REQUIRE(engine.tokens_per_us >= 0.0005);
}

TEST_CASE("the slot limit drops while the token gap exceeds its target and rises again afterwards", "[engine]")
{
	decode_engine engine;
	engine.slots = 20;
	engine.limit = 20;
	for (auto index = 0; index < 20; ++index)
	{
		engine.active.insert(std::to_string(index));
	}
	engine.record_token_gap(milliseconds(100));
	engine.adapt_limit(milliseconds(56), time_point(seconds(2)));
	REQUIRE(engine.limit == 19);
	REQUIRE(engine.free_slots() == -1);
	for (auto reading = 0; reading < 40; ++reading)
	{
		engine.record_token_gap(milliseconds(20));
	}
	engine.adapt_limit(milliseconds(56), time_point(seconds(4)));
	REQUIRE(engine.limit == 20);
}
