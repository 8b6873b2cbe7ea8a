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

	std::unique_ptr<standins::standin> make_standin(options::variables_map const& values, boost::asio::io_context& loop)
	{
		auto const kind = values["kind"].as<std::string>();
		if (kind == "platform")
		{
			return standins::make_platform(loop);
		}
		if (kind == "plain")
		{
			return standins::make_plain(loop);
		}
		standins::engine_settings settings;
		settings.id = values["listen"].as<std::string>();
		settings.role = values["role"].as<std::string>();
		settings.model = values["model"].as<std::string>();
		settings.slots = values["slots"].as<std::uint32_t>();
		settings.prefill_tokens_per_second = values["prefill-rate"].as<double>();
		settings.token_interval = milliseconds(values["token-ms"].as<int>());
		settings.checks_fence = !values.contains("ignore-fence");
		return standins::make_engine(loop, std::move(settings));
	}

	int run(int count, char const* const* arguments)
	{
		options::options_description declared_options("Settings");
		auto add = declared_options.add_options();
		add("help", "print this help");
		add("kind", options::value<std::string>()->required(), "platform, engine or plain");
		add("listen", options::value<std::string>()->required(), "IP address and port");
		add("role", options::value<std::string>()->default_value("prefill"), "prefill or decode");
		add("model", options::value<std::string>()->default_value(""), "model loaded at the start");
		add("slots", options::value<std::uint32_t>()->default_value(20),
			"requests that a decode engine holds at the same time");
		add("prefill-rate", options::value<double>()->default_value(20000), "prefilled tokens per second");
		add("token-ms", options::value<int>()->default_value(20), "milliseconds between tokens");
		add("ignore-fence", "carry out orders with an outdated fencing number too");
		options::variables_map values;
		options::store(options::parse_command_line(count, arguments, declared_options), values);
		if (values.contains("help"))
		{
			std::cout << declared_options;
			return 0;
		}
		options::notify(values);
		boost::asio::io_context loop{1};
		auto const target = make_standin(values, loop);
		auto const listen_address =
			handle_failure([&] { return http::parse_endpoint(values["listen"].as<std::string>(), "--listen"); },
				[](failure const& error)
				{
					std::cerr << describe(error) << '\n';
					return http::endpoint{};
				});
		http::server server(loop.get_executor(), listen_address, {},
			[&](http::request message, http::exchange& http_exchange)
			{ return target->handle(std::move(message), http_exchange); });
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
