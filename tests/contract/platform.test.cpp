#include <catch2/catch.hpp>

#include <godwittrestle/daemon/platform.hpp>
#include <godwittrestle/http/server.hpp>

#include "standin.hpp"
#include "test_servers.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	namespace asio = boost::asio;
	using after_response = fixed_response_server::after_response;

	http::endpoint endpoint_of(std::string const& address)
	{
		return http::parse_endpoint(address, "").value();
	}
}

TEST_CASE("the platform client and the stand-in agree on unchanged values and on new versions", "[platform]")
{
	asio::io_context loop{1};
	auto const target = standins::make_platform(loop);
	http::server server(loop.get_executor(), {"127.0.0.1", 0}, {},
		[&](http::request message, http::exchange& http_exchange)
		{ return target->handle(std::move(message), http_exchange); });
	server.start();
	http::endpoint const where{"127.0.0.1", server.port()};
	http::client client(loop.get_executor());
	auto const platform = daemon::make_http_platform(client, where);

	auto const nothing = run_to_end(loop, platform.instances({}, milliseconds(50)));
	REQUIRE(nothing.is_answered);
	REQUIRE_FALSE(nothing.value);

	http::request put{"PUT", "/v1/values/instances", {}, R"({"daemons": [], "servers": []})"};
	REQUIRE(std::holds_alternative<http::response>(run_to_end(loop, client.call(where, put, {}))));
	auto const first = run_to_end(loop, platform.instances({}, seconds(5)));
	REQUIRE(first.value);
	REQUIRE(first.value->list.version == platform_version(1));
	auto const same = run_to_end(loop, platform.instances(platform_version(1), milliseconds(50)));
	REQUIRE(same.is_answered);
	REQUIRE_FALSE(same.value);
}

TEST_CASE("an invalid answer of the platform counts as no answer", "[platform]")
{
	struct row
	{
		char const* name;
		std::string bytes;
		after_response end;
	};
	std::vector<row> const table{
		{"closes", "", after_response::closes},
		{"silent", "", after_response::stays_silent},
		{"not HTTP", "hello", after_response::closes},
		{"no version", http_answer("200 OK", "", "{}"), after_response::closes},
		{"version that is not a number", http_answer("200 OK", "X-Version: x\r\n", "{}"), after_response::closes},
		{"error", http_answer("500 No", "X-Version: 3\r\n", "{}"), after_response::closes},
	};
	for (auto const& each : table)
	{
		CAPTURE(each.name);
		asio::io_context loop{1};
		fixed_response_server const server(loop, each.bytes, each.end);
		http::client client(loop.get_executor());
		auto const platform = daemon::make_http_platform(client, endpoint_of(server.address()));
		REQUIRE_FALSE(run_to_end(loop, platform.policy({}, milliseconds(50))).is_answered);
	}
}

TEST_CASE("an invalid policy is reported with its fault, an invalid instance list is ignored", "[platform]")
{
	asio::io_context loop{1};
	fixed_response_server const server(
		loop, http_answer("200 OK", "X-Version: 4\r\n", "{\"nonsense\": 1}"), after_response::closes);
	http::client client(loop.get_executor());
	auto const platform = daemon::make_http_platform(client, endpoint_of(server.address()));
	auto const read = run_to_end(loop, platform.policy({}, milliseconds(50)));
	REQUIRE(read.value);
	REQUIRE(read.value->version == platform_version(4));
	REQUIRE_FALSE(read.value->fault.empty());
	REQUIRE_FALSE(run_to_end(loop, platform.instances({}, milliseconds(50))).value);
}

TEST_CASE("each fault of an instance list is reported with its path", "[platform]")
{
	std::vector<std::pair<std::string, std::string>> const table{
		{"[]", ""},
		{"{}", "daemons"},
		{R"({"daemons": 1, "servers": []})", "daemons"},
		{R"({"daemons": [1], "servers": []})", "daemons[0]"},
		{R"({"daemons": [{"id": "a"}], "servers": []})", "daemons[0].data_centre"},
		{R"({"daemons": [{"id": "a", "data_centre": "b", "peer_address": "host:1"}], "servers": []})",
			"daemons[0].peer_address"},
		{R"({"daemons": [], "servers": [{"id": "a", "data_centre": "b", "pool": "c"}]})", "servers[0].address"},
	};
	for (auto const& [text, path] : table)
	{
		CAPTURE(text);
		auto const seen = handle_failure(
			[&]() -> result<std::string>
			{
				BOOST_LEAF_CHECK(daemon::parse_instances(platform_version(1), text));
				return std::string("no fault");
			},
			[](failure const& error) { return error.path; });
		REQUIRE(seen == path);
	}
}
