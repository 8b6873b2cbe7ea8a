#include <godwittrestle/decide/rendezvous.hpp>

#include <algorithm>

#include <xxhash.h>

namespace godwittrestle::decide
{
	std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) noexcept
	{
		return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
	}

	std::uint64_t rank(std::string_view key, std::string_view member) noexcept
	{
		return hash_bytes(member, hash_bytes(key));
	}

	std::vector<std::uint64_t> prefix_hashes(std::string_view prompt, std::uint32_t prompt_tokens)
	{
		auto const blocks = prompt_tokens / block_tokens;
		std::vector<std::uint64_t> hashes;
		if (blocks == 0)
		{
			return hashes;
		}
		hashes.reserve(blocks);
		auto const block_bytes = prompt.size() * block_tokens / prompt_tokens;
		std::uint64_t chain = 0;
		std::generate_n(std::back_inserter(hashes), blocks,
			[&]
			{
				chain = hash_bytes(prompt.substr(0, block_bytes), chain);
				prompt.remove_prefix(std::min(block_bytes, prompt.size()));
				return chain;
			});
		return hashes;
	}
}
