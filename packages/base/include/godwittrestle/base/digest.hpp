#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwittrestle
{
	// Returns the SHA-256 of some bytes as 64 hexadecimal digits.
	[[nodiscard]] std::string sha256_hex(std::string_view bytes);

	// Returns the HMAC-SHA-256 of some bytes under a secret, as 64 hexadecimal digits.
	[[nodiscard]] std::string hmac_sha256_hex(std::string_view secret, std::string_view bytes);

	// Compares two strings in a time that does not depend on where they differ.
	[[nodiscard]] bool equal_constant_time(std::string_view left, std::string_view right) noexcept;

	// Returns cryptographically secure random bytes.
	[[nodiscard]] std::string random_bytes(std::size_t size);

	// Parses a whole string as an unsigned decimal number; nothing when it is anything else.
	[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text) noexcept;
}
