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

#include "plain_protocol.hpp"
#include "scripted_calls.hpp"
#include "scripted_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	http::endpoint free_endpoint()
	{
		asio::io_context loop;
		tcp::acceptor const acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
		return {"127.0.0.1", acceptor.local_endpoint().port()};
	}

	gateway::gateway_settings make_settings()
	{
		gateway::gateway_settings settings;
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
		adapter.calls = make_plain_protocol();
		adapter.readiness_path = "/ready";
		adapter.metrics_path = "/metrics";
		return adapter;
	}

	// Sends one request and returns all that comes back until the connection closes.
	std::string ask(http::endpoint const& where, std::string const& path)
	{
		asio::io_context loop;
		tcp::socket socket(loop);
		socket.connect(tcp::endpoint(asio::ip::make_address(where.address), where.port));
		auto const text = fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nAttempt: r1\r\nTime-Left-Ms: 1400\r\n"
									  "Connection: close\r\n\r\n",
			path);
		asio::write(socket, asio::buffer(text));
		std::string received;
		boost::system::error_code ended;
		asio::read(socket, asio::dynamic_buffer(received), ended);
		return received;
	}

	// The thread that serves callers, without a registry: the test tells what it would have learnt.
	class scene
	{
	  public:
		scene()
			: settings(make_settings())
			, adapter(make_adapter())
			, serving(
				  settings, adapter, [](decide::record_event const&) {}, [] { return 0U; },
				  [this] { this->has_drained = true; })
		{
			this->serving.start();
		}

		// Tells a configuration with one route, and a whole list of servers.
		void publish(std::uint64_t version, std::string prefix, std::vector<routing::registered_server> servers = {})
		{
			gateway::published_configuration published;
			published.value.version = platform_version(version);
			published.value.routes = {make_route(routing::call_kind::idempotent, 1, false)};
			published.value.routes.front().prefix = std::move(prefix);
			gateway::registry_update update;
			update.is_complete_list = true;
			update.changes.emplace_back(std::move(published));
			std::ranges::move(servers, std::back_inserter(update.changes));
			this->serving.push(std::move(update));
		}

		[[nodiscard]] bool is_ready() const
		{
			return ask(this->settings.readiness_address, "/ready").starts_with("HTTP/1.1 200");
		}

		gateway::gateway_settings settings;
		gateway::platform_adapter adapter;
		std::atomic<bool> has_drained = false;
		gateway::serving_thread serving;
	};
}

TEST_CASE("a daemon is ready once it knows configuration and servers, and refuses before", "[traffic]")
{
	scene scene;
	REQUIRE_FALSE(scene.is_ready());
	auto const early = ask(scene.settings.caller_address, "/x/y");
	REQUIRE(early.starts_with("HTTP/1.1 503"));
	REQUIRE(early.find("Retry-After: ") != std::string::npos);
	scene.publish(5, "/x/");
	REQUIRE(scene.is_ready());
	REQUIRE(ask(scene.settings.metrics_address, "/metrics").find("godwittrestle") != std::string::npos);
}

TEST_CASE("an older configuration never replaces a newer one", "[traffic]")
{
	scene scene;
	scene.publish(5, "/x/");
	scene.publish(4, "/z/");
	// No server can take it, but there is a route.
	REQUIRE(ask(scene.settings.caller_address, "/x/y").starts_with("HTTP/1.1 503"));
	REQUIRE(ask(scene.settings.caller_address, "/z/y").starts_with("HTTP/1.1 404"));
	scene.publish(6, "/z/");
	REQUIRE(ask(scene.settings.caller_address, "/x/y").starts_with("HTTP/1.1 404"));
}

TEST_CASE("a daemon that drains is not ready, answers what it has read, and then ends", "[traffic]")
{
	scene scene;
	scripted_calls silent({});
	routing::registered_server server;
	server.id = server_id("a");
	server.service = service_id("s");
	server.address = http::to_string(silent.where());
	scene.publish(5, "/x/", {server});
	std::string answer;
	std::thread caller([&] { answer = ask(scene.settings.caller_address, "/x/y"); });
	while (silent.calls().empty())
	{
		std::this_thread::yield();
	}
	scene.serving.drain();
	REQUIRE_FALSE(scene.is_ready());
	REQUIRE_FALSE(scene.has_drained);
	caller.join();
	// The server never answers: the request ends at its timeout, not with the daemon.
	REQUIRE(answer.starts_with("HTTP/1.1 504"));
	auto const ends_at = daemon::monotonic_now() + seconds(60);
	while (!scene.has_drained && daemon::monotonic_now() < ends_at)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	REQUIRE(scene.has_drained);
	boost::system::error_code refused;
	asio::io_context loop;
	tcp::socket socket(loop);
	std::ignore =
		socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), scene.settings.caller_address.port), refused);
	REQUIRE(refused);
}
