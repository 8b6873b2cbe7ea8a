#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>

#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/http/server.hpp>

namespace godwittrestle::testing
{
	// A decode engine on a thread of its own that takes a fixed time for each answer to a request for a reservation,
	// and grants all of them. Its streams begin at once.
	class slow_engine
	{
	  public:
		explicit slow_engine(std::chrono::milliseconds reservation_time);
		~slow_engine();

		slow_engine(slow_engine const&) = delete;
		slow_engine& operator=(slow_engine const&) = delete;
		slow_engine(slow_engine&&) = delete;
		slow_engine& operator=(slow_engine&&) = delete;

		[[nodiscard]] std::string address() const;

		// Returns how many reservations were granted so far.
		[[nodiscard]] std::size_t granted() const;
		// Returns how many granted reservations were not given back.
		[[nodiscard]] std::size_t kept() const;

		// Returns how many streams were sent to the engine.
		[[nodiscard]] std::size_t streams() const noexcept
		{
			return this->begun;
		}

	  private:
		[[nodiscard]] boost::asio::awaitable<void> serve(http::request message, http::exchange& http_exchange);

		std::chrono::milliseconds time;
		std::atomic<std::size_t> begun = 0;
		mutable std::mutex mutex;
		std::size_t grants = 0;
		std::set<std::string> held;
		daemon::io_thread thread;
		http::server listener;
	};
}
