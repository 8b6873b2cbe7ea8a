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
	// /services/{service}/..., besides /healthz and /readyz for the platform's balancer.
	class caller_face
	{
	  public:
		// started: the daemon's incarnation, which request ids carry.
		caller_face(core_loop& core, daemon_settings const& settings, incarnation started);
		~caller_face();

		caller_face(caller_face const&) = delete;
		caller_face& operator=(caller_face const&) = delete;
		caller_face(caller_face&&) = delete;
		caller_face& operator=(caller_face&&) = delete;

		// Binds the listening socket; throws when that fails.
		void start();
		void stop();

		// Takes an answer's part; one whose caller is gone is dropped.
		void push(decide::action action);

		[[nodiscard]] std::size_t depth() const;

	  private:
		// What one request's coroutine waits on.
		struct session;

		asio::awaitable<void> handle(http::request message, http::exchange& talk);
		asio::awaitable<void> answer_ready(http::exchange& talk);
		asio::awaitable<void> complete(http::request message, http::exchange& talk);
		asio::awaitable<void> issue_keys(http::request message, http::exchange& talk);
		asio::awaitable<void> call_service(http::request message, http::exchange& talk);
		// Hands an event in and opens the session of its request; nothing when the daemon is too busy.
		[[nodiscard]] std::shared_ptr<session> open(
			request_id const& request, decide::event event, http::exchange& talk);
		void close(request_id const& request);
		void report_gone(request_id const& request);
		[[nodiscard]] request_id next_request();
		void take(decide::action&& action);

		core_loop* core;
		daemon_settings const* settings;
		incarnation started;
		io_thread thread;
		std::unique_ptr<http::server> server;
		std::map<request_id, std::shared_ptr<session>> sessions;
		std::uint64_t last_request = 0;
		ring_to_loop<decide::action> inputs;
	};
}
