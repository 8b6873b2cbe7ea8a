#include <godwittrestle/daemon/platform.hpp>

#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/policy.hpp>

namespace godwittrestle::daemon
{
	namespace
	{
		namespace json = boost::json;

		// Time for an answer to arrive, in addition to the time for which the platform may hold the call.
		constexpr duration answer_allowance = seconds(1);
		constexpr unsigned status_ok = 200;
		constexpr unsigned status_not_modified = 304;
		constexpr std::string_view version_header = "X-Version";

		struct versioned_value
		{
			platform_version version;
			std::string body;
		};

		asio::awaitable<platform_answer<versioned_value>> read_value(
			http::client& client, http::endpoint where, std::string name, platform_version after, duration wait)
		{
			http::request message;
			message.target = fmt::format("/v1/values/{}?after={}&wait_ms={}", name, after.count(),
				std::chrono::duration_cast<milliseconds>(wait).count());
			http::call_options const options{wait + answer_allowance, false};
			auto outcome = co_await client.call(std::move(where), std::move(message), options);
			auto* const answer = std::get_if<http::response>(&outcome);
			if (answer != nullptr && answer->status == status_not_modified)
			{
				co_return platform_answer<versioned_value>{true, std::nullopt};
			}
			auto const version = answer == nullptr ? std::nullopt : parse_number(answer->find_header(version_header));
			if (answer == nullptr || answer->status != status_ok || !version)
			{
				co_return platform_answer<versioned_value>{};
			}
			co_return platform_answer<versioned_value>{
				true, versioned_value{platform_version(*version), std::move(answer->body)}};
		}

		asio::awaitable<platform_answer<decide::policy_read>> read_policy(
			http::client& client, http::endpoint where, platform_version after, duration wait)
		{
			auto const answer = co_await read_value(client, std::move(where), "policy", after, wait);
			platform_answer<decide::policy_read> outcome{answer.is_answered, std::nullopt};
			if (!answer.value)
			{
				co_return outcome;
			}
			decide::policy_read read;
			read.version = answer.value->version;
			read.fault = handle_failure(
				[&]() -> result<std::string>
				{
					BOOST_LEAF_ASSIGN(read.document, policy::parse_sealed(answer.value->body));
					return std::string{};
				},
				[](failure const& error) { return describe(error); });
			outcome.value = std::move(read);
			co_return outcome;
		}

		asio::awaitable<platform_answer<decide::instances_read>> read_instances(
			http::client& client, http::endpoint where, platform_version after, duration wait)
		{
			auto const answer = co_await read_value(client, std::move(where), "instances", after, wait);
			platform_answer<decide::instances_read> outcome{answer.is_answered, std::nullopt};
			if (!answer.value)
			{
				co_return outcome;
			}
			outcome.value = handle_failure(
				[&]() -> result<std::optional<decide::instances_read>>
				{
					BOOST_LEAF_AUTO(list, parse_instances(answer.value->version, answer.value->body));
					return std::optional(decide::instances_read{std::move(list)});
				},
				[](failure const&) { return std::optional<decide::instances_read>{}; });
			co_return outcome;
		}

		result<std::string> text_at(json::object const& object, std::string const& path, std::string_view name)
		{
			auto const* const value = object.if_contains(name);
			if (value == nullptr || !value->is_string())
			{
				return fail(error_kind::invalid_document, fmt::format("{}.{}", path, name), "missing or not a text",
					"give it as a text");
			}
			return std::string(value->as_string());
		}

		result<std::string> address_at(json::object const& object, std::string const& path, std::string_view name)
		{
			BOOST_LEAF_AUTO(text, text_at(object, path, name));
			BOOST_LEAF_CHECK(http::parse_endpoint(text, fmt::format("{}.{}", path, name)));
			return text;
		}

		bool is_leaving(json::object const& object)
		{
			auto const* const state = object.if_contains("state");
			return state != nullptr && state->is_string() && state->as_string() == "leaving";
		}

		result<decide::listed_daemon> parse_daemon(json::object const& object, std::string const& path)
		{
			decide::listed_daemon daemon;
			BOOST_LEAF_AUTO(id, text_at(object, path, "id"));
			BOOST_LEAF_AUTO(data_centre, text_at(object, path, "data_centre"));
			BOOST_LEAF_ASSIGN(daemon.peer_address, address_at(object, path, "peer_address"));
			daemon.id = instance_id(std::move(id));
			daemon.data_centre = data_centre_id(std::move(data_centre));
			daemon.leaving = is_leaving(object);
			return daemon;
		}

		result<decide::listed_server> parse_server(json::object const& object, std::string const& path)
		{
			decide::listed_server server;
			BOOST_LEAF_AUTO(id, text_at(object, path, "id"));
			BOOST_LEAF_AUTO(data_centre, text_at(object, path, "data_centre"));
			BOOST_LEAF_AUTO(pool, text_at(object, path, "pool"));
			BOOST_LEAF_ASSIGN(server.address, address_at(object, path, "address"));
			server.id = server_id(std::move(id));
			server.data_centre = data_centre_id(std::move(data_centre));
			server.pool = pool_id(std::move(pool));
			server.leaving = is_leaving(object);
			auto const* const started = object.if_contains("incarnation");
			if (started != nullptr && started->is_int64() && started->as_int64() > 0)
			{
				server.started = incarnation(static_cast<std::uint64_t>(started->as_int64()));
			}
			return server;
		}

		template <typename Parse, typename List>
		result<void> parse_list(json::object const& root, std::string const& name, Parse const& parse, List& list)
		{
			auto const* const value = root.if_contains(name);
			if (value == nullptr || !value->is_array())
			{
				return fail(error_kind::invalid_document, name, "missing or not a list", "give a list");
			}
			for (auto const& element : value->as_array())
			{
				auto const path = fmt::format("{}[{}]", name, list.size());
				if (!element.is_object())
				{
					return fail(error_kind::invalid_document, path, "not an object", "give an object");
				}
				BOOST_LEAF_AUTO(parsed, parse(element.as_object(), path));
				list.push_back(std::move(parsed));
			}
			return {};
		}
	}

	result<decide::instance_list> parse_instances(platform_version version, std::string const& text)
	{
		boost::system::error_code error;
		auto const root = json::parse(text, error);
		if (error || !root.is_object())
		{
			return fail(error_kind::invalid_document, "", "the instance list is not a JSON object", "publish one");
		}
		decide::instance_list list;
		list.version = version;
		BOOST_LEAF_CHECK(parse_list(root.as_object(), "daemons", parse_daemon, list.daemons));
		BOOST_LEAF_CHECK(parse_list(root.as_object(), "servers", parse_server, list.servers));
		return list;
	}

	platform_interface make_http_platform(http::client& client, http::endpoint where)
	{
		platform_interface platform;
		platform.policy = [&client, where](platform_version after, duration wait)
		{
			return read_policy(client, where, after, wait);
		};
		platform.instances = [&client, where](platform_version after, duration wait)
		{
			return read_instances(client, where, after, wait);
		};
		return platform;
	}
}
