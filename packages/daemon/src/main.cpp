#include <cstdlib>
#include <exception>
#include <iostream>

#include <godwittrestle/daemon/application.hpp>
#include <godwittrestle/daemon/settings.hpp>

namespace
{
	using namespace godwittrestle;

	constexpr int exit_fault = 1;
	constexpr int exit_wrong_setting = 2;

	int run(daemon::command_line line)
	{
		if (line.print)
		{
			std::cout << *line.print;
			return EXIT_SUCCESS;
		}
		if (line.check_only)
		{
			return EXIT_SUCCESS;
		}
		daemon::application application(std::move(line.settings));
		return application.run();
	}
}

int main(int count, char const* const* arguments)
{
	try
	{
		return handle_failure(
			[&]() -> result<int>
			{
				BOOST_LEAF_AUTO(line, daemon::parse_command_line(count, arguments));
				return run(std::move(line));
			},
			[](failure const& error)
			{
				std::cerr << "godwittrestled: " << describe(error) << '\n';
				return error.kind == error_kind::invalid_setting ? exit_wrong_setting : exit_fault;
			});
	}
	catch (std::exception const& error)
	{
		std::cerr << "godwittrestled: " << error.what()
				  << "; check that the addresses are free and this machine's own\n";
		return exit_fault;
	}
}
