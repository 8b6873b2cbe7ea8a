#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/http/message.hpp>
#include <godwittrestle/http/server.hpp>

namespace godwittrestle::daemon
{
	// The validated settings from flags and environment variables.
	struct daemon_settings
	{
		instance_id instance;
		data_centre_id data_centre;
		http::endpoint caller_address;
		http::endpoint operator_address;
		http::endpoint peer_address;
		http::endpoint platform_address;
		std::string operator_token;
		// CURVE keys in Z85; both are empty when messages between daemons are not encrypted.
		std::string peer_public_key;
		std::string peer_secret_key;
		duration heartbeat_interval{};
		duration peer_timeout{};
		duration load_poll_interval{};
		duration key_lifetime{};
		duration config_poll_interval{};
		http::server_limits caller_limits;
		std::size_t ring_capacity = 0;
		std::size_t timeline_events = 0;
		std::string log_level;
	};

	// The parsed command line.
	struct command_line
	{
		daemon_settings settings;
		// The help or the version, to be printed before the process exits; the settings are then not read.
		std::optional<std::string> print;
		// Whether the process exits after the settings have been checked.
		bool check_only = false;
	};

	// Reads flags and the environment variables GODWITTRESTLE_*. A flag takes precedence over its variable. Fails with
	// invalid_setting, which names the setting, the fault and a valid value.
	[[nodiscard]] result<command_line> parse_command_line(int count, char const* const* arguments);
}
