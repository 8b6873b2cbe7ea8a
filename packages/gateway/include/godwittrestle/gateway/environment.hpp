#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/routing/crash_evidence.hpp>

namespace godwittrestle::gateway
{
	// Names of environment variables that hold settings.
	inline constexpr char const* crash_blocking_variable = "GODWITTRESTLE_CRASH_BLOCKING";
	inline constexpr char const* allowed_fingerprints_variable = "GODWITTRESTLE_ALLOWED_FINGERPRINTS";
	inline constexpr char const* caller_memory_variable = "GODWITTRESTLE_CALLER_MEMORY_MB";

	// Returns the value of an environment variable; nothing when it is not set.
	using environment = std::function<std::optional<std::string>(char const* name)>;

	// Reads the settings of blocking from the environment: "on" or "off", and hexadecimal fingerprints separated by
	// commas. Fails with invalid_setting for other values.
	[[nodiscard]] result<routing::crash_settings> read_crash_settings(environment const& variables);

	// Reads what the bodies of all callers' requests may hold together, stated as whole megabytes from 1 to 1,000,000.
	// Returns bytes, or the fallback when the variable is not set. Fails with invalid_setting for other values.
	[[nodiscard]] result<std::size_t> read_caller_memory(environment const& variables, std::size_t fallback);

	// The environment of this process.
	[[nodiscard]] std::optional<std::string> process_environment(char const* name);
}
