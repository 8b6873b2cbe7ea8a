#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// What may be repeated.
	enum class call_kind
	{
		// May run more than once.
		idempotent,
		// Runs at most once for each attempt of the caller.
		non_idempotent,
		// A series of events; runs at most once unless the route is resumable.
		streaming,
	};

	[[nodiscard]] std::string_view to_string(call_kind kind) noexcept;

	// One service of a route and its share of the route's requests.
	struct weighted_service
	{
		service_id service;
		std::uint32_t weight = 1;
	};

	// Where the requests of one host and path prefix go.
	struct route
	{
		std::string name;
		std::string host;
		// Begins and ends with a slash.
		std::string prefix;
		call_kind kind = call_kind::non_idempotent;
		// Longest time that a caller is kept waiting for the whole answer.
		duration timeout{};
		// Time within which an answer (a stream's first event) earns its full worth.
		duration objective{};
		// Longest pause between two events of a stream that is in time; zero for other kinds.
		duration longest_gap{};
		// Time without an event after which callers leave a stream, also before its first event; zero for other kinds.
		duration caller_patience{};
		// 0 is the most urgent.
		std::uint32_t priority = 0;
		// Most backend servers that one attempt of a caller may be sent to.
		std::uint32_t max_servers = 1;
		// Whether a stream may go on at another server after its last event.
		bool resumable = false;
		// At least one.
		std::vector<weighted_service> targets;

		// Whether a call may be sent again although it may have run.
		[[nodiscard]] bool is_repeatable() const noexcept
		{
			return this->kind == call_kind::idempotent || (this->kind == call_kind::streaming && this->resumable);
		}
	};

	// What the engines of a model service can do.
	struct engine_properties
	{
		// Requests that an engine runs at once.
		std::uint32_t slots = 0;
		// Tokens that an engine's memory holds.
		token_count kv_capacity;
		// Tokens that one event of a stream holds.
		std::uint32_t tokens_per_event = 1;
		// Time for which an engine keeps a prefilled KV cache that nobody fetches.
		duration kv_retention{};
		// Longest time for which an engine keeps room for a request that has not come yet; nothing when it keeps none.
		std::optional<duration> longest_reservation;
	};

	struct service
	{
		service_id id;
		std::string health_path;
		// Connections that one server accepts from all daemons together.
		std::uint32_t max_connections = 0;
		// Set for services whose servers are model engines.
		std::optional<engine_properties> engine;
	};

	// What a caller may send, and how slowly.
	struct caller_limits
	{
		std::uint64_t header_bytes = 16'384;
		std::uint64_t body_bytes = 4'194'304;
		duration header_timeout = seconds(3);
		duration idle_timeout = seconds(15);
	};

	// One whole configuration, as the operator published it.
	struct configuration
	{
		platform_version version;
		std::vector<route> routes;
		std::map<service_id, service> services;
		caller_limits limits;
	};

	// Finds the route of a request. Holds the configuration that it was made from.
	class route_table
	{
	  public:
		route_table() = default;
		explicit route_table(configuration config);

		// Returns the route with the longest prefix that begins the path, among those of the host; nothing when none
		// matches. host: without port, any case. path: without query.
		[[nodiscard]] route const* find(std::string_view host, std::string_view path) const;

		// Returns a service's terms; nothing for a service that the configuration does not name.
		[[nodiscard]] service const* find_service(service_id const& id) const;

		[[nodiscard]] std::map<service_id, service> const& services() const noexcept
		{
			return this->config.services;
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
		configuration config;
		// The routes of each host, in lower case, longest prefix first.
		std::map<std::string, std::vector<std::size_t>, std::less<>> by_host;
	};

	// Chooses a service of a route by its weights. draw: a uniform number from 0 up to but not including 1.
	[[nodiscard]] service_id const& choose_service(route const& chosen, double draw);
}
