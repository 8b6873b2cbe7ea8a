#include <catch2/catch.hpp>

#include <godwittrestle/decide/rendezvous.hpp>

using namespace godwittrestle::decide;

namespace
{
	constexpr std::size_t block_bytes = std::size_t{4} * block_tokens;
}

TEST_CASE("equal prefixes have equal leading hashes", "[rendezvous]")
{
	std::string const common(2 * block_bytes, 'a');
	auto const left = prefix_hashes(common + std::string(block_bytes, 'b'), 3 * block_tokens);
	auto const right = prefix_hashes(common + std::string(block_bytes, 'c'), 3 * block_tokens);
	REQUIRE(left.size() == 3);
	REQUIRE(left[0] == right[0]);
	REQUIRE(left[1] == right[1]);
	REQUIRE(left[2] != right[2]);
}

TEST_CASE("a prompt shorter than a block has no hashes", "[rendezvous]")
{
	REQUIRE(prefix_hashes("short", 2).empty());
	REQUIRE(prefix_hashes("", 0).empty());
}
