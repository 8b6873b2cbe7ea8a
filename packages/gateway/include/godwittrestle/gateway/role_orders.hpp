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
	// Orders model engines to change their role, a part of a pool at a time. Only the coordinator gives orders: the
	// daemon with the smallest id of all daemons that it hears. If two daemons both act as coordinator, an engine's own
	// count of orders and the fencing number let only one order through.
	class role_orders
	{
	  public:
		role_orders(asio::any_io_executor executor, instance_id own, shared_state& shared, forwarder& calls,
			call_protocol const& protocol, event_log log);

		// Compares the prefill and decode pools of every model service with the demand and orders a role change when
		// one is due. Waits for the engines' answers.
		[[nodiscard]] asio::awaitable<void> review();

	  private:
		[[nodiscard]] bool may_order(time_point now);
		[[nodiscard]] asio::awaitable<void> review_service(service_id service, token_count capacity);
		[[nodiscard]] asio::awaitable<void> order(routing::server_pointer engine, routing::server_role role);
		// Returns a fencing number above all that this daemon has used or heard of.
		[[nodiscard]] std::uint64_t next_fence();

		asio::any_io_executor executor;
		instance_id own_id;
		shared_state* shared;
		forwarder* calls;
		call_protocol const* protocol;
		event_log log;
		std::optional<time_point> coordinator_since;
		std::optional<time_point> ordered_at;
		std::map<service_id, routing::role_change_debouncer> plans;
	};
}
