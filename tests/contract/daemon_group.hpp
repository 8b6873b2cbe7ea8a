#pragma once

#include <memory>
#include <string>
#include <vector>

#include <godwittrestle/gateway/serving_thread.hpp>
#include <godwittrestle/http/message.hpp>
#include <godwittrestle/routing.hpp>

namespace godwittrestle::testing
{
	// Daemons that know each other, with one route, and without a registry.
	class daemon_group
	{
	  public:
		daemon_group(
			std::size_t count, routing::route const& route, std::vector<routing::registered_server> const& servers);

		// Returns where callers reach the daemons.
		[[nodiscard]] std::vector<http::endpoint> const& addresses() const noexcept
		{
			return this->caller_addresses;
		}

	  private:
		std::vector<http::endpoint> caller_addresses;
		std::vector<std::unique_ptr<gateway::serving_thread>> serving;
	};

	// Returns the registry entry of a server of the service that make_route() names.
	[[nodiscard]] routing::registered_server make_server(
		std::string id, std::string address, routing::server_role role);

	// Sends one request on a connection of its own and returns all bytes received until it closes.
	[[nodiscard]] std::string send_to_daemon(http::endpoint const& where, std::string const& method,
		std::vector<http::header> const& headers, std::string const& body = "");
}
