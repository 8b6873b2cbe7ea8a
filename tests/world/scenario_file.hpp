#pragma once

#include <map>
#include <string>
#include <vector>

namespace godwittrestle::testing
{
	// One command of a scenario: its words and the number of its line.
	struct command
	{
		std::vector<std::string> words;
		int line = 0;

		[[nodiscard]] std::string text() const;
	};

	// One row of a fault table: the value chosen for each variable.
	using table_row = std::map<std::string, std::string>;

	// A parsed scenario file. A # starts a comment, except in an each line.
	//
	//     mechanism NAME         a mechanism without which the scenario must fail; may occur more than once
	//     seeds N                runs each row with the seeds 1 to N
	//     each NAME = a | b      a column of the fault table; $NAME in commands is replaced by each value in turn
	//     anything else          a command (see interpreter.hpp)
	//
	// A value may contain several commands separated by semicolons, "none" for no command, and the $NAME of a column
	// that comes later in alphabetical order.
	struct scenario_file
	{
		std::string name;
		std::vector<std::string> mechanisms;
		std::vector<std::pair<std::string, std::vector<std::string>>> columns;
		std::vector<command> commands;
		int seed_count = 1;

		// Returns every combination of column values; without columns, a single empty row.
		[[nodiscard]] std::vector<table_row> rows() const;

		// Returns the commands with the values of a row substituted.
		[[nodiscard]] std::vector<command> commands_for(table_row const& row) const;
	};

	// Reads a scenario file. Throws std::runtime_error if the file can't be read, std::out_of_range if a directive
	// lacks its argument and std::invalid_argument if the number of seeds is not a number.
	[[nodiscard]] scenario_file read_scenario_file(std::string const& path);
}
