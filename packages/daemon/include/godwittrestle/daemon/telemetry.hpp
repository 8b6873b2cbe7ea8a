#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/circular_buffer.hpp>

#include <godwittrestle/base/bounded_ring.hpp>
#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/decide/action.hpp>

namespace godwittrestle::daemon
{
	enum class log_target
	{
		standard_error,
		standard_output,
	};

	struct telemetry_settings
	{
		instance_id instance;
		data_centre_id data_centre;
		// Lines that may wait for the log.
		std::size_t ring_capacity = 0;
		// Events of the time line that are kept.
		std::size_t timeline_events = 0;
		std::string log_level;
		log_target target = log_target::standard_error;
	};

	// The thread that keeps the time line and writes the log: one JSON object a line, with the instance, the data
	// centre and the request.
	class telemetry
	{
	  public:
		explicit telemetry(telemetry_settings const& settings);
		~telemetry();

		telemetry(telemetry const&) = delete;
		telemetry& operator=(telemetry const&) = delete;
		telemetry(telemetry&&) = delete;
		telemetry& operator=(telemetry&&) = delete;

		void start();
		void stop();

		// Takes an event. When the ring is full the event is dropped and counted: a log never slows an answer.
		void record(decide::record_event event);

		// Logs something that is not an event of the time line.
		void log_info(std::string_view event, std::string_view detail);

		// Returns the kept events, oldest first. request: only events of this request; empty for all.
		[[nodiscard]] std::vector<decide::record_event> timeline(std::string_view request) const;

		[[nodiscard]] std::uint64_t dropped() const noexcept
		{
			return this->dropped_events;
		}

	  private:
		void run();
		void write(decide::record_event const& event);

		std::string instance;
		std::string data_centre;
		bounded_ring<decide::record_event> inputs;
		mutable std::mutex mutex;
		boost::circular_buffer<decide::record_event> kept;
		std::atomic<std::uint64_t> dropped_events = 0;
		std::atomic<bool> is_stopping = false;
		std::thread thread;
	};
}
