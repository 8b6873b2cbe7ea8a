#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace godwittrestle::decide
{
	// Number of tokens in one block of a prompt; engines cache prefixes in blocks of this size.
	inline constexpr std::uint32_t block_tokens = 2048;

	// Returns a 64-bit hash of two strings, by which each key ranks all members independently (rendezvous hashing). The
	// member with the highest rank is chosen.
	[[nodiscard]] std::uint64_t rank(std::string_view key, std::string_view member) noexcept;

	// Returns the 64-bit XXH3 hash of some bytes.
	[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

	// Returns the chained hashes of the whole blocks of a prompt, first block first. A block has prompt.size() *
	// block_tokens / prompt_tokens bytes. Prompts with the same block size and the same first n blocks have the same
	// first n hashes.
	[[nodiscard]] std::vector<std::uint64_t> prefix_hashes(std::string_view prompt, std::uint32_t prompt_tokens);
}
