#include <cstdlib>
#include <exception>
#include <iostream>
#include <utility>

#include <boost/program_options.hpp>

#include <godwittrestle/client.hpp>

namespace
{
	using namespace godwittrestle;
	namespace options = boost::program_options;

	constexpr std::string_view usage = "Usage: godwittrestle COMMAND [FILE...] [option...]\n\nCommands:\n";
	constexpr std::string_view exit_codes = "\nExit codes: 0 success, 1 a call to a daemon failed or a file can't be "
											"read, 2 wrong usage, 3 invalid document.\n";

	options::options_description describe_options()
	{
		options::options_description known("Options");
		auto add = known.add_options();
		add("help,h", "print this help");
		add("version", "print the version");
		add("daemon,d", options::value<std::vector<std::string>>()->default_value({}, ""),
			"operators' address of a daemon; may be given more than once");
		add("token", options::value<std::string>()->default_value(""),
			"operators' token; also as GODWITTRESTLE_OPERATOR_TOKEN in the environment");
		add("service", options::value<std::string>()->default_value(""), "service to explain");
		add("request", options::value<std::string>()->default_value(""), "request id, as in X-Request-Id");
		add("first", "seal the first document of a new history");
		add("json", "print JSON");
		return known;
	}

	result<options::variables_map> parse(
		options::options_description const& shown, int count, char const* const* arguments)
	{
		options::options_description all;
		all.add(shown).add_options()("command", options::value<std::string>()->default_value(""))(
			"file", options::value<std::vector<std::string>>()->default_value({}, ""));
		options::positional_options_description positions;
		positions.add("command", 1).add("file", -1);
		options::variables_map given;
		try
		{
			options::store(
				options::command_line_parser(count, arguments).options(all).positional(positions).run(), given);
			options::notify(given);
		}
		catch (options::error const& error)
		{
			return fail(error_kind::invalid_setting, "", error.what(), "see --help");
		}
		return given;
	}

	result<client::command_options> read_options(options::variables_map const& given)
	{
		client::command_options read;
		read.command = given["command"].as<std::string>();
		read.files = given["file"].as<std::vector<std::string>>();
		read.service = given["service"].as<std::string>();
		read.request = given["request"].as<std::string>();
		read.is_json = given.contains("json");
		read.is_first = given.contains("first");
		auto token = given["token"].as<std::string>();
		if (auto const* const variable = std::getenv("GODWITTRESTLE_OPERATOR_TOKEN");
			token.empty() && variable != nullptr)
		{
			token = variable;
		}
		for (auto const& address : given["daemon"].as<std::vector<std::string>>())
		{
			BOOST_LEAF_AUTO(where, http::parse_endpoint(address, "--daemon"));
			read.daemons.push_back({std::move(where), token});
		}
		return read;
	}

	result<int> run(int count, char const* const* arguments)
	{
		auto const shown = describe_options();
		BOOST_LEAF_AUTO(given, parse(shown, count, arguments));
		if (given.contains("version"))
		{
			std::cout << "godwittrestle " GODWITTRESTLE_VERSION "\n";
			return client::exit_success;
		}
		if (given.contains("help") || given["command"].as<std::string>().empty())
		{
			std::cout << usage << client::describe_commands() << '\n' << shown << exit_codes;
			return given.contains("help") ? client::exit_success : client::exit_usage;
		}
		BOOST_LEAF_AUTO(read, read_options(given));
		return client::run_command(read, std::cout);
	}

	int exit_code_for(error_kind kind)
	{
		switch (kind)
		{
			case error_kind::invalid_setting:
				return client::exit_usage;
			case error_kind::invalid_document:
				return client::exit_invalid_document;
			default:
				return client::exit_fault;
		}
	}
}

int main(int count, char const* const* arguments)
{
	try
	{
		return handle_failure([&] { return run(count, arguments); },
			[](failure const& error)
			{
				std::cerr << "godwittrestle: " << describe(error) << '\n';
				return exit_code_for(error.kind);
			});
	}
	catch (std::exception const& error)
	{
		std::cerr << "godwittrestle: " << error.what() << "; check that the daemon has the same version\n";
		return client::exit_fault;
	}
}
