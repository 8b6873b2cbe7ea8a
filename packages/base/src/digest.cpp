#include <godwittrestle/base/digest.hpp>

#include <array>
#include <charconv>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace godwittrestle
{
	namespace
	{
		constexpr std::size_t sha256_size = 32;

		std::string to_hex(std::array<unsigned char, sha256_size> const& bytes)
		{
			return fmt::format("{:02x}", fmt::join(bytes, ""));
		}

		unsigned char const* as_bytes(std::string_view text) noexcept
		{
			return reinterpret_cast<unsigned char const*>(text.data());
		}
	}

	std::string sha256_hex(std::string_view bytes)
	{
		std::array<unsigned char, sha256_size> digest{};
		EVP_Digest(bytes.data(), bytes.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
		return to_hex(digest);
	}

	std::string hmac_sha256_hex(std::string_view secret, std::string_view bytes)
	{
		std::array<unsigned char, sha256_size> digest{};
		HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), as_bytes(bytes), bytes.size(), digest.data(),
			nullptr);
		return to_hex(digest);
	}

	bool equal_constant_time(std::string_view left, std::string_view right) noexcept
	{
		return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
	}

	std::string random_bytes(std::size_t size)
	{
		std::string bytes(size, '\0');
		RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(size));
		return bytes;
	}

	std::optional<std::uint64_t> parse_number(std::string_view text) noexcept
	{
		std::uint64_t value = 0;
		auto const* const end = text.data() + text.size();
		auto const [stop, error] = std::from_chars(text.begin(), end, value);
		if (text.empty() || error != std::errc{} || stop != end)
		{
			return std::nullopt;
		}
		return value;
	}
}
