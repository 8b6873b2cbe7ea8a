#include <godwittrestle/daemon/telemetry.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/json.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/wall_clock.hpp>

namespace godwittrestle::daemon
{
	namespace
	{
		constexpr duration poll_interval = milliseconds(200);
		constexpr duration gap_interval = seconds(1);

		// Returns whether an event is logged at INFO, because operators need it at the default log level. Other events
		// are logged at DEBUG.
		bool is_logged_at_info(std::string_view name)
		{
			return name.starts_with("daemon_") || name.starts_with("config") || name.starts_with("cell_") ||
				   name.starts_with("server_") || name.starts_with("orphan_") || name == "ready" || name == "leaving" ||
				   name == "left" || name == "woke_up" || name.starts_with("answer_") || name.starts_with("request_") ||
				   name.starts_with("registry_") || name.starts_with("settings_") || name.starts_with("servers_") ||
				   name.starts_with("stream_") || name.starts_with("peer_") || name.starts_with("log_") ||
				   name == "started" || name == "stopped" || name == "draining" || name == "requests_ended" ||
				   name == "drained";
		}

		log4cplus::Logger logger()
		{
			return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("godwittrestle"));
		}

		// Configures log4cplus, which is initialised once in the process, to write each message as one line.
		void set_up_logging(std::string const& level, log_target target)
		{
			static log4cplus::Initializer const initializer;
			auto const to_standard_error = target == log_target::standard_error;
			log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(to_standard_error, true));
			appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
			logger().removeAllAppenders();
			logger().addAppender(appender);
			logger().setLogLevel(log4cplus::getLogLevelManager().fromString(level));
		}
	}

	telemetry::telemetry(telemetry_settings const& settings)
		: instance(settings.instance.str())
		, data_centre(settings.data_centre.str())
		, inputs(settings.ring_capacity)
		, kept_events(settings.timeline_events)
	{
		set_up_logging(settings.log_level, settings.target);
	}

	telemetry::~telemetry()
	{
		this->stop();
	}

	void telemetry::start()
	{
		this->thread = std::thread([this] { this->run(); });
	}

	void telemetry::stop()
	{
		this->is_stopping = true;
		this->inputs.close();
		if (this->thread.joinable())
		{
			this->thread.join();
		}
	}

	void telemetry::record(decide::record_event event)
	{
		if (!this->inputs.try_push(event))
		{
			++this->dropped_events;
		}
	}

	void telemetry::log_info(std::string_view event, std::string_view detail)
	{
		decide::record_event line;
		line.name = event;
		line.detail = detail;
		this->write(line);
	}

	std::vector<decide::record_event> telemetry::timeline(std::string_view request) const
	{
		std::scoped_lock const lock(this->mutex);
		std::vector<decide::record_event> events;
		std::ranges::copy_if(this->kept_events, std::back_inserter(events),
			[&](decide::record_event const& event) { return request.empty() || event.request.str() == request; });
		return events;
	}

	void telemetry::run()
	{
		while (!this->is_stopping || this->inputs.size() > 0)
		{
			auto event = this->inputs.pop_for(poll_interval);
			this->write_gap(monotonic_now());
			if (!event)
			{
				continue;
			}
			this->write(*event);
			std::scoped_lock const lock(this->mutex);
			this->kept_events.push_back(std::move(*event));
		}
		this->gap_written_at = time_point();
		this->write_gap(monotonic_now());
	}

	void telemetry::write_gap(time_point now)
	{
		auto const dropped = this->dropped();
		if (dropped == this->dropped_events_written || now - this->gap_written_at < gap_interval)
		{
			return;
		}
		decide::record_event line;
		line.timestamp = wall_clock_us();
		line.name = "log_lines_dropped";
		line.fields = {{"lines", std::to_string(dropped - this->dropped_events_written)},
			{"since_start", std::to_string(dropped)}};
		this->dropped_events_written = dropped;
		this->gap_written_at = now;
		this->write(line);
	}

	void telemetry::write(decide::record_event const& event)
	{
		// Events from log_info have timestamp 0 and are logged at INFO.
		auto const level = is_logged_at_info(event.name) || event.timestamp == 0 ? log4cplus::INFO_LOG_LEVEL
																				 : log4cplus::DEBUG_LOG_LEVEL;
		if (!logger().isEnabledFor(level))
		{
			return;
		}
		boost::json::object line{{"level", level == log4cplus::INFO_LOG_LEVEL ? "INFO" : "DEBUG"},
			{"time_us", event.timestamp}, {"instance", this->instance}, {"data_centre", this->data_centre},
			{"event", event.name}};
		if (!event.request.empty())
		{
			line["request"] = event.request.str();
		}
		if (!event.detail.empty())
		{
			line["detail"] = event.detail;
		}
		std::ranges::for_each(event.fields, [&](decide::event_field const& each) { line[each.name] = each.value; });
		logger().log(level, boost::json::serialize(line));
	}
}
