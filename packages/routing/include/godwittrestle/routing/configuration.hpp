#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/account.hpp>

namespace godwittrestle::routing
{
	// States whether calls of a route may be repeated.
	enum class call_kind
	{
		// A call may run more than once.
		idempotent,
		// A call runs at most once for each attempt of the caller.
		non_idempotent,
		// The response is a stream of events. A call runs at most once, unless the route is resumable.
		streaming,
	};

	[[nodiscard]] std::string_view to_string(call_kind kind) noexcept;

	// A service of a route with its weight. The service gets weight / (sum of all weights) of the requests.
	struct weighted_service
	{
		service_id service;
		std::uint32_t weight = 1;
	};

	// Describes how requests for one host and path prefix are routed.
	struct route
	{
		std::string name;
		std::string host;
		// Begins and ends with a slash.
		std::string prefix;
		call_kind kind = call_kind::non_idempotent;
		// Longest time until the whole answer must have been sent to the caller.
		duration timeout{};
		// Time within which an answer, or the first event of a stream, meets the service objective.
		duration objective{};
		// Longest gap between two events of a stream that still meets the objective; zero for other kinds.
		duration longest_gap{};
		// Time without an event after which a caller abandons a stream; it also applies before the first event. Zero
		// for other kinds.
		duration caller_patience{};
		// 0 is the highest priority.
		std::uint32_t priority = 0;
		// Maximum number of backend servers to which one attempt of a caller may be sent.
		std::uint32_t max_servers = 1;
		// Whether another server may continue a stream after its last event.
		bool resumable = false;
		// Whether callers without a key are served although the configuration has accounts.
		bool is_key_optional = false;
		// Holds at least one service.
		std::vector<weighted_service> targets;

		// Returns whether a call may be sent again although it may already have run.
		[[nodiscard]] bool is_repeatable() const noexcept
		{
			return this->kind == call_kind::idempotent || (this->kind == call_kind::streaming && this->resumable);
		}
	};

	// Properties of the engines of a model service.
	struct engine_properties
	{
		// Maximum number of requests that an engine runs at once.
		std::uint32_t slots = 0;
		// Capacity of an engine's KV cache, in tokens.
		token_count kv_capacity;
		// Tokens in one event of a stream.
		std::uint32_t tokens_per_event = 1;
		// Time for which an engine keeps a prefilled KV cache that no other engine fetches.
		duration kv_retention{};
		// Longest time for which an engine reserves memory for a request that has not arrived yet; no value when the
		// engine accepts no reservations.
		std::optional<duration> longest_reservation;
	};

	struct service
	{
		service_id id;
		std::string health_path;
		// Maximum number of connections that one server accepts from all daemons together.
		std::uint32_t max_connections = 0;
		// Set only for services whose servers are model engines.
		std::optional<engine_properties> engine;
	};

	// Limits on the size of callers' requests and on how long a caller may take to send them.
	struct caller_limits
	{
		std::uint64_t header_bytes = 16'384;
		std::uint64_t body_bytes = 4'194'304;
		duration header_timeout = seconds(3);
		duration idle_timeout = seconds(15);
	};

	// A complete configuration, as the operator published it.
	struct configuration
	{
		platform_version version;
		std::vector<route> routes;
		std::map<service_id, service> services;
		caller_limits limits;
		// Nothing when callers show no keys. While there is a list, an empty one too, a key of it is asked for.
		std::optional<std::vector<client_account>> accounts;
	};

	// Finds the route of a request in the configuration given to the constructor.
	class route_table
	{
	  public:
		route_table() = default;
		explicit route_table(configuration config);

		// Returns the route of this host with the longest prefix that the path starts with, or nullptr when none
		// matches. host: without port, in any case. path: without query.
		[[nodiscard]] route const* find(std::string_view host, std::string_view path) const;

		// Returns the configuration of a service, or nullptr when the configuration does not name it.
		[[nodiscard]] service const* find_service(service_id const& id) const;

		[[nodiscard]] std::map<service_id, service> const& services() const noexcept
		{
			return this->config.services;
		}

		// Returns the longest timeout of the routes that stream; zero when there are none.
		[[nodiscard]] duration longest_stream() const;

		// Returns the services that share a route that streams with another service: at which of them a stream of the
		// route began can't be told from the route.
		[[nodiscard]] std::set<service_id> services_of_split_streams() const;

		// Returns whether a route that streams leads to the service.
		[[nodiscard]] bool streams_to(service_id const& service) const;

		// Returns whether the calls that may reach the service differ in priority.
		[[nodiscard]] bool has_priorities(service_id const& service) const
		{
			return this->services_with_priorities.contains(service);
		}

		[[nodiscard]] account_table const& accounts() const noexcept
		{
			return this->client_accounts;
		}

		[[nodiscard]] platform_version version() const noexcept
		{
			return this->config.version;
		}

		[[nodiscard]] caller_limits const& limits() const noexcept
		{
			return this->config.limits;
		}

	  private:
		[[nodiscard]] std::set<service_id> find_services_with_priorities() const;

		configuration config;
		account_table client_accounts;
		std::set<service_id> services_with_priorities;
		// Positions in config.routes for each host name in lower case, longest prefix first.
		std::map<std::string, std::vector<std::size_t>, std::less<>> by_host;
	};

	// Returns one of the route's services, chosen by weight. draw: a uniform random number in [0, 1).
	[[nodiscard]] service_id const& choose_service(route const& chosen, double draw);
}
