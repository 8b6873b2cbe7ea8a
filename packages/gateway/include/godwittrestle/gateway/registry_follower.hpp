#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/protocols.hpp>
#include <godwittrestle/http/client.hpp>

namespace godwittrestle::gateway
{
	namespace asio = boost::asio;

	// What the follower has learnt.
	struct registry_update
	{
		registry_part part = registry_part::configuration;
		// True when the changes are the whole part; false when they are what changed.
		bool is_whole = false;
		// True when the registry can't be read any more; there are no changes then.
		bool is_lost = false;
		// True when the registry could not be read before this.
		bool is_return = false;
		std::vector<registry_change> changes;
	};

	// Takes what was learnt; called on the follower's thread.
	using registry_sink = std::function<void(registry_update)>;

	// The thread that follows the platform's registry: it lists each part once, waits for changes from then on, and
	// lists it again when the registry has lost the history in between. A call that stays unanswered is given up and
	// made again on a new connection.
	class registry_follower
	{
	  public:
		registry_follower(http::endpoint where, registry_protocol protocol, registry_sink sink, event_log log);

		void start();
		void stop();

	  private:
		// What one part's loop remembers between calls.
		struct part_state
		{
			registry_part part = registry_part::configuration;
			std::uint64_t revision = 0;
			std::uint32_t failures = 0;
		};

		[[nodiscard]] asio::awaitable<void> follow(registry_part part);
		// Lists a part. Returns false when the registry did not answer.
		[[nodiscard]] asio::awaitable<bool> list(part_state& state);
		// Waits for changes once. Returns false when the part has to be listed again.
		[[nodiscard]] asio::awaitable<bool> watch(part_state& state);
		[[nodiscard]] asio::awaitable<std::optional<http::response>> call(
			part_state& state, http::request message, duration timeout);
		[[nodiscard]] asio::awaitable<void> pause(part_state& state);

		void note_answer(part_state& state);
		void note_failure(part_state& state, std::string reason);
		void report_faults(registry_reply const& reply);

		http::endpoint where;
		registry_protocol protocol;
		registry_sink sink;
		event_log log;
		daemon::io_thread thread;
		http::client client;
	};
}
