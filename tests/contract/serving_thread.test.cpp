#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/gateway/serving_thread.hpp>

#include "scripted_http_server.hpp"
#include "test_protocol.hpp"
#include "test_servers.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	gateway::gateway_settings make_settings(duration termination_grace)
	{
		gateway::gateway_settings settings;
		settings.termination_grace = termination_grace;
		settings.instance = instance_id("d1");
		settings.caller_address = free_endpoint();
		settings.readiness_address = free_endpoint();
		settings.peer_address = free_endpoint();
		settings.metrics_address = free_endpoint();
		return settings;
	}

	gateway::platform_adapter make_adapter()
	{
		gateway::platform_adapter adapter;
		adapter.calls = make_test_protocol();
		adapter.readiness_path = "/ready";
		adapter.metrics_path = "/metrics";
		return adapter;
	}

	// Sends one request and returns all bytes that are received until the connection closes.
	std::string send_request(
		http::endpoint const& listen_address, std::string const& path, duration time_left = milliseconds(1400))
	{
		asio::io_context loop;
		tcp::socket socket(loop);
		socket.connect(tcp::endpoint(asio::ip::make_address(listen_address.address), listen_address.port));
		auto const text = fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nAttempt: r1\r\nTime-Left-Ms: {}\r\n"
									  "Connection: close\r\n\r\n",
			path, std::chrono::floor<std::chrono::milliseconds>(time_left).count());
		asio::write(socket, asio::buffer(text));
		std::string received;
		boost::system::error_code read_error;
		asio::read(socket, asio::dynamic_buffer(received), read_error);
		return received;
	}

	// A serving_thread without a registry. The test pushes the registry updates itself.
	class fixture
	{
	  public:
		explicit fixture(duration termination_grace = seconds(8))
			: settings(make_settings(termination_grace))
			, adapter(make_adapter())
			, serving(
				  settings, adapter, [](decide::record_event const&) {}, [] { return 0U; },
				  [this] { this->has_drained = true; })
		{
			this->serving.start();
		}

		// Pushes a configuration with one route and a complete list of servers.
		void publish(std::uint64_t version, std::string prefix, std::vector<routing::registered_server> servers = {})
		{
			auto route = make_route(routing::call_kind::idempotent, 1, false);
			route.prefix = std::move(prefix);
			this->publish(version, std::move(route), std::move(servers));
		}

		void publish(std::uint64_t version, routing::route route, std::vector<routing::registered_server> servers)
		{
			gateway::published_configuration published;
			published.value.version = platform_version(version);
			published.value.routes = {std::move(route)};
			gateway::registry_update update;
			update.is_complete_list = true;
			update.changes.emplace_back(std::move(published));
			std::ranges::move(servers, std::back_inserter(update.changes));
			this->serving.push(std::move(update));
		}

		[[nodiscard]] bool is_ready() const
		{
			return send_request(this->settings.readiness_address, "/ready").starts_with("HTTP/1.1 200");
		}

		gateway::gateway_settings settings;
		gateway::platform_adapter adapter;
		std::atomic<bool> has_drained = false;
		gateway::serving_thread serving;
	};
}

TEST_CASE("a daemon is ready when it has a configuration and servers, and refuses calls before", "[serving_thread]")
{
	fixture fixture;
	REQUIRE_FALSE(fixture.is_ready());
	auto const answer_before = send_request(fixture.settings.caller_address, "/x/y");
	REQUIRE(answer_before.starts_with("HTTP/1.1 503"));
	REQUIRE(answer_before.find("Retry-After: ") != std::string::npos);
	fixture.publish(5, "/x/");
	REQUIRE(fixture.is_ready());
	REQUIRE(send_request(fixture.settings.metrics_address, "/metrics").find("godwittrestle") != std::string::npos);
}

TEST_CASE("an older configuration never replaces a newer one", "[serving_thread]")
{
	fixture fixture;
	fixture.publish(5, "/x/");
	fixture.publish(4, "/z/");
	// The route exists, but no server can serve the call.
	REQUIRE(send_request(fixture.settings.caller_address, "/x/y").starts_with("HTTP/1.1 503"));
	REQUIRE(send_request(fixture.settings.caller_address, "/z/y").starts_with("HTTP/1.1 404"));
	fixture.publish(6, "/z/");
	REQUIRE(send_request(fixture.settings.caller_address, "/x/y").starts_with("HTTP/1.1 404"));
}

TEST_CASE("a draining daemon is not ready, answers the requests that it has read, and then closes its sockets",
	"[serving_thread]")
{
	fixture fixture;
	scripted_http_server silent({});
	routing::registered_server server;
	server.id = server_id("a");
	server.service = service_id("s");
	server.address = http::to_string(silent.listen_address());
	fixture.publish(5, "/x/", {server});
	std::string answer;
	std::thread caller([&] { answer = send_request(fixture.settings.caller_address, "/x/y"); });
	while (silent.calls().empty())
	{
		std::this_thread::yield();
	}
	fixture.serving.drain();
	REQUIRE_FALSE(fixture.is_ready());
	REQUIRE_FALSE(fixture.has_drained);
	caller.join();
	// The server never answers. The request ends at its timeout: draining does not abort it.
	REQUIRE(answer.starts_with("HTTP/1.1 504"));
	auto const give_up_at = daemon::monotonic_now() + seconds(60);
	while (!fixture.has_drained && daemon::monotonic_now() < give_up_at)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	REQUIRE(fixture.has_drained);
	boost::system::error_code refused;
	asio::io_context loop;
	tcp::socket socket(loop);
	std::ignore = socket.connect(
		tcp::endpoint(asio::ip::make_address("127.0.0.1"), fixture.settings.caller_address.port), refused);
	REQUIRE(refused);
}

TEST_CASE("a request that comes late in a planned stop is answered before the process ends", "[late_in_stop]")
{
	auto const kind = GENERATE(routing::call_kind::non_idempotent, routing::call_kind::idempotent);
	fixture fixture(seconds(4));
	scripted_http_server silent({});
	routing::registered_server server;
	server.id = server_id("a");
	server.service = service_id("s");
	server.address = http::to_string(silent.listen_address());
	auto route = make_route(kind, 1, false);
	route.timeout = seconds(30);
	fixture.publish(5, route, {server});
	while (!fixture.is_ready())
	{
		std::this_thread::yield();
	}
	std::string early_answer;
	std::thread early([&] { early_answer = send_request(fixture.settings.caller_address, "/x/y", seconds(30)); });
	fixture.serving.drain();
	std::this_thread::sleep_for(std::chrono::milliseconds(2000));
	// The server never answers, and the caller would wait for far longer than this daemon still runs.
	auto const late_answer = send_request(fixture.settings.caller_address, "/x/y", seconds(30));
	early.join();
	auto const was_in_time = !fixture.has_drained;
	REQUIRE(was_in_time);
	auto const calls = silent.calls();
	// Besides, the daemon asks the silent server for signs of life.
	REQUIRE(std::ranges::count(calls, "GET /x/y") == 2);
	// It may have run, so no status that promises the contrary.
	REQUIRE(early_answer.starts_with("HTTP/1.1 504"));
	REQUIRE(late_answer.starts_with("HTTP/1.1 504"));
	auto const give_up_at = daemon::monotonic_now() + seconds(60);
	while (!fixture.has_drained && daemon::monotonic_now() < give_up_at)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	REQUIRE(fixture.has_drained);
}
