#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/daemon/settings.hpp>
#include <godwittrestle/http/server.hpp>

namespace godwittrestle::daemon
{
	namespace asio = boost::asio;

	// The thread that serves callers: POST /v1/completions (whole or streamed), POST /v1/idempotency-keys and
	// /services/{service}/..., and also /healthz and /readyz for the platform's load balancer.
	class caller_api
	{
	  public:
		// started: the incarnation of the daemon, which is part of each request id.
		caller_api(core_loop& core, daemon_settings const& settings, incarnation started);
		~caller_api();

		caller_api(caller_api const&) = delete;
		caller_api& operator=(caller_api const&) = delete;
		caller_api(caller_api&&) = delete;
		caller_api& operator=(caller_api&&) = delete;

		// Binds the listening socket; throws when that fails.
		void start();
		void stop();

		// Queues a part of an answer; waits while the queue is full. A part is dropped when its request has no open
		// session any more, as after its caller has gone.
		void push(decide::action action);

		[[nodiscard]] std::size_t depth() const;

	  private:
		// Holds the parts of an answer that the coroutine of one request has yet to send.
		struct session;

		asio::awaitable<void> handle(http::request message, http::exchange& http_exchange);
		asio::awaitable<void> answer_readiness(http::exchange& http_exchange);
		asio::awaitable<void> handle_completion(http::request message, http::exchange& http_exchange);
		asio::awaitable<void> issue_keys(http::request message, http::exchange& http_exchange);
		asio::awaitable<void> call_service(http::request message, http::exchange& http_exchange);
		// Opens the session of a request and passes the event to the core. Returns nullptr when the core's ring is
		// full.
		[[nodiscard]] std::shared_ptr<session> open(
			request_id const& request, decide::event event, http::exchange& http_exchange);
		void close(request_id const& request);
		// Tells the core that the caller of a request is gone; tries again later while the core's ring is full.
		void report_caller_gone(request_id const& request);
		[[nodiscard]] request_id next_request_id();
		// Appends a part of an answer to the session of its request.
		void dispatch(decide::action&& action);

		core_loop* core;
		daemon_settings const* settings;
		incarnation started;
		io_thread thread;
		std::unique_ptr<http::server> server;
		std::map<request_id, std::shared_ptr<session>> sessions;
		std::uint64_t last_request = 0;
		event_loop_queue<decide::action> inputs;
	};
}
