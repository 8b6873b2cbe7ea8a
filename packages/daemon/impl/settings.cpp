#include <godwittrestle/daemon/settings.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/base/digest.hpp>

namespace godwittrestle::daemon
{
	namespace
	{
		namespace options = boost::program_options;

		constexpr std::string_view environment_prefix = "GODWITTRESTLE_";
		constexpr std::size_t z85_key_size = 40;
		constexpr std::size_t bytes_per_megabyte = 1'000'000;
		constexpr std::array<std::string_view, 6> log_levels{"TRACE", "DEBUG", "INFO", "WARN", "ERROR", "OFF"};

		// A numeric setting with its default and its inclusive bounds, in the unit that its name ends with.
		struct number_setting
		{
			char const* name;
			std::uint64_t default_number;
			std::uint64_t minimum;
			std::uint64_t maximum;
			char const* help;
		};

		constexpr std::array<number_setting, 14> number_settings{{
			{"heartbeat-interval-ms", 500, 50, 10'000, "interval between heartbeats to another daemon"},
			{"peer-timeout-ms", 2'000, 200, 60'000, "silence after which another daemon is considered dead"},
			{"load-poll-interval-ms", 200, 20, 10'000, "interval at which an engine is asked for a load report"},
			{"key-lifetime-s", 600, 10, 86'400, "time for which an idempotency key may be used"},
			{"config-poll-interval-ms", 60'000, 100, 3'600'000,
				"interval between reads of the platform while other daemons watch it"},
			{"max-connections", 4'096, 1, 100'000, "maximum number of open connections of callers"},
			{"max-header-bytes", 16'384, 1'024, 1'048'576, "maximum size of a request's header"},
			{"max-body-bytes", 8'388'608, 1'024, 268'435'456, "maximum size of a request's body"},
			{"caller-memory-mb", 32, 1, 1'000'000,
				"memory of the requests and answers of all callers; a single request may always hold its maximum"},
			{"read-timeout-ms", 10'000, 100, 600'000, "time for a whole request to arrive once its header has"},
			{"idle-timeout-ms", 30'000, 100, 3'600'000, "time that a connection may stay open between requests"},
			{"caller-silence-ms", 3'000, 1'000, 60'000, "silence after which a caller's connection is considered dead"},
			{"ring-capacity", 8'192, 64, 1'048'576, "capacity of each ring between threads, in entries"},
			{"timeline-events", 50'000, 100, 10'000'000, "number of timeline events that are kept"},
		}};

		options::options_description describe_options()
		{
			options::options_description descriptions("Settings (each also as GODWITTRESTLE_NAME in the environment)");
			auto add = descriptions.add_options();
			add("help,h", "print this help");
			add("version", "print the version");
			add("check-settings", "check the settings, print only errors, and exit");
			add("instance", options::value<std::string>(), "name of this instance in the platform's list (required)");
			add("data-centre", options::value<std::string>(), "data centre of this instance (required)");
			add("caller-address", options::value<std::string>()->default_value("127.0.0.1:8080"),
				"IP number and port for callers");
			add("operator-address", options::value<std::string>()->default_value("127.0.0.1:8081"),
				"IP number and port for operators and metrics");
			add("peer-address", options::value<std::string>()->default_value("127.0.0.1:8082"),
				"IP number and port for other daemons");
			add("platform-address", options::value<std::string>(),
				"IP number and port of the platform's configuration service (required)");
			add("operator-token", options::value<std::string>()->default_value(""),
				"bearer token for operators; required unless operator-address is loopback");
			add("peer-public-key", options::value<std::string>()->default_value(""),
				"CURVE public key of the fleet, in Z85; empty for no encryption");
			add("peer-secret-key", options::value<std::string>()->default_value(""),
				"CURVE secret key of the fleet, in Z85");
			add("log-level", options::value<std::string>()->default_value("INFO"),
				"TRACE, DEBUG, INFO, WARN, ERROR or OFF");
			for (auto const& number : number_settings)
			{
				add(number.name, options::value<std::string>()->default_value(std::to_string(number.default_number)),
					fmt::format("{} ({} to {})", number.help, number.minimum, number.maximum).c_str());
			}
			return descriptions;
		}

		// Returns the option that an environment variable sets: peer-address for GODWITTRESTLE_PEER_ADDRESS. Returns an
		// empty string for a variable that sets no option.
		std::string option_of_variable(options::options_description const& known_options, std::string const& variable)
		{
			if (!variable.starts_with(environment_prefix))
			{
				return {};
			}
			auto name = variable.substr(environment_prefix.size());
			std::ranges::transform(name, name.begin(),
				[](unsigned char letter) { return letter == '_' ? '-' : static_cast<char>(std::tolower(letter)); });
			return known_options.find_nothrow(name, false) == nullptr ? std::string{} : name;
		}

		// Reads single settings. Functions that return a result check the value and fail with invalid_setting.
		class settings_reader
		{
		  public:
			explicit settings_reader(options::variables_map const& source)
				: values(source)
			{
			}

			[[nodiscard]] std::string text(std::string const& name) const
			{
				return this->values.contains(name) ? this->values[name].as<std::string>() : std::string{};
			}

			[[nodiscard]] result<std::string> required(std::string const& name) const
			{
				auto value = this->text(name);
				auto const allowed = [](unsigned char letter)
				{
					return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.' ||
						   letter == ':';
				};
				if (value.empty() || !std::ranges::all_of(value, allowed))
				{
					return fail(error_kind::invalid_setting, "--" + name,
						value.empty() ? "missing"
									  : fmt::format("'{}' has characters that are not allowed in a name", value),
						fmt::format("give --{0} or {1}{2}", name, environment_prefix, variable_of(name)));
				}
				return value;
			}

			[[nodiscard]] result<http::endpoint> address(std::string const& name) const
			{
				BOOST_LEAF_AUTO(value, this->required(name));
				return http::parse_endpoint(value, "--" + name);
			}

			[[nodiscard]] result<std::uint64_t> number(std::string const& name) const
			{
				auto const bounds = std::ranges::find_if(
					number_settings, [&](number_setting const& each) { return name == each.name; });
				auto const value = parse_number(this->text(name));
				if (!value || *value < bounds->minimum || *value > bounds->maximum)
				{
					return fail(error_kind::invalid_setting, "--" + name,
						fmt::format("'{}' is out of range", this->text(name)),
						fmt::format("give a whole number from {} to {}", bounds->minimum, bounds->maximum));
				}
				return *value;
			}

			[[nodiscard]] result<duration> time(std::string const& name) const
			{
				BOOST_LEAF_AUTO(value, this->number(name));
				auto const is_seconds = name.ends_with("-s");
				return is_seconds ? duration(seconds(value)) : duration(milliseconds(value));
			}

		  private:
			[[nodiscard]] static std::string variable_of(std::string name)
			{
				std::ranges::transform(name, name.begin(),
					[](unsigned char letter) { return letter == '-' ? '_' : static_cast<char>(std::toupper(letter)); });
				return name;
			}

			options::variables_map const& values;
		};

		result<void> read_addresses(settings_reader const& source, daemon_settings& settings)
		{
			BOOST_LEAF_ASSIGN(settings.caller_address, source.address("caller-address"));
			BOOST_LEAF_ASSIGN(settings.operator_address, source.address("operator-address"));
			BOOST_LEAF_ASSIGN(settings.peer_address, source.address("peer-address"));
			BOOST_LEAF_ASSIGN(settings.platform_address, source.address("platform-address"));
			settings.operator_token = source.text("operator-token");
			auto const is_loopback = boost::asio::ip::make_address(settings.operator_address.address).is_loopback();
			if (settings.operator_token.empty() && !is_loopback)
			{
				return fail(error_kind::invalid_setting, "--operator-token",
					"missing, but --operator-address is reachable from other machines",
					"give a token, or bind --operator-address to 127.0.0.1");
			}
			return {};
		}

		result<void> read_peer_keys(settings_reader const& source, daemon_settings& settings)
		{
			settings.peer_public_key = source.text("peer-public-key");
			settings.peer_secret_key = source.text("peer-secret-key");
			auto const sizes = std::pair(settings.peer_public_key.size(), settings.peer_secret_key.size());
			if (sizes != std::pair<std::size_t, std::size_t>(0, 0) && sizes != std::pair(z85_key_size, z85_key_size))
			{
				return fail(error_kind::invalid_setting, "--peer-public-key and --peer-secret-key",
					"not a pair of Z85 keys",
					"give both, 40 characters each, as 'godwittrestle keys' prints them, or neither");
			}
			return {};
		}

		result<void> read_times(settings_reader const& source, daemon_settings& settings)
		{
			BOOST_LEAF_ASSIGN(settings.heartbeat_interval, source.time("heartbeat-interval-ms"));
			BOOST_LEAF_ASSIGN(settings.peer_timeout, source.time("peer-timeout-ms"));
			BOOST_LEAF_ASSIGN(settings.load_poll_interval, source.time("load-poll-interval-ms"));
			BOOST_LEAF_ASSIGN(settings.key_lifetime, source.time("key-lifetime-s"));
			BOOST_LEAF_ASSIGN(settings.config_poll_interval, source.time("config-poll-interval-ms"));
			BOOST_LEAF_ASSIGN(settings.caller_limits.read_timeout, source.time("read-timeout-ms"));
			BOOST_LEAF_ASSIGN(settings.caller_limits.idle_timeout, source.time("idle-timeout-ms"));
			BOOST_LEAF_ASSIGN(settings.caller_limits.silence_timeout, source.time("caller-silence-ms"));
			if (settings.peer_timeout < 2 * settings.heartbeat_interval)
			{
				return fail(error_kind::invalid_setting, "--peer-timeout-ms",
					"shorter than two heartbeat intervals, so that one lost heartbeat would make a daemon look dead",
					"give at least twice --heartbeat-interval-ms");
			}
			return {};
		}

		result<void> read_sizes(settings_reader const& source, daemon_settings& settings)
		{
			BOOST_LEAF_ASSIGN(settings.caller_limits.connections, source.number("max-connections"));
			BOOST_LEAF_ASSIGN(settings.caller_limits.header_bytes, source.number("max-header-bytes"));
			BOOST_LEAF_ASSIGN(settings.caller_limits.body_bytes, source.number("max-body-bytes"));
			BOOST_LEAF_AUTO(caller_megabytes, source.number("caller-memory-mb"));
			settings.caller_limits.memory_bytes = caller_megabytes * bytes_per_megabyte;
			BOOST_LEAF_ASSIGN(settings.ring_capacity, source.number("ring-capacity"));
			BOOST_LEAF_ASSIGN(settings.timeline_events, source.number("timeline-events"));
			settings.log_level = source.text("log-level");
			if (!contains(log_levels, settings.log_level))
			{
				return fail(error_kind::invalid_setting, "--log-level",
					fmt::format("'{}' is not a log level", settings.log_level),
					"give TRACE, DEBUG, INFO, WARN, ERROR or OFF");
			}
			return {};
		}

		result<options::variables_map> read_options(
			options::options_description const& known_options, int count, char const* const* arguments)
		{
			options::variables_map values;
			try
			{
				options::store(options::parse_command_line(count, arguments, known_options), values);
				options::store(options::parse_environment(known_options, [&](std::string const& variable)
								   { return option_of_variable(known_options, variable); }),
					values);
				options::notify(values);
			}
			catch (options::error const& error)
			{
				return fail(error_kind::invalid_setting, "", error.what(), "see --help for the settings");
			}
			return values;
		}
	}

	result<command_line> parse_command_line(int count, char const* const* arguments)
	{
		auto const known_options = describe_options();
		BOOST_LEAF_AUTO(values, read_options(known_options, count, arguments));
		command_line line;
		if (values.contains("help"))
		{
			std::ostringstream text;
			text << "Usage: godwittrestled --instance NAME --data-centre NAME --platform-address IP:PORT "
					"[setting...]\n\n"
				 << known_options
				 << "\nExit codes: 0 after a graceful shutdown, 1 on an error, 2 on an invalid setting.\n";
			line.print = text.str();
			return line;
		}
		if (values.contains("version"))
		{
			line.print = "godwittrestled " GODWITTRESTLE_VERSION "\n";
			return line;
		}
		settings_reader const source(values);
		BOOST_LEAF_AUTO(instance, source.required("instance"));
		BOOST_LEAF_AUTO(data_centre, source.required("data-centre"));
		line.settings.instance = instance_id(std::move(instance));
		line.settings.data_centre = data_centre_id(std::move(data_centre));
		BOOST_LEAF_CHECK(read_addresses(source, line.settings));
		BOOST_LEAF_CHECK(read_peer_keys(source, line.settings));
		BOOST_LEAF_CHECK(read_times(source, line.settings));
		BOOST_LEAF_CHECK(read_sizes(source, line.settings));
		line.check_only = values.contains("check-settings");
		return line;
	}
}
