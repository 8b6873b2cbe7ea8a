#pragma once

#include <functional>
#include <memory>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/daemon/metrics.hpp>
#include <godwittrestle/daemon/settings.hpp>
#include <godwittrestle/daemon/telemetry.hpp>
#include <godwittrestle/http/server.hpp>

namespace godwittrestle::daemon
{
	namespace asio = boost::asio;

	// The thread that serves operators: /metrics, /v1/status, /v1/timeline, /v1/explain, /v1/policy/base, /v1/drain.
	class operator_face
	{
	  public:
		operator_face(core_loop& core, telemetry const& events, daemon_settings const& settings,
			std::function<process_figures()> figures, std::function<void()> drain);
		~operator_face();

		operator_face(operator_face const&) = delete;
		operator_face& operator=(operator_face const&) = delete;
		operator_face(operator_face&&) = delete;
		operator_face& operator=(operator_face&&) = delete;

		// Binds the listening socket; throws when that fails.
		void start();
		void stop();

	  private:
		using core_reader = std::function<http::response(decide::core const&, time_point)>;

		asio::awaitable<void> handle(http::request message, http::exchange& talk);
		[[nodiscard]] bool is_admitted(http::request const& message) const;
		// Asks the core and returns what it answers; an error answer when the core is too busy.
		asio::awaitable<http::response> ask(core_reader asking);
		// Returns what a path asks of the core; nothing when it asks nothing.
		[[nodiscard]] core_reader question_for(std::string const& path, http::request const& message) const;
		[[nodiscard]] http::response show_timeline(std::string const& request) const;

		core_loop* core;
		telemetry const* events;
		daemon_settings const* settings;
		std::function<process_figures()> figures;
		std::function<void()> drain;
		io_thread thread;
		std::unique_ptr<http::server> server;
	};
}
