#include "scenario_file.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include <boost/algorithm/string.hpp>

namespace godwittrestle::testing
{
	namespace
	{
		std::vector<std::string> split_words(std::string const& text)
		{
			std::istringstream stream(text);
			return {std::istream_iterator<std::string>(stream), {}};
		}

		std::vector<std::string> split_values(std::string const& text)
		{
			std::vector<std::string> values;
			boost::algorithm::split(values, text, [](char letter) { return letter == '|'; });
			std::ranges::for_each(values, [](std::string& value) { boost::algorithm::trim(value); });
			return values;
		}

		void parse_line(std::string const& text, int number, scenario_file& target)
		{
			auto words = split_words(text.substr(0, text.find('#')));
			if (words.empty())
			{
				return;
			}
			if (words[0] == "mechanism")
			{
				target.mechanisms.push_back(words.at(1));
			}
			else if (words[0] == "seeds")
			{
				target.seed_count = std::stoi(words.at(1));
			}
			else if (words[0] == "each")
			{
				target.columns.emplace_back(words.at(1), split_values(text.substr(text.find('=') + 1)));
			}
			else
			{
				target.commands.push_back({std::move(words), number});
			}
		}
	}

	std::string command::text() const
	{
		return boost::algorithm::join(this->words, " ");
	}

	std::vector<table_row> scenario_file::rows() const
	{
		std::vector<table_row> rows{{}};
		for (auto const& [column, values] : this->columns)
		{
			std::vector<table_row> next;
			for (auto const& row : rows)
			{
				for (auto const& value : values)
				{
					next.push_back(row);
					next.back()[column] = value;
				}
			}
			rows = std::move(next);
		}
		return rows;
	}

	std::vector<command> scenario_file::commands_for(table_row const& row) const
	{
		std::vector<command> expanded;
		for (auto const& each : this->commands)
		{
			auto text = each.text();
			for (auto const& [column, value] : row)
			{
				boost::algorithm::replace_all(text, "$" + column, value);
			}
			// A substituted value may contain several commands, or "none" for no command.
			std::vector<std::string> parts;
			boost::algorithm::split(parts, text, [](char letter) { return letter == ';'; });
			for (auto const& part : parts)
			{
				if (auto words = split_words(part); !words.empty() && words != std::vector<std::string>{"none"})
				{
					expanded.push_back({std::move(words), each.line});
				}
			}
		}
		return expanded;
	}

	scenario_file read_scenario_file(std::string const& path)
	{
		std::ifstream file(path);
		if (!file)
		{
			throw std::runtime_error("can't read " + path);
		}
		scenario_file parsed;
		parsed.name = std::filesystem::path(path).stem().string();
		auto number = 0;
		for (std::string line; std::getline(file, line);)
		{
			parse_line(line, ++number, parsed);
		}
		return parsed;
	}
}
