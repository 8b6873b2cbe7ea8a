#include <memory>
#include <thread>

#include <catch2/catch.hpp>

#include <godwittrestle/base/bounded_ring.hpp>

using namespace godwittrestle;

TEST_CASE("try_push fails on a full ring and leaves the item unchanged", "[bounded_ring]")
{
	bounded_ring<std::unique_ptr<int>> ring(1);
	auto first = std::make_unique<int>(1);
	auto second = std::make_unique<int>(2);
	REQUIRE(ring.try_push(first));
	REQUIRE_FALSE(ring.try_push(second));
	REQUIRE(second != nullptr);
	REQUIRE(*ring.try_pop().value() == 1);
	REQUIRE(ring.try_push(second));
}

TEST_CASE("push waits for space in a full ring, and fails on a closed ring", "[bounded_ring]")
{
	bounded_ring<int> ring(1);
	REQUIRE(ring.push(1));
	auto is_pushed = false;
	{
		std::jthread const pusher([&] { is_pushed = ring.push(2); });
		while (ring.pop_for(milliseconds(10)) != 2)
		{
		}
	}
	REQUIRE(is_pushed);
	ring.close();
	REQUIRE_FALSE(ring.push(3));
}
