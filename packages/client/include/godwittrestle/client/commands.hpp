#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/client/daemon_connection.hpp>

namespace godwittrestle::client
{
	// What the command line gave, checked.
	struct command_options
	{
		std::string command;
		std::vector<std::string> files;
		std::vector<daemon_connection> daemons;
		std::string service;
		std::string request;
		bool is_json = false;
		bool is_first = false;
	};

	inline constexpr int exit_success = 0;
	inline constexpr int exit_fault = 1;
	inline constexpr int exit_usage = 2;
	inline constexpr int exit_invalid_document = 3;

	// Runs a command, prints its outcome and returns the exit code. Fails with what went wrong and the remedy.
	[[nodiscard]] result<int> run_command(command_options const& options, std::ostream& out);

	// Returns the names of all commands with what they do, for the help.
	[[nodiscard]] std::string describe_commands();
}
