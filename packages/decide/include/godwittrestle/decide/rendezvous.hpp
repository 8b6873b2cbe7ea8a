#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace godwittrestle::decide
{
	// Tokens of one block of a prompt; engines cache prefixes in blocks of this size.
	inline constexpr std::uint32_t block_tokens = 2048;

	// Returns a 64-bit hash of two strings, by which each key ranks all members independently (rendezvous hashing).
	[[nodiscard]] std::uint64_t rank(std::string_view key, std::string_view member) noexcept;

	// Returns a 64-bit hash of some bytes.
	[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

	// Returns the chained hashes of a prompt's whole blocks, first block first. Equal prefixes of n blocks have equal
	// first n hashes.
	[[nodiscard]] std::vector<std::uint64_t> prefix_hashes(std::string_view prompt, std::uint32_t prompt_tokens);
}
