#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <tuple>

#include <godwittrestle/daemon/application.hpp>
#include <godwittrestle/daemon/settings.hpp>
#include <godwittrestle/platform/adapter.hpp>

namespace
{
	using namespace godwittrestle;

	constexpr int exit_failure = 1;
	constexpr int exit_invalid_setting = 2;

	// SIGHUP asks a running process to read its settings again. Before the signal is handled it would end the process,
	// which reads its settings anyway.
	void ignore_hangup(int /*count*/, char** /*arguments*/, char** /*environment*/)
	{
		std::ignore = std::signal(SIGHUP, SIG_IGN);
	}

	// Runs before the initialisers of the libraries, which take most of the time until main().
	[[gnu::section(".preinit_array"), gnu::used]] void (*const ignore_early_hangup)(
		int, char**, char**) = ignore_hangup;

	// Runs as a gateway on the users' platform. settings_path: the settings file that the platform provides.
	result<int> run_gateway(std::string const& settings_path)
	{
		auto adapter = platform::make_adapter(settings_path);
		BOOST_LEAF_AUTO(settings, adapter.read_settings());
		int code = EXIT_SUCCESS;
		{
			gateway::application application(std::move(settings), std::move(adapter));
			code = application.run();
		}
		// Skips static destructors: everything is closed and the log is flushed. Static destructors of libraries took
		// seconds here; in this time the instance could already have been restarted and be serving again.
		std::quick_exit(code);
	}

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
		std::ignore = std::signal(SIGHUP, SIG_DFL);
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
				if (auto const* const settings_path = std::getenv(platform::settings_variable))
				{
					return run_gateway(settings_path);
				}
				BOOST_LEAF_AUTO(line, daemon::parse_command_line(count, arguments));
				return run(std::move(line));
			},
			[](failure const& error)
			{
				std::cerr << "godwittrestled: " << describe(error) << '\n';
				return error.kind == error_kind::invalid_setting ? exit_invalid_setting : exit_failure;
			});
	}
	catch (std::exception const& error)
	{
		std::cerr << "godwittrestled: " << error.what()
				  << "; check that the configured addresses are free and belong to this machine\n";
		return exit_failure;
	}
}
