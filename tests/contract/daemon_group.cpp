#include "daemon_group.hpp"

#include <algorithm>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "test_protocol.hpp"
#include "test_servers.hpp"

namespace godwittrestle::testing
{
	namespace
	{
		namespace asio = boost::asio;
		using asio::ip::tcp;

		gateway::registry_update make_update(
			routing::route const& route, std::vector<routing::registered_server> const& servers)
		{
			gateway::published_configuration published;
			published.value.version = platform_version(1);
			published.value.routes = {route};
			gateway::registry_update update;
			update.is_complete_list = true;
			update.changes.emplace_back(std::move(published));
			std::ranges::for_each(
				servers, [&](routing::registered_server const& each) { update.changes.emplace_back(each); });
			return update;
		}
	}

	daemon_group::daemon_group(
		std::size_t count, routing::route const& route, std::vector<routing::registered_server> const& servers)
	{
		std::vector<http::endpoint> peers(count);
		std::ranges::generate(peers, free_endpoint);
		for (std::size_t number = 0; number < count; ++number)
		{
			gateway::gateway_settings settings;
			settings.instance = instance_id(fmt::format("d{}", number));
			settings.caller_address = free_endpoint();
			settings.readiness_address = free_endpoint();
			settings.peer_address = peers[number];
			settings.metrics_address = free_endpoint();
			settings.seeds = peers;
			settings.retries = {0.2, seconds(10), 50};
			gateway::platform_adapter adapter;
			adapter.calls = make_test_protocol();
			this->caller_addresses.push_back(settings.caller_address);
			this->serving.push_back(std::make_unique<gateway::serving_thread>(
				settings, adapter, [](decide::record_event const&) {}, [] { return 0U; }, [] {}));
			this->serving.back()->start();
			this->serving.back()->push(make_update(route, servers));
		}
	}

	routing::registered_server make_server(std::string id, std::string address, routing::server_role role)
	{
		constexpr std::uint32_t slots = 64;
		routing::registered_server server;
		server.id = server_id(std::move(id));
		server.service = service_id("s");
		server.address = std::move(address);
		server.role = role;
		server.slots = slots;
		return server;
	}

	std::string send_to_daemon(http::endpoint const& where, std::string const& method,
		std::vector<http::header> const& headers, std::string const& body)
	{
		asio::io_context loop;
		tcp::socket socket(loop);
		socket.connect(tcp::endpoint(asio::ip::make_address(where.address), where.port));
		auto text = fmt::format("{} /x/y HTTP/1.1\r\nHost: a.example\r\nTime-Left-Ms: 1400\r\nContent-Length: {}\r\n"
								"Connection: close\r\n",
			method, body.size());
		for (auto const& each : headers)
		{
			text += fmt::format("{}: {}\r\n", each.name, each.value);
		}
		text += "\r\n" + body;
		asio::write(socket, asio::buffer(text));
		std::string received;
		boost::system::error_code read_error;
		asio::read(socket, asio::dynamic_buffer(received), read_error);
		return received;
	}
}
