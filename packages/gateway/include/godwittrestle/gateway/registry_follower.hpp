#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/protocols.hpp>
#include <godwittrestle/gateway/settings.hpp>
#include <godwittrestle/http/client.hpp>

namespace godwittrestle::gateway
{
	namespace asio = boost::asio;

	// What the follower has learnt.
	struct registry_update
	{
		// True when the changes are all that the registry holds; false when they are what changed.
		bool is_whole = false;
		// True when the registry can't be read any more; there are no changes then.
		bool is_lost = false;
		// True when the registry could not be read before this.
		bool is_return = false;
		std::vector<registry_change> changes;
	};

	// Takes what was learnt; called on the follower's thread.
	using registry_sink = std::function<void(registry_update)>;

	// The thread that follows the platform's registry: it lists everything once, waits for changes from then on, and
	// lists everything again when the registry has lost the history in between. A call that stays unanswered is given
	// up and made again on a new connection.
	class registry_follower
	{
	  public:
		registry_follower(
			http::endpoint where, registry_pace pace, registry_protocol protocol, registry_sink sink, event_log log);

		void start();
		void stop();

	  private:
		[[nodiscard]] asio::awaitable<void> follow();
		// Lists everything. Returns false when the registry did not answer.
		[[nodiscard]] asio::awaitable<bool> list();
		// Waits for changes once. Returns false when everything has to be listed again.
		[[nodiscard]] asio::awaitable<bool> watch();
		[[nodiscard]] asio::awaitable<std::optional<http::response>> call(http::request message, duration timeout);
		// Waits after a failure, longer after each further one.
		[[nodiscard]] asio::awaitable<void> pause();
		[[nodiscard]] asio::awaitable<void> sleep(duration time);

		// Whether the registry could not be read for so long that entries may have lapsed meanwhile.
		[[nodiscard]] bool was_away() const;
		void note_answer();
		void note_failure(std::string reason);
		void report_faults(registry_reply const& reply);

		http::endpoint where;
		registry_pace pace;
		registry_protocol protocol;
		registry_sink sink;
		event_log log;
		daemon::io_thread thread;
		http::client client;
		// Up to which revision the changes are known.
		std::uint64_t revision = 0;
		// Calls without an answer since the last one that was answered.
		std::uint32_t failures = 0;
		time_point last_answer_at;
		// How long changes are gathered now.
		duration gathering{};
	};
}
