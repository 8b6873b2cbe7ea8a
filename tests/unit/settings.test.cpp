#include <cstdlib>

#include <catch2/catch.hpp>

#include <godwittrestle/daemon/settings.hpp>

#include "support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	std::vector<char const*> const required{
		"godwittrestled", "--instance", "d1", "--data-centre", "a", "--platform-address", "127.0.0.1:1"};

	auto parse(std::vector<char const*> const& extra_arguments)
	{
		auto arguments = required;
		arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
		return daemon::parse_command_line(static_cast<int>(arguments.size()), arguments.data());
	}
}

TEST_CASE("an invalid setting is reported with its name and a remedy", "[settings]")
{
	std::vector<std::pair<std::vector<char const*>, std::string>> const cases{
		{{"--caller-address", "here"}, "--caller-address"},
		{{"--peer-address", "1.2.3.4:0x1"}, "--peer-address"},
		{{"--heartbeat-interval-ms", "0"}, "--heartbeat-interval-ms"},
		{{"--heartbeat-interval-ms", "many"}, "--heartbeat-interval-ms"},
		{{"--heartbeat-interval-ms", "2000"}, "--peer-timeout-ms"},
		{{"--ring-capacity", "-1"}, "--ring-capacity"},
		{{"--log-level", "LOUD"}, "--log-level"},
		{{"--operator-address", "10.0.0.1:1"}, "--operator-token"},
		{{"--peer-public-key", "short"}, "--peer-public-key and --peer-secret-key"},
		{{"--nonsense", "1"}, ""},
	};
	for (auto const& [arguments, path] : cases)
	{
		CAPTURE(arguments.front(), arguments.back());
		auto const error = failure_of([&] { return parse(arguments); });
		REQUIRE(error.kind == error_kind::invalid_setting);
		REQUIRE(error.path == path);
		REQUIRE_FALSE(error.remedy.empty());
	}
}

TEST_CASE("an environment variable applies where no flag is given", "[settings]")
{
	setenv("GODWITTRESTLE_RING_CAPACITY", "100", 1);
	setenv("GODWITTRESTLE_LOG_LEVEL", "WARN", 1);
	auto const line = parse({"--log-level", "DEBUG"}).value();
	unsetenv("GODWITTRESTLE_RING_CAPACITY");
	unsetenv("GODWITTRESTLE_LOG_LEVEL");
	REQUIRE(line.settings.ring_capacity == 100);
	REQUIRE(line.settings.log_level == "DEBUG");
	REQUIRE(line.settings.heartbeat_interval == milliseconds(500));
}
