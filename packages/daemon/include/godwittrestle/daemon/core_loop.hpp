#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <variant>

#include <godwittrestle/base/bounded_ring.hpp>
#include <godwittrestle/decide.hpp>

namespace godwittrestle::daemon
{
	// Returns the time of the machine's monotonic clock. All times that the core is given come from it.
	[[nodiscard]] time_point monotonic_now() noexcept;

	// A function that reads the core's state for an HTTP request. It runs on the core's thread.
	using core_query = std::function<void(decide::core const&, time_point)>;

	using core_input = std::variant<decide::event, core_query>;

	// The thread that runs the core. It takes events and queries from one bounded ring and passes the actions to the
	// threads that carry them out.
	class core_loop
	{
	  public:
		// carry_out: called on the core's thread for each action, in order.
		core_loop(
			decide::core_settings settings, std::size_t ring_capacity, std::function<void(decide::action&&)> carry_out);
		~core_loop();

		core_loop(core_loop const&) = delete;
		core_loop& operator=(core_loop const&) = delete;
		core_loop(core_loop&&) = delete;
		core_loop& operator=(core_loop&&) = delete;

		void start();
		void stop();

		// Appends an event or a query to the ring. Returns false and leaves the input untouched when the ring is full.
		[[nodiscard]] bool try_push(core_input& input);

		[[nodiscard]] std::size_t depth() const;

	  private:
		void run();

		decide::core core;
		bounded_ring<core_input> inputs;
		std::function<void(decide::action&&)> carry_out;
		std::atomic<bool> is_stopping = false;
		std::thread thread;
	};
}
