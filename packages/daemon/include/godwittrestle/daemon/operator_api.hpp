#pragma once

#include <functional>
#include <memory>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/daemon/metrics.hpp>
#include <godwittrestle/daemon/settings.hpp>
#include <godwittrestle/daemon/telemetry.hpp>
#include <godwittrestle/http/server.hpp>

namespace godwittrestle::daemon
{
	namespace asio = boost::asio;

	// The thread that serves operators: /metrics, /v1/status, /v1/timeline, /v1/explain, /v1/policy/base, /v1/drain.
	class operator_api
	{
	  public:
		operator_api(core_loop& core, telemetry const& events, daemon_settings const& settings,
			std::function<process_metrics()> read_process_metrics, std::function<void()> drain);
		~operator_api();

		operator_api(operator_api const&) = delete;
		operator_api& operator=(operator_api const&) = delete;
		operator_api(operator_api&&) = delete;
		operator_api& operator=(operator_api&&) = delete;

		// Binds the listening socket; throws when that fails.
		void start();
		void stop();

	  private:
		// Builds a response from the core's state. Runs on the core's thread.
		using response_builder = std::function<http::response(decide::core const&, time_point)>;

		asio::awaitable<void> handle(http::request message, http::exchange& http_exchange);
		// Returns whether the request carries the operator token; always true when no token is set.
		[[nodiscard]] bool is_authorised(http::request const& message) const;
		// Runs the builder on the core's thread and returns its response. Returns an error with status 503 when the
		// core's ring is full or the core does not answer in time.
		asio::awaitable<http::response> query_core(response_builder build_response);
		// Returns the builder of a path that reads the core's state; empty for any other path.
		[[nodiscard]] response_builder find_response_builder(
			std::string const& path, http::request const& message) const;
		[[nodiscard]] http::response make_timeline_response(std::string const& request) const;

		core_loop* core;
		telemetry const* events;
		daemon_settings const* settings;
		std::function<process_metrics()> read_process_metrics;
		std::function<void()> drain;
		io_thread thread;
		std::unique_ptr<http::server> server;
	};
}
