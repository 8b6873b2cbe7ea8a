#include <godwittrestle/gateway/serving_thread.hpp>

#include <algorithm>
#include <iterator>
#include <new>
#include <ranges>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/exception.hpp>
#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/wall_clock.hpp>
#include <godwittrestle/decide/rendezvous.hpp>

#include "crash_messages.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		using daemon::monotonic_now;

		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		constexpr std::size_t update_ring_capacity = 256;
		constexpr std::size_t peer_ring_capacity = 1024;
		constexpr duration maintenance_interval = milliseconds(250);
		// Time within which the platform's load balancer notices that a daemon is not ready.
		constexpr duration balancer_delay = milliseconds(2500);
		constexpr duration role_review_interval = milliseconds(500);
		constexpr duration drain_poll = milliseconds(50);
		// Requests that still run this long before SIGKILL are aborted.
		constexpr duration exit_margin = milliseconds(1000);
		// Time for the last answers, within exit_margin.
		constexpr duration last_answers_time = milliseconds(400);
		// A server that leaves a call unanswered for longer than this counts as not heard.
		constexpr duration max_unanswered_time = milliseconds(400);
		// Retry-After of a request that comes at the end of the grace: other instances take it at once.
		constexpr duration retry_elsewhere_delay = milliseconds(20);
		// Time after its start in which a daemon that has heard of no other may not be alone.
		constexpr duration discovery_time = milliseconds(1500);
		constexpr unsigned not_ready = 503;
		// Limits of the listeners for readiness and metrics, whose requests have no body.
		constexpr std::size_t max_probe_body_bytes = 4'096;
		constexpr std::size_t max_probe_connections = 256;
		constexpr std::size_t max_probe_memory = 1'000'000;

		http::server_limits probe_limits()
		{
			http::server_limits limits;
			limits.body_bytes = max_probe_body_bytes;
			limits.connections = max_probe_connections;
			limits.memory_bytes = max_probe_memory;
			return limits;
		}
		constexpr unsigned not_found = 404;

		http::server_limits to_server_limits(routing::caller_limits const& limits, gateway_settings const& settings)
		{
			http::server_limits converted;
			converted.header_bytes = limits.header_bytes;
			converted.body_bytes = limits.body_bytes;
			converted.header_timeout = limits.header_timeout;
			converted.idle_timeout = limits.idle_timeout;
			converted.memory_bytes = settings.caller_memory;
			converted.connections = settings.caller_connections;
			return converted;
		}

		// Returns the longest time between two answers of the registry while it can be read.
		duration longest_view_age(gateway_settings const& settings)
		{
			constexpr duration margin = milliseconds(600);
			auto const& timing = settings.registry;
			return std::max(settings.servers.entry_lifetime, timing.wait + timing.max_batching_delay + margin);
		}

		shared_state make_shared_state(gateway_settings const& settings)
		{
			shared_state state;
			state.own_id = settings.instance;
			state.servers = routing::directory(settings.servers);
			state.view = routing::registry_view(longest_view_age(settings));
			state.registry_reads_per_second = settings.registry.reads_per_second;
			state.retries = settings.retries;
			state.data_centre = settings.data_centre;
			state.crashes = routing::crash_evidence(settings.crashes);
			state.caller_address = http::to_string(settings.caller_address);
			state.origins = routing::stream_origins(settings.instance, decide::rank);
			state.account_issuer = routing::quota_issuer(settings.instance, decide::rank, settings.limits);
			state.discovery_ends_at = monotonic_now() + discovery_time;
			if (settings.is_first_start)
			{
				state.versions.note_complete_since(time_point{});
			}
			return state;
		}
	}

	serving_thread::serving_thread(gateway_settings const& given_settings, platform_adapter const& given_adapter,
		event_log event_sink, std::function<std::uint64_t()> dropped, std::function<void()> drained)
		: settings(given_settings)
		, adapter(given_adapter)
		, log(std::move(event_sink))
		, dropped_lines(std::move(dropped))
		, on_drained(std::move(drained))
		, started(daemon::wall_clock_us())
		, thread(std::make_unique<daemon::io_thread>(
			  [this](std::string error) { this->record_exception("handler", std::move(error)); }))
		, updates(update_ring_capacity, this->thread->context(),
			  [this](registry_update&& update) { this->apply_update(std::move(update)); })
		, shared(make_shared_state(given_settings))
		, permits(this->shared,
			  {given_settings.instance, this->started, http::to_string(given_settings.peer_address),
				  [this](decide::send_peer message) { this->peers.push(std::move(message)); }},
			  this->log)
		, origins(this->shared,
			  {given_settings.instance, this->started, http::to_string(given_settings.peer_address),
				  [this](decide::send_peer message) { this->peers.push(std::move(message)); }},
			  this->log)
		, quotas(this->shared,
			  {given_settings.instance, this->started, http::to_string(given_settings.peer_address),
				  [this](decide::send_peer message) { this->peers.push(std::move(message)); }},
			  this->log)
		, request_forwarder(this->thread->context().get_executor(), this->shared,
			  {&this->permits, &this->origins, &this->quotas}, given_adapter.calls, this->totals, this->log)
		, peer_messages(peer_ring_capacity, this->thread->context(),
			  [this](wire::PeerMessage&& message) { this->receive(message); })
		, peers({given_settings.peer_address, {}, {}, peer_ring_capacity},
			  {[this](wire::PeerMessage message)
				  {
					  // Drops the message when the ring is full: notices are sent again regularly.
					  std::ignore = this->peer_messages.try_push(message);
				  },
				  [](instance_id const&) {
				  }})
		, exchange(given_settings.instance, this->started,
			  http::to_string(given_settings.peer_address), this->shared,
			  {[this](decide::send_peer message) { this->peers.push(std::move(message)); },
				  [this](std::string text) { this->apply_configuration_text(std::move(text)); },
				  [this](std::vector<routing::registered_server> servers) { this->apply_servers(std::move(servers)); },
				  [this]
				  {
					  return this->request_forwarder.draw();
				  }},
			  this->log)
		, orders(this->thread->context().get_executor(), given_settings.instance, this->shared, this->request_forwarder,
			  this->adapter.calls, this->log)
	{
		this->set_seeds(given_settings.seeds);
	}

	serving_thread::~serving_thread()
	{
		this->stop();
		this->callers.reset();
		this->readiness.reset();
		this->metrics.reset();
		this->request_forwarder.close_connections();
		this->thread.reset();
	}

	void serving_thread::start()
	{
		auto const executor = this->thread->context().get_executor();
		this->callers = std::make_unique<http::server>(
			executor, this->settings.caller_address, to_server_limits(routing::caller_limits{}, this->settings),
			[this](http::request message, http::exchange& http_exchange)
			{ return this->serve_caller(std::move(message), http_exchange); },
			http::server_hooks{[this](http::unread_reason reason, http::request const& head)
				{ this->record_unread(reason, head); },
				[this](std::string_view error)
				{
					this->record_exception("connection", std::string(error));
				}});
		this->readiness = std::make_unique<http::server>(executor, this->settings.readiness_address, probe_limits(),
			[this](http::request message, http::exchange& http_exchange)
			{ return this->answer_readiness(std::move(message), http_exchange); });
		this->metrics = std::make_unique<http::server>(executor, this->settings.metrics_address, probe_limits(),
			[this](http::request message, http::exchange& http_exchange)
			{ return this->answer_metrics(std::move(message), http_exchange); });
		this->callers->start();
		this->readiness->start();
		this->metrics->start();
		asio::co_spawn(this->thread->context(), this->run_maintenance(), asio::detached);
		asio::co_spawn(this->thread->context(), this->exchange_with_peers(), asio::detached);
		asio::co_spawn(this->thread->context(), this->review_roles(), asio::detached);
		this->peers.start();
		this->thread->start();
	}

	void serving_thread::stop()
	{
		this->updates.close();
		this->peer_messages.close();
		this->peers.stop();
		this->thread->stop();
	}

	void serving_thread::set_registry_reader(registry_reader reader)
	{
		this->request_forwarder.set_registry_reader(std::move(reader));
	}

	void serving_thread::push(registry_update update)
	{
		this->updates.push(std::move(update));
	}

	void serving_thread::apply(gateway_settings changed)
	{
		asio::post(this->thread->context(),
			[this, changed = std::move(changed)]
			{
				this->settings = changed;
				this->shared.retries = changed.retries;
				this->set_seeds(changed.seeds);
				this->log_event("settings_reloaded", {});
			});
	}

	void serving_thread::drain()
	{
		asio::post(this->thread->context(),
			[this]
			{
				if (std::exchange(this->is_draining, true))
				{
					return;
				}
				this->log_event("draining", {{"running", std::to_string(this->request_forwarder.running())}});
				this->shared.shutdown_deadline = monotonic_now() + this->settings.termination_grace - exit_margin;
				this->callers->drain();
				this->exchange.announce_leaving(this->registry_state, monotonic_now());
				asio::co_spawn(this->thread->context(), this->finish_drain(), asio::detached);
			});
	}

	void serving_thread::count_registry_call(std::string_view outcome)
	{
		this->totals.count_registry_call(outcome);
	}

	void serving_thread::receive(wire::PeerMessage const& message)
	{
		auto const now = monotonic_now();
		if (!this->permits.receive(message, now) && !this->origins.receive(message, now) &&
			!this->quotas.receive(message, now))
		{
			this->exchange.receive(message, this->registry_state, now);
		}
	}

	void serving_thread::apply_update(published_configuration&& published)
	{
		auto const version = published.value.version;
		if (this->shared.routes && this->shared.routes->version() >= version)
		{
			return;
		}
		auto const begun = monotonic_now();
		auto const before = this->shared.routes ? std::to_string(this->shared.routes->version().count()) : "none";
		auto const routes = published.value.routes.size();
		this->shared.routes = std::make_shared<routing::route_table const>(std::move(published.value));
		this->shared.longest_stream = this->shared.routes->longest_stream();
		this->callers->set_limits(to_server_limits(this->shared.routes->limits(), this->settings));
		this->totals.set_configuration(version.count());
		this->registry_state.version = version;
		this->registry_state.configuration_text = std::move(published.text);
		this->log_event("configuration_in_force",
			{{"version", std::to_string(version.count())}, {"before", before}, {"routes", std::to_string(routes)},
				{"bytes", std::to_string(this->registry_state.configuration_text.size())},
				{"took_ms", fmt::format("{:.1f}", to_milliseconds(monotonic_now() - begun))}});
	}

	asio::awaitable<void> serving_thread::exchange_with_peers()
	{
		asio::steady_timer timer(this->thread->context());
		while (true)
		{
			auto next_due = maintenance_interval;
			this->run_step(
				"peer_exchange", [&] { next_due = this->exchange.send_due(this->registry_state, monotonic_now()); });
			timer.expires_after(next_due);
			std::ignore = co_await timer.async_wait(token);
		}
	}

	asio::awaitable<void> serving_thread::review_roles()
	{
		asio::steady_timer timer(this->thread->context());
		while (true)
		{
			timer.expires_after(role_review_interval);
			std::ignore = co_await timer.async_wait(token);
			try
			{
				co_await this->orders.review();
			}
			catch (...)
			{
				this->record_exception("role_review", describe_current_exception());
			}
		}
	}

	void serving_thread::set_seeds(std::vector<http::endpoint> const& seeds)
	{
		std::vector<std::string> addresses;
		std::ranges::transform(
			seeds, std::back_inserter(addresses), [](http::endpoint const& each) { return http::to_string(each); });
		this->exchange.set_seeds(std::move(addresses));
	}

	asio::awaitable<void> serving_thread::serve_caller(http::request message, http::exchange& http_exchange)
	{
		if (!this->has_ended_requests)
		{
			co_await this->request_forwarder.serve(std::move(message), http_exchange);
			co_return;
		}
		auto answer = http::make_error(
			not_ready, "refused", "this instance stops", "send it again at once: other instances take it");
		answer.headers.push_back(this->adapter.calls.retry_after(retry_elsewhere_delay));
		auto const call = this->adapter.calls.read_call(message);
		this->log(make_event("request_refused",
			{{"status", std::to_string(answer.status)}, {"reason", "this instance stops"}}, call.attempt));
		std::ignore = co_await http_exchange.reply(std::move(answer));
	}

	void serving_thread::record_unread(http::unread_reason reason, http::request const& head)
	{
		this->totals.count_unanswered_request(http::to_string(reason));
		this->log(make_event("request_unread",
			{{"reason", std::string(http::to_string(reason))}, {"path", std::string(head.path())}},
			this->adapter.calls.read_call(head).attempt));
	}

	asio::awaitable<void> serving_thread::answer_readiness(http::request message, http::exchange& http_exchange)
	{
		http::response answer;
		answer.status = this->is_ready() ? answer.status : not_ready;
		if (message.path() != this->adapter.readiness_path)
		{
			answer.status = not_found;
		}
		std::ignore = co_await http_exchange.reply(std::move(answer));
	}

	asio::awaitable<void> serving_thread::answer_metrics(http::request message, http::exchange& http_exchange)
	{
		http::response answer;
		if (message.path() == this->adapter.metrics_path)
		{
			this->totals.set_dropped_log_lines(this->dropped_lines());
			answer.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
			answer.body = this->totals.render();
		}
		else
		{
			answer.status = not_found;
		}
		std::ignore = co_await http_exchange.reply(std::move(answer));
	}

	asio::awaitable<void> serving_thread::run_maintenance()
	{
		asio::steady_timer timer(this->thread->context());
		while (true)
		{
			auto const due = monotonic_now() + maintenance_interval;
			timer.expires_after(maintenance_interval);
			std::ignore = co_await timer.async_wait(token);
			auto const now = monotonic_now();
			this->totals.observe_loop_delay(now - due);
			this->run_step("maintenance", [&] { this->maintain(now); });
		}
	}

	void serving_thread::maintain(time_point now)
	{
		this->shared.view.note_running(now);
		auto const all_gone = this->shared.servers.expire(now);
		for (auto const& gone : all_gone)
		{
			this->shared.permits.forget(gone->entry.id);
			this->request_forwarder.forget_server(gone->entry.id);
			this->log_event("server_forgotten", {{"server", gone->entry.id.str()}});
		}
		if (!all_gone.empty())
		{
			this->note_versions(now);
		}
		this->origins.expire(now);
		this->origins.tell_due(now);
		this->totals.set_known_streams(this->shared.origins.size());
		this->quotas.review(now);
		this->drop_silent_calls(now);
		this->review_reach(now);
		auto const limited = std::ranges::count_if(this->shared.servers.all() | std::views::values,
			[](routing::server_pointer const& each) { return each->limit.rate().has_value(); });
		this->totals.set_limited_servers(static_cast<std::size_t>(limited));
		this->shared.crashes.expire(now);
		log_block_changes(this->shared.crashes, this->log, now);
		this->totals.set_request_blocks(this->shared.crashes.blocks().size());
		this->totals.set_caller_memory(this->callers->held_bytes());
		this->request_forwarder.close_expired_connections(now);
		this->request_forwarder.review_watches(now);
	}

	void serving_thread::run_step(std::string_view part, std::function<void()> const& step)
	{
		try
		{
			step();
		}
		catch (...)
		{
			this->record_exception(part, describe_current_exception());
		}
	}

	void serving_thread::record_exception(std::string_view part, std::string error)
	{
		try
		{
			this->totals.count_internal_error(part);
			this->log_event("internal_error", {{"part", std::string(part)}, {"error", std::move(error)}});
		}
		catch (std::bad_alloc const&)
		{
			report_lost_log_line();
		}
	}

	void serving_thread::forget_failures()
	{
		for (auto const& server : this->shared.servers.all() | std::views::values)
		{
			server->health = {};
		}
	}

	void serving_thread::review_reach(time_point now)
	{
		auto& reach = this->shared.reach;
		std::size_t known = 0;
		for (auto const& server : this->shared.servers.all() | std::views::values)
		{
			known += server->is_ready() ? 1 : 0;
			if (server->load.silent_for(now) > max_unanswered_time)
			{
				reach.note_failure(server->entry.id);
			}
		}
		auto const is_cut_off = reach.is_cut_off(known, now);
		if (is_cut_off)
		{
			this->request_forwarder.probe_servers();
		}
		this->shared.relays.expire(now);
		if (is_cut_off != std::exchange(this->shared.is_cut_off, is_cut_off))
		{
			if (!is_cut_off)
			{
				this->forget_failures();
			}
			this->log_event(is_cut_off ? "servers_out_of_reach" : "servers_in_reach",
				{{"unheard_ms", fmt::format("{:.1f}", to_milliseconds(reach.unheard_for(now)))},
					{"failed_servers", std::to_string(reach.failed_servers())}, {"servers", std::to_string(known)}});
		}
	}

	void serving_thread::drop_silent_calls(time_point now)
	{
		for (auto const& server : this->shared.servers.all() | std::views::values)
		{
			auto const dropped = server->load.drop_silent(now);
			if (dropped > 0)
			{
				server->health.note(routing::call_outcome::silent, now);
				this->log_event("server_calls_silent",
					{{"server", server->entry.id.str()}, {"calls", std::to_string(dropped)},
						{"unheard_ms", fmt::format("{:.1f}", to_milliseconds(server->load.silent_for(now)))}});
			}
		}
	}

	asio::awaitable<void> serving_thread::finish_drain()
	{
		try
		{
			co_await this->end_requests();
		}
		catch (...)
		{
			this->record_exception("drain", describe_current_exception());
		}
		this->on_drained();
	}

	asio::awaitable<void> serving_thread::end_requests()
	{
		auto const deadline = *this->shared.shutdown_deadline;
		asio::steady_timer timer(this->thread->context(), balancer_delay);
		std::ignore = co_await timer.async_wait(token);
		// No new connections are accepted from here on. The requests on open ones, also those that still arrive, are
		// served until the deadline.
		this->callers->stop();
		while (monotonic_now() < deadline && this->callers->connections() > 0)
		{
			timer.expires_after(drain_poll);
			std::ignore = co_await timer.async_wait(token);
		}
		auto const is_grace_over = monotonic_now() >= deadline;
		this->log_event("requests_ended", {{"running", std::to_string(this->request_forwarder.running())},
											  {"connections", std::to_string(this->callers->connections())},
											  {"grace_over", is_grace_over ? "yes" : "no"}});
		this->has_ended_requests = true;
		this->request_forwarder.end_requests();
		auto const answered_by = monotonic_now() + last_answers_time;
		while (monotonic_now() < answered_by && this->callers->connections() > 0)
		{
			timer.expires_after(drain_poll);
			std::ignore = co_await timer.async_wait(token);
		}
		this->log_event("drained", {{"broken_off", std::to_string(this->request_forwarder.running())},
									   {"connections", std::to_string(this->callers->connections())}});
	}

	bool serving_thread::is_ready() const
	{
		return this->shared.routes && this->registry_state.has_servers && !this->is_draining;
	}

	void serving_thread::log_event(std::string name, std::vector<decide::event_field> fields)
	{
		this->log(make_event(std::move(name), std::move(fields)));
	}
}
