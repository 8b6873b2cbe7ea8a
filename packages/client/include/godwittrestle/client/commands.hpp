#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/client/daemon_connection.hpp>

namespace godwittrestle::client
{
	// The parsed arguments of the command line.
	struct command_options
	{
		std::string command;
		// Policy files, in the order given.
		std::vector<std::string> files;
		std::vector<daemon_connection> daemons;
		// The service to explain.
		std::string service;
		// The request whose events the timeline command shows; empty for all requests.
		std::string request;
		// Whether to print JSON instead of text.
		bool is_json = false;
		// Whether the seal command creates the first document of a history. It then asks no daemon for a base.
		bool is_first = false;
	};

	inline constexpr int exit_success = 0;
	inline constexpr int exit_fault = 1;
	inline constexpr int exit_usage = 2;
	inline constexpr int exit_invalid_document = 3;

	// Runs a command, prints its output to the stream and returns the exit code. Fails with invalid_setting when the
	// command or its arguments are wrong, with invalid_document when a policy can't be parsed, with io when a file
	// can't be read and with unavailable when a call to a daemon fails. Throws a std::exception when the answer of a
	// daemon lacks an expected field, as another version of the daemon may.
	[[nodiscard]] result<int> run_command(command_options const& options, std::ostream& out);

	// Returns one line for each command with its name, arguments and purpose, for the help text.
	[[nodiscard]] std::string describe_commands();
}
