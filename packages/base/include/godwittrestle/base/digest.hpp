#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwittrestle
{
	// Returns the SHA-256 digest of the bytes as 64 lower-case hexadecimal digits.
	[[nodiscard]] std::string sha256_hex(std::string_view bytes);

	// Returns the HMAC-SHA-256 of the bytes, keyed with the secret, as 64 lower-case hexadecimal digits.
	[[nodiscard]] std::string hmac_sha256_hex(std::string_view secret, std::string_view bytes);

	// Returns whether two strings are equal. For strings of equal length, the time taken does not depend on where they
	// differ.
	[[nodiscard]] bool equal_constant_time(std::string_view left, std::string_view right) noexcept;

	// Returns this many cryptographically secure random bytes.
	[[nodiscard]] std::string random_bytes(std::size_t size);

	// Parses the whole string as an unsigned decimal number. Returns nothing when the string is not such a number or
	// the number is out of range.
	[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text) noexcept;
}
