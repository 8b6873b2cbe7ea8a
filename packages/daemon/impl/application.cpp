#include <godwittrestle/daemon/application.hpp>

#include <utility>

#include <boost/asio/signal_set.hpp>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/daemon/backend_link.hpp>
#include <godwittrestle/daemon/caller_api.hpp>
#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/operator_api.hpp>
#include <godwittrestle/daemon/peer_link.hpp>
#include <godwittrestle/daemon/platform_link.hpp>
#include <godwittrestle/daemon/telemetry.hpp>
#include <godwittrestle/daemon/wall_clock.hpp>

namespace godwittrestle::daemon
{
	namespace
	{
		constexpr std::size_t key_secret_bytes = 32;
		constexpr duration push_retry_interval = milliseconds(5);
		// Time after the core has left in which the last answers are sent, before the threads are stopped.
		constexpr duration response_flush_time = milliseconds(200);

		decide::core_settings make_core_settings(daemon_settings const& settings, incarnation started)
		{
			decide::core_settings core;
			core.instance = settings.instance;
			core.started = started;
			core.data_centre = settings.data_centre;
			core.wall_offset = wall_clock_us() - static_cast<std::uint64_t>(monotonic_now().time_since_epoch().count());
			core.key_secret = random_bytes(key_secret_bytes);
			core.heartbeat_interval = settings.heartbeat_interval;
			core.peer_timeout = settings.peer_timeout;
			core.load_poll_interval = settings.load_poll_interval;
			core.key_lifetime = settings.key_lifetime;
			return core;
		}
	}

	class application::implementation
	{
	  public:
		explicit implementation(daemon_settings given_settings)
			: settings(std::move(given_settings))
			, started(wall_clock_us())
			, events(telemetry_settings{settings.instance, settings.data_centre, settings.ring_capacity,
				  settings.timeline_events, settings.log_level})
			, core(make_core_settings(settings, started), settings.ring_capacity,
				  [this](decide::action&& action) { this->carry_out(std::move(action)); })
			, backend(core, settings.ring_capacity)
			, peers(peer_link_settings{settings.peer_address, settings.peer_public_key, settings.peer_secret_key,
						settings.ring_capacity},
				  peer_hooks{[this](wire::PeerMessage message)
					  { this->push_peer_event(decide::peer_received{std::move(message)}); },
					  [this](instance_id const& peer)
					  {
						  this->push_peer_event(decide::peer_unreachable{peer});
					  }})
			, platform(core, settings)
			, callers(core, settings, started)
			, operators(
				  core, events, settings, [this] { return this->read_process_metrics(); }, [this] { this->drain(); })
		{
		}

		int run()
		{
			boost::asio::signal_set signals(this->main_loop, SIGTERM, SIGINT);
			signals.async_wait(
				[this](boost::system::error_code const& error, int)
				{
					if (!error)
					{
						this->drain();
					}
				});
			this->events.start();
			this->peers.start();
			this->callers.start();
			this->operators.start();
			this->backend.start();
			this->core.start();
			this->platform.start();
			this->events.log_info("started", http::to_string(this->settings.caller_address));
			auto const work = boost::asio::make_work_guard(this->main_loop);
			this->main_loop.run();
			this->stop();
			return 0;
		}

	  private:
		void carry_out(decide::action&& action)
		{
			std::visit(
				[this](auto& each)
				{
					using action_type = std::decay_t<decltype(each)>;
					if constexpr (std::is_same_v<action_type, decide::record_event>)
					{
						this->events.record(std::move(each));
					}
					else if constexpr (std::is_same_v<action_type, decide::send_peer>)
					{
						this->peers.push(std::move(each));
					}
					else if constexpr (std::is_same_v<action_type, decide::set_watch>)
					{
						this->platform.set_watching(each.watching);
					}
					else if constexpr (std::is_same_v<action_type, decide::exit_process>)
					{
						boost::asio::post(this->main_loop, [this] { this->main_loop.stop(); });
					}
					// An action with a request field but no call field is a part of an answer to a caller. All other
					// remaining actions concern backend servers or are probes of other daemons.
					else if constexpr (
						requires {
							each.request;
							each.call;
						} || !requires { each.request; })
					{
						this->backend.push(std::move(each));
					}
					else
					{
						this->callers.push(std::move(each));
					}
				},
				action);
		}

		// Passes an event of the peer link to the core. Drops the event when the core's ring is full: the daemon that
		// needs its effect sends the message again.
		void push_peer_event(decide::event event)
		{
			core_input input(std::move(event));
			[[maybe_unused]] auto const is_pushed = this->core.try_push(input);
		}

		// Starts the drain; waits while the core's ring is full.
		void drain()
		{
			core_input input(decide::event(decide::drain_requested{}));
			while (!this->core.try_push(input))
			{
				std::this_thread::sleep_for(push_retry_interval);
			}
		}

		[[nodiscard]] process_metrics read_process_metrics() const
		{
			process_metrics metrics;
			metrics.core_ring_depth = this->core.depth();
			metrics.caller_ring_depth = this->callers.depth();
			metrics.backend_ring_depth = this->backend.depth();
			metrics.peer_ring_depth = this->peers.depth();
			metrics.dropped_events = this->events.dropped();
			metrics.platform_answers = this->platform.is_answering();
			return metrics;
		}

		void stop()
		{
			std::this_thread::sleep_for(response_flush_time);
			this->core.stop();
			this->platform.stop();
			this->callers.stop();
			this->operators.stop();
			this->backend.stop();
			this->peers.stop();
			this->events.log_info("stopped", "");
			this->events.stop();
		}

		daemon_settings settings;
		incarnation started;
		boost::asio::io_context main_loop{1};
		telemetry events;
		core_loop core;
		backend_link backend;
		peer_link peers;
		platform_link platform;
		caller_api callers;
		operator_api operators;
	};

	application::application(daemon_settings settings)
		: impl(std::make_unique<implementation>(std::move(settings)))
	{
	}

	application::~application() = default;

	int application::run()
	{
		return this->impl->run();
	}
}
