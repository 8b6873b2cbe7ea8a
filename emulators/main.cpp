#include "standin.hpp"

#include <exception>
#include <iostream>
#include <utility>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

namespace
{
	using namespace godwittrestle;
	namespace options = boost::program_options;

	std::unique_ptr<standins::standin> make(options::variables_map const& given, boost::asio::io_context& loop)
	{
		auto const kind = given["kind"].as<std::string>();
		if (kind == "platform")
		{
			return standins::make_platform(loop);
		}
		if (kind == "plain")
		{
			return standins::make_plain(loop);
		}
		standins::engine_settings settings;
		settings.id = given["listen"].as<std::string>();
		settings.role = given["role"].as<std::string>();
		settings.model = given["model"].as<std::string>();
		settings.slots = given["slots"].as<std::uint32_t>();
		settings.prefill_tokens_per_second = given["prefill-rate"].as<double>();
		settings.token_interval = milliseconds(given["token-ms"].as<int>());
		settings.checks_fence = !given.contains("ignore-fence");
		return standins::make_engine(loop, std::move(settings));
	}

	int run(int count, char const* const* arguments)
	{
		options::options_description known("Settings");
		auto add = known.add_options();
		add("help", "print this help");
		add("kind", options::value<std::string>()->required(), "platform, engine or plain");
		add("listen", options::value<std::string>()->required(), "IP number and port");
		add("role", options::value<std::string>()->default_value("prefill"), "prefill or decode");
		add("model", options::value<std::string>()->default_value(""), "model loaded at the start");
		add("slots", options::value<std::uint32_t>()->default_value(20), "requests that a decode engine holds");
		add("prefill-rate", options::value<double>()->default_value(20000), "tokens a second");
		add("token-ms", options::value<int>()->default_value(20), "time between tokens");
		add("ignore-fence", "obey orders whatever their fencing number");
		options::variables_map given;
		options::store(options::parse_command_line(count, arguments, known), given);
		if (given.contains("help"))
		{
			std::cout << known;
			return 0;
		}
		options::notify(given);
		boost::asio::io_context loop{1};
		auto const served = make(given, loop);
		auto const where =
			handle_failure([&] { return http::parse_endpoint(given["listen"].as<std::string>(), "--listen"); },
				[](failure const& error)
				{
					std::cerr << describe(error) << '\n';
					return http::endpoint{};
				});
		http::server server(loop.get_executor(), where, {},
			[&](http::request message, http::exchange& talk) { return served->handle(std::move(message), talk); });
		server.start();
		boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
		signals.async_wait([&](boost::system::error_code const&, int) { loop.stop(); });
		loop.run();
		return 0;
	}
}

int main(int count, char const* const* arguments)
{
	try
	{
		return run(count, arguments);
	}
	catch (std::exception const& error)
	{
		std::cerr << error.what() << '\n';
		return 2;
	}
}
