#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <variant>

#include <godwittrestle/base/bounded_ring.hpp>
#include <godwittrestle/decide.hpp>

namespace godwittrestle::daemon
{
	// Returns the time that the core is given: the machine's monotonic clock.
	[[nodiscard]] time_point monotonic_now() noexcept;

	// A question that an operator's request asks of the core, on the core's thread.
	using core_question = std::function<void(decide::core const&, time_point)>;

	using core_input = std::variant<decide::event, core_question>;

	// The thread that runs the core: it takes events from one bounded ring and hands the actions to the threads that
	// carry them out.
	class core_loop
	{
	  public:
		core_loop(
			decide::core_settings settings, std::size_t ring_capacity, std::function<void(decide::action&&)> carry_out);
		~core_loop();

		core_loop(core_loop const&) = delete;
		core_loop& operator=(core_loop const&) = delete;
		core_loop(core_loop&&) = delete;
		core_loop& operator=(core_loop&&) = delete;

		void start();
		void stop();

		// Puts an event or a question in. Returns false, leaving it untouched, when the ring is full.
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
