#pragma once

#include <map>
#include <string>
#include <vector>

namespace godwittrestle::testing
{
	// One line of a scenario: its words, and where it stands.
	struct command
	{
		std::vector<std::string> words;
		int line = 0;

		[[nodiscard]] std::string text() const;
	};

	// One row of a fault table: the value chosen for each variable.
	using table_row = std::map<std::string, std::string>;

	// A scenario file.
	//
	//     mechanism NAME         a mechanism without which the scenario must fail; may stand more than once
	//     seeds N                run each row with the seeds 1 to N
	//     each NAME = a | b      a column of the fault table; $NAME in later lines is replaced by each value in turn
	//     anything else          a command (see interpreter.hpp)
	struct script
	{
		std::string name;
		std::vector<std::string> mechanisms;
		std::vector<std::pair<std::string, std::vector<std::string>>> columns;
		std::vector<command> commands;
		int seeds = 1;

		// Returns every row of the fault table; a single empty one without columns.
		[[nodiscard]] std::vector<table_row> rows() const;

		// Returns the commands with a row's values put in.
		[[nodiscard]] std::vector<command> commands_for(table_row const& row) const;
	};

	// Reads a scenario file; throws std::runtime_error when it can't be read.
	[[nodiscard]] script read_script(std::string const& path);
}
