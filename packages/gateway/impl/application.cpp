#include <godwittrestle/gateway/application.hpp>

#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <godwittrestle/daemon/telemetry.hpp>
#include <godwittrestle/gateway/registry_follower.hpp>
#include <godwittrestle/gateway/traffic.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		// Interval at which the settings are read again: the file may change without a signal.
		constexpr duration settings_poll = seconds(2);
		constexpr std::size_t log_ring_lines = 4096;
		constexpr std::size_t timeline_events = 1000;

		daemon::telemetry_settings to_telemetry(gateway_settings const& settings)
		{
			return {settings.instance, settings.data_centre, log_ring_lines, timeline_events, settings.log_level,
				daemon::log_target::standard_output};
		}
	}

	class application::implementation
	{
	  public:
		implementation(gateway_settings given, platform_adapter brought)
			: settings(std::move(given))
			, adapter(std::move(brought))
			, events(to_telemetry(settings))
			, signals(main_loop, SIGTERM, SIGINT, SIGHUP)
			, settings_timer(main_loop)
			, callers(
				  settings, adapter, [this](decide::record_event line) { this->events.record(std::move(line)); },
				  [this] { return this->events.dropped(); }, [this] { this->main_loop.stop(); })
			, registry(
				  settings.registry_address, settings.registry, adapter.registry,
				  [this](registry_update update) { this->callers.push(std::move(update)); },
				  [this](decide::record_event line) { this->events.record(std::move(line)); })
		{
		}

		int run()
		{
			this->await_signal();
			this->await_settings();
			this->events.start();
			this->callers.start();
			this->registry.start();
			this->record("started", {{"callers", http::to_string(this->settings.caller_address)}});
			auto const work = boost::asio::make_work_guard(this->main_loop);
			this->main_loop.run();
			this->registry.stop();
			this->callers.stop();
			this->record("stopped", {});
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
						this->callers.drain();
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
		void reload(bool is_asked_for)
		{
			handle_failure(
				[&]() -> result<void>
				{
					BOOST_LEAF_AUTO(read, this->adapter.read_settings());
					if (is_asked_for || !(read == this->settings))
					{
						this->settings = read;
						this->callers.apply(std::move(read));
					}
					return {};
				},
				[&](failure const& error) { this->record("settings_unreadable", {{"reason", describe(error)}}); });
		}

		void record(std::string name, std::vector<decide::event_field> fields)
		{
			this->events.record(make_line(std::move(name), std::move(fields)));
		}

		gateway_settings settings;
		platform_adapter adapter;
		boost::asio::io_context main_loop{1};
		daemon::telemetry events;
		boost::asio::signal_set signals;
		boost::asio::steady_timer settings_timer;
		traffic callers;
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
