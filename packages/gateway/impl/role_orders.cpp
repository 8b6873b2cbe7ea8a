#include <godwittrestle/gateway/role_orders.hpp>

#include <algorithm>
#include <ranges>

#include <fmt/format.h>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/wall_clock.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		using daemon::monotonic_now;

		// Time that a daemon waits after it becomes the coordinator, so that it hears from the other daemons and the
		// orders of the previous coordinator are carried out.
		constexpr duration settling_time = seconds(4);
		constexpr duration order_interval = seconds(4);
		// Upper bound for a role change. An engine completes its running work before it changes its role.
		constexpr duration max_role_change_time = seconds(20);
		constexpr duration order_timeout = milliseconds(400);
		constexpr unsigned status_ok = 200;
		constexpr unsigned status_accepted = 202;
		constexpr unsigned status_fence_refused = 412;
		// A fencing number is a time in seconds times this number, plus a part that depends on the daemon's id. The
		// time is the wall-clock time, or the second after that of the highest known fencing number if this is later.
		constexpr std::uint64_t fences_per_second = 4096;
		// Seconds by which fencing numbers are advanced after an engine has refused one as too low.
		constexpr std::uint64_t fence_skip_seconds = 3600;
	}

	role_orders::role_orders(asio::any_io_executor io_executor, instance_id own, shared_state& state, forwarder& sender,
		call_protocol const& calls_protocol, event_log event_sink)
		: executor(std::move(io_executor))
		, own_id(std::move(own))
		, shared(&state)
		, calls(&sender)
		, protocol(&calls_protocol)
		, log(std::move(event_sink))
	{
	}

	asio::awaitable<void> role_orders::review()
	{
		if (!this->shared->routes || !this->may_order(monotonic_now()))
		{
			co_return;
		}
		auto const routes = this->shared->routes;
		for (auto const& [id, service] : routes->services())
		{
			if (service.engine)
			{
				co_await this->review_service(id, service.engine->kv_capacity);
			}
		}
	}

	bool role_orders::may_order(time_point now)
	{
		if (!this->shared->is_coordinator)
		{
			this->coordinator_since.reset();
			return false;
		}
		this->coordinator_since = this->coordinator_since.value_or(now);
		auto const is_settled = now - *this->coordinator_since >= settling_time;
		return is_settled && (!this->ordered_at || now - *this->ordered_at >= order_interval);
	}

	asio::awaitable<void> role_orders::review_service(service_id service, token_count capacity)
	{
		auto const now = monotonic_now();
		auto const prefill = this->shared->servers.candidates(service, routing::server_role::prefill, now);
		auto const decode = this->shared->servers.candidates(service, routing::server_role::decode, now);
		auto const pools = this->shared->servers.pools(service, now);
		auto const& observed = this->shared->observed[service];
		auto const speed = observed.speed.speed(observed.demand.prompt(), duration{});
		auto const plan = observed.speed.is_known()
							  ? routing::choose_role_change(pools, observed.demand, speed, capacity)
							  : routing::role_plan{};
		if (!this->plans[service].should_order(plan.change, pools, now))
		{
			co_return;
		}
		this->ordered_at = now;
		this->log(make_event("server_roles_planned",
			{{"service", service.str()}, {"change", std::string(routing::to_string(plan.change))},
				{"engines", std::to_string(plan.engines)}, {"prefill_engines", std::to_string(pools.prefill)},
				{"decode_engines", std::to_string(pools.decode)},
				{"prefill_ms", fmt::format("{:.1f}", observed.demand.prefill_ms(speed))},
				{"decode_ms", fmt::format("{:.1f}", observed.demand.decode_ms(capacity))}}));
		auto const to_decode = plan.change == routing::role_change::prefill_to_decode;
		auto engines = to_decode ? prefill : decode;
		std::ranges::sort(engines, {},
			[now](routing::server_pointer const& each)
			{
				auto const load = each->load.total(now);
				return std::pair(each->health.is_suspect(now), load.committed + load.to_prefill);
			});
		auto const role = to_decode ? routing::server_role::decode : routing::server_role::prefill;
		for (auto const& engine : engines | std::views::take(plan.engines))
		{
			co_await this->order(engine, role);
		}
	}

	asio::awaitable<void> role_orders::order(routing::server_pointer engine, routing::server_role role)
	{
		auto ask = this->protocol->write_report_request(engine->entry.id);
		auto const answer = co_await this->calls->call_server(engine, std::move(ask), order_timeout);
		auto const report = answer && answer->status == status_ok ? this->protocol->read_report(answer->body)
																  : std::optional<engine_report>();
		if (!report || report->is_busy)
		{
			co_return;
		}
		role_order wanted;
		wanted.server = engine->entry.id;
		wanted.role = role;
		wanted.holder = this->own_id;
		wanted.fence = this->next_fence();
		wanted.orders_before = report->orders;
		auto message = this->protocol->write_order(wanted);
		auto const reply = co_await this->calls->call_server(engine, std::move(message), order_timeout);
		auto const is_accepted = reply && (reply->status == status_accepted || reply->status == status_ok);
		if (reply && reply->status == status_fence_refused)
		{
			// The engine has seen a higher number in an order of a daemon that has left and whose clock was ahead.
			this->shared->highest_fence += fence_skip_seconds * fences_per_second;
		}
		if (is_accepted)
		{
			engine->note_pending_role_change({role, monotonic_now() + max_role_change_time});
		}
		this->log(make_event("server_role_ordered",
			{{"server", engine->entry.id.str()}, {"role", std::string(routing::to_string(role))},
				{"fence", std::to_string(wanted.fence)}, {"status", reply ? std::to_string(reply->status) : "none"},
				{"taken", is_accepted ? "yes" : "no"}}));
	}

	std::uint64_t role_orders::next_fence()
	{
		constexpr std::uint64_t microseconds_per_second = 1'000'000;
		auto const own_part = std::hash<instance_id>{}(this->own_id) % fences_per_second;
		auto const by_clock = daemon::wall_clock_us() / microseconds_per_second;
		auto const next_unused = this->shared->highest_fence / fences_per_second + 1;
		this->shared->highest_fence = std::max(by_clock, next_unused) * fences_per_second + own_part;
		return this->shared->highest_fence;
	}
}
