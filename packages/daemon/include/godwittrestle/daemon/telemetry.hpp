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
#include <godwittrestle/base/units.hpp>
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
		// Maximum number of events that wait to be written to the log.
		std::size_t ring_capacity = 0;
		// Number of timeline events that are kept in memory; the oldest ones are removed first.
		std::size_t timeline_events = 0;
		std::string log_level;
		log_target target = log_target::standard_error;
	};

	// The thread that keeps the timeline and writes the log. Each log line is one JSON object with the instance, the
	// data centre and, if there is one, the request.
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

		// Queues an event. Drops and counts the event when the ring is full, so that logging never delays an answer.
		// The log says so with a line log_lines_dropped.
		void record(decide::record_event event);

		// Writes a log line at INFO on the calling thread, without adding an event to the timeline.
		void log_info(std::string_view event, std::string_view detail);

		// Returns the kept events, oldest first. request: selects the events of one request; empty for all events.
		[[nodiscard]] std::vector<decide::record_event> timeline(std::string_view request) const;

		// Returns the number of events that were dropped because the ring was full.
		[[nodiscard]] std::uint64_t dropped() const noexcept
		{
			return this->dropped_events;
		}

	  private:
		void run();
		// Writes how many lines were dropped since this was last written, if any were, at most once a second.
		void write_gap(time_point now);
		void write(decide::record_event const& event);

		std::string instance;
		std::string data_centre;
		bounded_ring<decide::record_event> inputs;
		mutable std::mutex mutex;
		boost::circular_buffer<decide::record_event> kept_events;
		std::atomic<std::uint64_t> dropped_events = 0;
		// What the log says of dropped events, and since when. Used by the log's thread only.
		std::uint64_t dropped_events_written = 0;
		time_point gap_written_at;
		std::atomic<bool> is_stopping = false;
		std::thread thread;
	};
}
