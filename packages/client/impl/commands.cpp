#include <godwittrestle/client/commands.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <iterator>
#include <sstream>
#include <tuple>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>
#include <zmq.h>

#include <godwittrestle/policy.hpp>

namespace godwittrestle::client
{
	namespace
	{
		namespace json = boost::json;

		constexpr std::size_t z85_key_size = 40;

		using command_function = std::function<result<int>(command_options const&, std::ostream&)>;

		struct command_entry
		{
			std::string_view name;
			std::string_view arguments;
			std::string_view help;
			command_function run;
		};

		result<std::string> read_file(std::string const& name)
		{
			std::ifstream file(name, std::ios::binary);
			if (!file)
			{
				return fail(error_kind::io, name, "can't be read", "check the name and the permissions of the file");
			}
			return std::string(std::istreambuf_iterator<char>(file), {});
		}

		// Returns the content of the file given as the only argument.
		result<std::string> read_single_file(command_options const& options)
		{
			if (options.files.size() != 1)
			{
				return fail(
					error_kind::invalid_setting, options.command, "expects one file", "name the policy's JSON file");
			}
			return read_file(options.files.front());
		}

		result<void> require_daemons(command_options const& options)
		{
			if (options.daemons.empty())
			{
				return fail(error_kind::invalid_setting, "--daemon", "missing",
					"give the operators' address of each daemon, such as --daemon 127.0.0.1:8081");
			}
			return {};
		}

		// Reads a policy from a file, sealed or not.
		result<policy::RoutingPolicy> read_policy(std::string const& name)
		{
			BOOST_LEAF_AUTO(text, read_file(name));
			auto const sealed = handle_failure(
				[&]() -> result<std::optional<policy::RoutingPolicy>>
				{
					BOOST_LEAF_AUTO(document, policy::parse_sealed(text));
					return std::optional(document.policy());
				},
				[](failure const&) { return std::optional<policy::RoutingPolicy>{}; });
			if (sealed)
			{
				return *sealed;
			}
			return policy::parse_policy(text);
		}

		int report_faults(std::vector<policy::fault> const& faults, command_options const& options, std::ostream& out)
		{
			if (options.is_json)
			{
				json::array entries;
				for (auto const& each : faults)
				{
					entries.push_back({{"path", each.path}, {"message", each.message}, {"remedy", each.remedy}});
				}
				out << json::serialize(entries) << '\n';
			}
			else
			{
				std::ranges::for_each(faults, [&](policy::fault const& each)
					{ out << fmt::format("{}: {}; {}\n", each.path, each.message, each.remedy); });
				out << (faults.empty() ? "valid\n" : "");
			}
			return faults.empty() ? exit_success : exit_invalid_document;
		}

		result<int> run_validate(command_options const& options, std::ostream& out)
		{
			BOOST_LEAF_AUTO(text, read_single_file(options));
			BOOST_LEAF_AUTO(document, policy::parse_policy(text));
			return report_faults(policy::validate(document), options, out);
		}

		// The base for sealing a new document, as a daemon reports it.
		struct remote_base
		{
			std::optional<policy::SealedPolicy> document;
			policy::seal_base base;
		};

		result<remote_base> fetch_base(daemon_connection const& daemon)
		{
			BOOST_LEAF_AUTO(value, call_daemon(daemon, "GET", "/v1/policy/base"));
			remote_base fetched;
			auto const& object = value.as_object();
			fetched.base.parent_version = platform_version(object.at("version").to_number<std::uint64_t>());
			for (auto const& each : object.at("skipped").as_array())
			{
				policy::Ancestor skipped;
				skipped.set_platform_version(each.at("platform_version").to_number<std::uint64_t>());
				skipped.set_base_version(each.at("base_version").to_number<std::uint64_t>());
				fetched.base.skipped.push_back(std::move(skipped));
			}
			if (auto const* const document = object.if_contains("document"))
			{
				BOOST_LEAF_ASSIGN(fetched.document, policy::parse_sealed(json::serialize(*document)));
			}
			return fetched;
		}

		result<int> run_seal(command_options const& options, std::ostream& out)
		{
			BOOST_LEAF_AUTO(text, read_single_file(options));
			BOOST_LEAF_AUTO(document, policy::parse_policy(text));
			if (auto const faults = policy::validate(document); !faults.empty())
			{
				return report_faults(faults, options, out);
			}
			remote_base base;
			if (!options.is_first)
			{
				BOOST_LEAF_CHECK(require_daemons(options));
				BOOST_LEAF_ASSIGN(base, fetch_base(options.daemons.front()));
				base.base.parent = base.document ? &*base.document : nullptr;
			}
			out << policy::to_json(policy::seal(std::move(document), base.base));
			return exit_success;
		}

		result<int> run_diff(command_options const& options, std::ostream& out)
		{
			if (options.files.size() != 2)
			{
				return fail(
					error_kind::invalid_setting, "diff", "expects two files", "name the old and the new policy");
			}
			BOOST_LEAF_AUTO(before, read_policy(options.files[0]));
			BOOST_LEAF_AUTO(after, read_policy(options.files[1]));
			auto const lines = policy::describe_difference(before, after);
			if (options.is_json)
			{
				json::array entries;
				std::istringstream stream(lines);
				for (std::string line; std::getline(stream, line);)
				{
					entries.push_back({{"change", line.substr(0, 1)}, {"section", line.substr(2)}});
				}
				out << json::serialize(entries) << '\n';
				return exit_success;
			}
			out << lines;
			return exit_success;
		}

		std::string field_text(json::object const& object, std::string_view name)
		{
			auto const& value = object.at(name);
			return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
		}

		result<int> run_status(command_options const& options, std::ostream& out)
		{
			BOOST_LEAF_CHECK(require_daemons(options));
			json::array all;
			for (auto const& daemon : options.daemons)
			{
				BOOST_LEAF_AUTO(status, call_daemon(daemon, "GET", "/v1/status"));
				all.push_back(std::move(status));
			}
			if (options.is_json)
			{
				out << json::serialize(all) << '\n';
				return exit_success;
			}
			out << fmt::format("{:<16} {:<9} {:>8} {:>8} {:>6} {:>6} {:>8}\n", "INSTANCE", "STATE", "REVISION",
				"VERSION", "PEERS", "CELLS", "ANSWERS");
			for (auto const& each : all)
			{
				auto const& object = each.as_object();
				out << fmt::format("{:<16} {:<9} {:>8} {:>8} {:>6} {:>6} {:>8}\n", field_text(object, "instance"),
					field_text(object, "state"), field_text(object, "revision"), field_text(object, "config_version"),
					object.at("live_daemons").as_array().size(), object.at("owned_cells").as_array().size(),
					field_text(object, "answers"));
				for (auto const& refused : object.at("refused_documents").as_array())
				{
					out << fmt::format("  refused version {}: {}\n", field_text(refused.as_object(), "version"),
						field_text(refused.as_object(), "reason"));
				}
			}
			return exit_success;
		}

		result<int> run_explain(command_options const& options, std::ostream& out)
		{
			BOOST_LEAF_CHECK(require_daemons(options));
			if (options.service.empty())
			{
				return fail(error_kind::invalid_setting, "--service", "missing", "name a service of the policy");
			}
			BOOST_LEAF_AUTO(
				answer, call_daemon(options.daemons.front(), "GET", "/v1/explain?service=" + options.service));
			if (options.is_json)
			{
				out << json::serialize(answer) << '\n';
				return exit_success;
			}
			for (auto const& field : answer.as_object())
			{
				out << fmt::format(
					"{:<14} {}\n", std::string_view(field.key()), field_text(answer.as_object(), field.key()));
			}
			return exit_success;
		}

		result<int> run_timeline(command_options const& options, std::ostream& out)
		{
			BOOST_LEAF_CHECK(require_daemons(options));
			std::vector<json::object> events;
			for (auto const& daemon : options.daemons)
			{
				BOOST_LEAF_AUTO(received, call_daemon(daemon, "GET", "/v1/timeline?request=" + options.request));
				std::ranges::transform(received.as_array(), std::back_inserter(events),
					[](json::value const& event) { return event.as_object(); });
			}
			std::ranges::stable_sort(events, std::less{},
				[](json::object const& event)
				{
					return std::tuple(event.at("timestamp").to_number<std::uint64_t>(), field_text(event, "instance"));
				});
			if (options.is_json)
			{
				out << json::serialize(json::array(events.begin(), events.end())) << '\n';
				return exit_success;
			}
			for (auto const& event : events)
			{
				out << fmt::format("{} {:<14} {:<22} {} {}\n", field_text(event, "timestamp"),
					field_text(event, "instance"), field_text(event, "event"), field_text(event, "request"),
					field_text(event, "detail"));
			}
			return exit_success;
		}

		result<int> run_drain(command_options const& options, std::ostream& out)
		{
			BOOST_LEAF_CHECK(require_daemons(options));
			for (auto const& daemon : options.daemons)
			{
				BOOST_LEAF_AUTO(answer, call_daemon(daemon, "POST", "/v1/drain"));
				out << (options.is_json ? json::serialize(answer) : http::to_string(daemon.where) + " is draining")
					<< '\n';
			}
			return exit_success;
		}

		result<int> run_keys(command_options const& options, std::ostream& out)
		{
			std::array<char, z85_key_size + 1> public_key{};
			std::array<char, z85_key_size + 1> secret_key{};
			if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0)
			{
				return fail(error_kind::io, "keys", "this libzmq has no encryption", "use a libzmq with CURVE");
			}
			if (options.is_json)
			{
				json::object const pair{{"public", public_key.data()}, {"secret", secret_key.data()}};
				out << json::serialize(pair) << '\n';
				return exit_success;
			}
			out << fmt::format("GODWITTRESTLE_PEER_PUBLIC_KEY='{}'\nGODWITTRESTLE_PEER_SECRET_KEY='{}'\n",
				public_key.data(), secret_key.data());
			return exit_success;
		}

		std::array<command_entry, 8> const& commands()
		{
			static std::array<command_entry, 8> const all{{
				{"validate", "POLICY", "check a policy; show each fault with its path and a remedy", run_validate},
				{"seal", "POLICY",
					"write the canonical document for the configuration service to standard output, "
					"based on the one that --daemon has in force, or as the first one with --first",
					run_seal},
				{"diff", "OLD NEW", "show the sections that differ; either file may be sealed", run_diff},
				{"status", "", "show each --daemon's state and revision", run_status},
				{"explain", "", "show where a request for --service would go now and why", run_explain},
				{"timeline", "", "show the events of each --daemon in causal order, for one --request or for all",
					run_timeline},
				{"drain", "", "shut down each --daemon gracefully", run_drain},
				{"keys", "", "generate a key pair for the encryption between daemons", run_keys},
			}};
			return all;
		}
	}

	result<int> run_command(command_options const& options, std::ostream& out)
	{
		auto const command = std::ranges::find(commands(), options.command, &command_entry::name);
		if (command == commands().end())
		{
			return fail(error_kind::invalid_setting, options.command, "no such command", "see --help for the commands");
		}
		return command->run(options, out);
	}

	std::string describe_commands()
	{
		std::string text;
		for (auto const& each : commands())
		{
			text += fmt::format("  {:<9} {:<8} {}\n", each.name, each.arguments, each.help);
		}
		return text;
	}
}
