#include <godwittrestle/gateway/environment.hpp>

#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <vector>

#include <boost/algorithm/string/split.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr int hexadecimal = 16;

		std::optional<fingerprint> parse_fingerprint(std::string const& text)
		{
			std::uint64_t value = 0;
			auto const* const end = text.data() + text.size();
			auto const [stop, error] = std::from_chars(text.data(), end, value, hexadecimal);
			auto const is_number = error == std::errc{} && stop == end;
			return is_number ? std::optional(fingerprint(value)) : std::nullopt;
		}
	}

	result<routing::crash_settings> read_crash_settings(environment const& variables)
	{
		routing::crash_settings settings;
		auto const blocking = variables(crash_blocking_variable).value_or("on");
		if (blocking != "on" && blocking != "off")
		{
			return fail(
				error_kind::invalid_setting, crash_blocking_variable, "is neither on nor off", "set it to on or off");
		}
		settings.is_blocking_enabled = blocking == "on";
		auto const allowed = variables(allowed_fingerprints_variable).value_or("");
		std::vector<std::string> texts;
		boost::algorithm::split(texts, allowed, [](char each) { return each == ','; });
		for (auto const& text : texts)
		{
			if (text.empty())
			{
				continue;
			}
			auto const value = parse_fingerprint(text);
			if (!value)
			{
				return fail(error_kind::invalid_setting, allowed_fingerprints_variable,
					"contains a value that is no fingerprint", "list hexadecimal fingerprints, separated by commas");
			}
			settings.allowed.insert(*value);
		}
		return settings;
	}

	result<std::size_t> read_caller_memory(environment const& variables, std::size_t fallback)
	{
		constexpr std::size_t bytes_per_megabyte = 1'000'000;
		constexpr std::size_t max_megabytes = 1'000'000;
		auto const text = variables(caller_memory_variable);
		if (!text)
		{
			return fallback;
		}
		std::size_t megabytes = 0;
		auto const* const end = text->data() + text->size();
		auto const [stop, error] = std::from_chars(text->data(), end, megabytes);
		if (error != std::errc{} || stop != end || megabytes == 0 || megabytes > max_megabytes)
		{
			return fail(error_kind::invalid_setting, caller_memory_variable,
				"is not a whole number of megabytes from 1 to 1000000", "set it to such a number, or remove it");
		}
		return megabytes * bytes_per_megabyte;
	}

	std::optional<std::string> process_environment(char const* name)
	{
		auto const* const value = std::getenv(name);
		return value == nullptr ? std::nullopt : std::optional<std::string>(value);
	}
}
