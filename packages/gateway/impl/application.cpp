#include <godwittrestle/gateway/application.hpp>

#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <godwittrestle/daemon/telemetry.hpp>
#include <godwittrestle/gateway/registry_follower.hpp>
#include <godwittrestle/gateway/serving_thread.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		// Interval at which the settings are read again: the file may change without a signal.
		constexpr duration settings_poll = seconds(2);
		constexpr std::size_t log_ring_lines = 4096;
		constexpr std::size_t max_timeline_events = 1000;

		daemon::telemetry_settings to_telemetry(gateway_settings const& settings)
		{
			return {settings.instance, settings.data_centre, log_ring_lines, max_timeline_events, settings.log_level,
				daemon::log_target::standard_output};
		}
	}

	class application::implementation
	{
	  public:
		implementation(gateway_settings given_settings, platform_adapter given_adapter)
			: settings(std::move(given_settings))
			, adapter(std::move(given_adapter))
			, events(to_telemetry(settings))
			, signals(main_loop, SIGTERM, SIGINT, SIGHUP)
			, settings_timer(main_loop)
			, serving(
				  settings, adapter, [this](decide::record_event line) { this->events.record(std::move(line)); },
				  [this] { return this->events.dropped(); }, [this] { this->main_loop.stop(); })
			, registry(settings.registry_address, settings.registry, adapter.registry,
				  {[this](registry_update update) { this->serving.push(std::move(update)); },
					  [this](decide::record_event line) { this->events.record(std::move(line)); },
					  [this](std::string_view outcome)
					  {
						  this->serving.count_registry_call(outcome);
					  }})
		{
		}

		int run()
		{
			this->await_signal();
			this->await_settings();
			this->events.start();
			this->serving.set_registry_reader(
				[this](duration least_interval) { this->registry.read_soon(least_interval); });
			this->serving.start();
			this->registry.start();
			this->log_event("started", {{"callers", http::to_string(this->settings.caller_address)}});
			auto const work = boost::asio::make_work_guard(this->main_loop);
			this->main_loop.run();
			this->registry.stop();
			this->serving.stop();
			this->log_event("stopped", {});
			this->events.stop();
			return 0;
		}

	  private:
		void await_signal()
		{
			this->signals.async_wait(
				[this](boost::system::error_code const& error, int number)
				{
					if (error)
					{
						return;
					}
					if (number == SIGHUP)
					{
						this->reload(true);
					}
					else
					{
						this->serving.drain();
					}
					this->await_signal();
				});
		}

		void await_settings()
		{
			this->settings_timer.expires_after(settings_poll);
			this->settings_timer.async_wait(
				[this](boost::system::error_code const& error)
				{
					if (!error)
					{
						this->reload(false);
						this->await_settings();
					}
				});
		}

		// Reads the settings again. The present ones stay in force when the new ones can't be read.
		void reload(bool is_forced)
		{
			handle_failure(
				[&]() -> result<void>
				{
					BOOST_LEAF_AUTO(read, this->adapter.read_settings());
					if (is_forced || !(read == this->settings))
					{
						this->settings = read;
						this->serving.apply(std::move(read));
					}
					return {};
				},
				[&](failure const& error) { this->log_event("settings_unreadable", {{"reason", describe(error)}}); });
		}

		void log_event(std::string name, std::vector<decide::event_field> fields)
		{
			this->events.record(make_event(std::move(name), std::move(fields)));
		}

		gateway_settings settings;
		platform_adapter adapter;
		boost::asio::io_context main_loop{1};
		daemon::telemetry events;
		boost::asio::signal_set signals;
		boost::asio::steady_timer settings_timer;
		serving_thread serving;
		registry_follower registry;
	};

	application::application(gateway_settings settings, platform_adapter adapter)
		: impl(std::make_unique<implementation>(std::move(settings), std::move(adapter)))
	{
	}

	application::~application() = default;

	int application::run()
	{
		return this->impl->run();
	}
}
