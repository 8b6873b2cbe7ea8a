#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/daemon/peer_link.hpp>
#include <godwittrestle/gateway/application.hpp>
#include <godwittrestle/gateway/counters.hpp>
#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/fleet_exchange.hpp>
#include <godwittrestle/gateway/forwarder.hpp>
#include <godwittrestle/gateway/permit_exchange.hpp>
#include <godwittrestle/gateway/quota_exchange.hpp>
#include <godwittrestle/gateway/registry_follower.hpp>
#include <godwittrestle/gateway/role_orders.hpp>
#include <godwittrestle/http/server.hpp>

namespace godwittrestle::gateway
{
	// The thread that serves callers. It owns the routes, the servers and all connections to callers and backend
	// servers. Other threads pass it registry updates and peer messages through bounded rings.
	class serving_thread
	{
	  public:
		// on_drained: called once after drain(), when the requests have ended or the shutdown deadline has passed.
		serving_thread(gateway_settings const& settings, platform_adapter const& adapter, event_log log,
			std::function<std::uint64_t()> dropped_lines, std::function<void()> on_drained);
		~serving_thread();

		serving_thread(serving_thread const&) = delete;
		serving_thread& operator=(serving_thread const&) = delete;
		serving_thread(serving_thread&&) = delete;
		serving_thread& operator=(serving_thread&&) = delete;

		// Sets how the registry is asked for what it holds now; see forwarder. Must be called before start().
		void set_registry_reader(registry_reader reader);

		// Binds the listening sockets and starts the thread.
		void start();
		void stop();

		// Passes an update of the registry to this thread; blocks while the ring is full. May be called from any
		// thread.
		void push(registry_update update);

		// Passes changed settings to this thread. May be called from any thread.
		void apply(gateway_settings settings);

		// Counts a call to the registry (see registry_hooks). May be called from any thread.
		void count_registry_call(std::string_view outcome);

		// Makes the daemon not ready, answers the requests that were read, then calls on_drained.
		void drain();

	  private:
		void apply_update(registry_update&& update);
		void receive(wire::PeerMessage const& message);
		void apply_configuration_text(std::string text);
		void apply_servers(std::vector<routing::registered_server> servers);
		// Applies the servers of a complete list.
		void apply_list(
			std::vector<routing::registered_server> const& servers, registry_update const& update, time_point now);
		// Applies the servers of the first list after the registry came back from a copy.
		void apply_copy(
			std::vector<routing::registered_server> const& servers, registry_update const& update, time_point now);
		// Forgets which servers have failed: the fault was this daemon's own.
		void forget_failures();
		// Finds out whether this daemon still reaches any server.
		void review_reach(time_point now);
		// Records which software versions are in service.
		void note_versions(time_point now);
		[[nodiscard]] asio::awaitable<void> exchange_with_peers();
		[[nodiscard]] asio::awaitable<void> review_roles();
		void apply_update(published_configuration&& published);
		void set_seeds(std::vector<http::endpoint> const& seeds);
		void apply_server_entry(routing::registered_server const& entry, time_point written_after, time_point now);
		// Forwards a request, or refuses it when the requests have been ended for a planned stop.
		[[nodiscard]] asio::awaitable<void> serve_caller(http::request message, http::exchange& http_exchange);
		// Logs and counts a caller's request that was not read to its end.
		void record_unread(http::unread_reason reason, http::request const& head);
		[[nodiscard]] asio::awaitable<void> answer_readiness(http::request message, http::exchange& http_exchange);
		[[nodiscard]] asio::awaitable<void> answer_metrics(http::request message, http::exchange& http_exchange);
		[[nodiscard]] asio::awaitable<void> run_maintenance();
		void maintain(time_point now);
		// Runs a step of a loop. An exception is logged and counted, so that the loop goes on.
		void run_step(std::string_view part, std::function<void()> const& step);
		// Logs and counts an exception. part: what threw.
		void record_exception(std::string_view part, std::string error);
		// Removes the tokens of calls that have been silent beyond their limit from the load of their servers, and
		// records the silence in the servers' health.
		void drop_silent_calls(time_point now);
		// Ends the requests (see end_requests), and reports that this daemon has drained in any case.
		[[nodiscard]] asio::awaitable<void> finish_drain();
		// Serves the requests of open connections until none is left or the grace is over, and ends the others.
		[[nodiscard]] asio::awaitable<void> end_requests();
		[[nodiscard]] bool is_ready() const;
		void log_event(std::string name, std::vector<decide::event_field> fields);

		gateway_settings settings;
		platform_adapter adapter;
		event_log log;
		std::function<std::uint64_t()> dropped_lines;
		std::function<void()> on_drained;
		incarnation started;
		// Reset in the destructor: members that the loop's coroutines refer to would otherwise be destroyed first.
		std::unique_ptr<daemon::io_thread> thread;
		daemon::event_loop_queue<registry_update> updates;
		shared_state shared;
		counters totals;
		permit_exchange permits;
		stream_origin_exchange origins;
		quota_exchange quotas;
		forwarder request_forwarder;
		daemon::event_loop_queue<wire::PeerMessage> peer_messages;
		daemon::peer_link peers;
		fleet_exchange exchange;
		role_orders orders;
		registry_snapshot registry_state;
		std::unique_ptr<http::server> callers;
		std::unique_ptr<http::server> readiness;
		std::unique_ptr<http::server> metrics;
		bool is_draining = false;
		// Whether the requests were ended. What could be passed on from then on would be cut.
		bool has_ended_requests = false;
	};
}
