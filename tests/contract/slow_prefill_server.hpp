#pragma once

#include <atomic>
#include <chrono>

#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/http/server.hpp>
#include <godwittrestle/routing.hpp>

namespace godwittrestle::testing
{
	// A prefill engine on a thread of its own. It answers each call with a handle after a fixed time.
	class slow_prefill_server
	{
	  public:
		explicit slow_prefill_server(std::chrono::milliseconds prefill_time);
		~slow_prefill_server();

		slow_prefill_server(slow_prefill_server const&) = delete;
		slow_prefill_server& operator=(slow_prefill_server const&) = delete;
		slow_prefill_server(slow_prefill_server&&) = delete;
		slow_prefill_server& operator=(slow_prefill_server&&) = delete;

		// Returns the server's entry in the registry.
		[[nodiscard]] routing::registered_server entry() const;

		// Returns the number of prefills that have begun.
		[[nodiscard]] int calls() const noexcept
		{
			return this->begun;
		}

	  private:
		[[nodiscard]] boost::asio::awaitable<void> serve(http::request message, http::exchange& http_exchange);

		std::chrono::milliseconds time;
		std::atomic<int> begun = 0;
		daemon::io_thread thread;
		http::server listener;
	};
}
