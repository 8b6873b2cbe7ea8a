// Runs one case: review_case NAME DAEMON_PROGRAM FOLDER RECORD_FILE. With TROUBLE=0 in the environment the case runs
// without its disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>

#include <boost/asio/co_spawn.hpp>

#include "cases.hpp"

namespace
{
	int run_case(review::case_arguments const& arguments)
	{
		std::map<std::string, review::case_function> const cases{{"extra_answer", review::run_extra_answer},
			{"extra_refusal", review::run_extra_refusal}, {"store_drill", review::run_store_drill},
			{"restarted_servers", review::run_restarted_servers}, {"planned_stop", review::run_planned_stop}};
		auto const found = cases.find(arguments.name);
		if (found == cases.end())
		{
			std::cerr << "there is no case " << arguments.name << '\n';
			return review::could_not_run;
		}
		review::asio::io_context loop(1);
		review::record lines(arguments.record_path);
		lines.line(std::string("case ") + arguments.name + (arguments.has_trouble ? "" : ", without the disruption"));
		auto result = review::could_not_run;
		review::asio::co_spawn(loop, found->second(loop, arguments, lines),
			[&](std::exception_ptr const& error, int code)
			{
				result = error ? review::could_not_run : code;
				loop.stop();
			});
		loop.run();
		auto const* const meaning = result == review::rule_broken ? "the rule was broken"
									: result == review::rule_held ? "the rule held"
																  : "the case could not run";
		lines.line(std::string("result: ") + meaning);
		std::cout << arguments.name << ": " << meaning << '\n';
		return result;
	}
}

int main(int count, char** values)
{
	constexpr int expected_count = 5;
	if (count != expected_count)
	{
		std::cerr << "usage: review_case NAME DAEMON_PROGRAM FOLDER RECORD_FILE\n";
		return review::could_not_run;
	}
	auto const* const trouble = std::getenv("TROUBLE");
	try
	{
		return run_case(
			{values[1], values[2], values[3], values[4], trouble == nullptr || std::string(trouble) != "0"});
	}
	catch (std::exception const& error)
	{
		std::cerr << error.what() << '\n';
		return review::could_not_run;
	}
}
