#include <exception>
#include <iostream>
#include <map>
#include <string>

#include <fmt/format.h>

#include "interpreter.hpp"

namespace
{
	using namespace godwittrestle;
	using namespace godwittrestle::testing;

	struct table_result
	{
		int rows = 0;
		int failed_rows = 0;
		std::map<std::string, int> outcomes;
		// Outcomes by value of the column FAULT.
		std::map<std::string, std::map<std::string, int>> outcomes_by_fault;
	};

	std::string describe(table_row const& row)
	{
		std::string text;
		for (auto const& [name, value] : row)
		{
			text += fmt::format(" {}=[{}]", name, value);
		}
		return text;
	}

	std::string describe(std::map<std::string, int> const& outcomes)
	{
		std::string text;
		for (auto const& [outcome, count] : outcomes)
		{
			text += fmt::format(" {}={}", outcome, count);
		}
		return text;
	}

	// Runs every row with every seed. prints_failures: whether to print each failed expectation.
	table_result run_table(scenario_file const& scenario, decide::mechanism_set mechanisms, bool prints_failures)
	{
		table_result result;
		for (auto const& row : scenario.rows())
		{
			for (auto seed = 1; seed <= scenario.seed_count; ++seed)
			{
				interpreter run(mechanisms, static_cast<std::uint64_t>(seed));
				auto const failures = run.run(scenario.commands_for(row));
				++result.rows;
				result.failed_rows += failures.empty() ? 0 : 1;
				for (auto const& [outcome, count] : run.outcomes())
				{
					result.outcomes[outcome] += count;
					if (auto const fault = row.find("FAULT"); fault != row.end())
					{
						result.outcomes_by_fault[fault->second][outcome] += count;
					}
				}
				for (auto const& failure : failures)
				{
					if (prints_failures)
					{
						std::cout << fmt::format("  FAILED seed {}{}: {}\n", seed, describe(row), failure);
					}
				}
			}
		}
		return result;
	}

	int run(std::string const& path)
	{
		auto const scenario = read_scenario_file(path);
		auto exit_code = 0;
		for (auto const& name : scenario.mechanisms)
		{
			decide::mechanism_set reduced_mechanisms;
			disable_mechanism(reduced_mechanisms, name);
			auto const result = run_table(scenario, reduced_mechanisms, false);
			auto const is_needed = result.failed_rows > 0;
			std::cout << fmt::format("{} without {}: {} of {} rows fail{}\n", scenario.name, name, result.failed_rows,
				result.rows, is_needed ? "" : "; the scenario does not show that the mechanism is needed");
			exit_code = is_needed ? exit_code : 1;
		}
		auto const result = run_table(scenario, {}, true);
		std::cout << fmt::format("{}: {} of {} rows hold; outcomes:{}\n", scenario.name,
			result.rows - result.failed_rows, result.rows, describe(result.outcomes));
		for (auto const& [fault, outcomes] : result.outcomes_by_fault)
		{
			std::cout << fmt::format("  {:<24}{}\n", fault, describe(outcomes));
		}
		return result.failed_rows > 0 ? 1 : exit_code;
	}
}

int main(int count, char const* const* arguments)
{
	if (count != 2)
	{
		std::cerr << "usage: run_scenario FILE\n";
		return 2;
	}
	try
	{
		return run(arguments[1]);
	}
	catch (std::exception const& error)
	{
		std::cerr << error.what() << '\n';
		return 2;
	}
}
