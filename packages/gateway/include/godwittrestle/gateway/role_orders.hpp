#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/forwarder.hpp>
#include <godwittrestle/routing.hpp>

namespace godwittrestle::gateway
{
	// Orders model engines to change their role, a part of them at a time. Only one daemon does: the one with the
	// smallest name of those that it hears. Where two believe to be that one, the engine's own count of orders and the
	// fencing number let one through.
	class role_orders
	{
	  public:
		role_orders(asio::any_io_executor executor, instance_id own, shared_state& shared, forwarder& calls,
			call_protocol const& protocol, event_log log);

		// Looks at the pools of every model service and orders a change when one is due. Waits for the engine's answer.
		[[nodiscard]] asio::awaitable<void> review();

	  private:
		[[nodiscard]] bool may_order(time_point now);
		[[nodiscard]] asio::awaitable<void> review_service(service_id service, token_count capacity);
		[[nodiscard]] asio::awaitable<void> order(routing::server_pointer engine, routing::server_role role);
		// Returns a number above all that this daemon has used or heard of.
		[[nodiscard]] std::uint64_t next_fence();

		asio::any_io_executor executor;
		instance_id own_id;
		shared_state* shared;
		forwarder* calls;
		call_protocol const* protocol;
		event_log log;
		std::optional<time_point> first_since;
		std::optional<time_point> ordered_at;
		std::map<service_id, routing::role_change_debouncer> plans;
	};
}
