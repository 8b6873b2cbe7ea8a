#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/peer_sender.hpp>
#include <godwittrestle/gateway/shared_state.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::gateway
{
	// Returns the time during which a stream may be taken up after it began, with a reserve for what this daemon learns
	// late of the servers.
	[[nodiscard]] duration longest_stream_life(shared_state const& shared) noexcept;

	// Returns for how long this daemon has known which versions of a service are in service, in milliseconds, for the
	// log.
	[[nodiscard]] std::string history_text(shared_state const& shared, service_id const& service, time_point now);

	// Tells other daemons where this daemon's streams began, and asks them about streams that callers take up. Records
	// are told only while a service has had several software versions during a stream's life: otherwise there is only
	// one version at which a stream can have begun. Used only on the thread that serves callers.
	class stream_origin_exchange
	{
	  public:
		// Called at each reply. is_last: whether the daemon knows the stream, or all have replied that they don't.
		using answer_callback = std::function<void(routing::daemon_start const& from, bool is_last)>;

		stream_origin_exchange(shared_state& shared, peer_sender sender, event_log log);

		// Sets the versions of the streams whose server's entry has been read meanwhile.
		void learn_versions();

		// Tells the records that other daemons have not been told yet.
		void tell_due(time_point now);

		// Forgets the streams and versions that no caller can ask for any more.
		void expire(time_point now);

		// Asks the daemons that keep the record of a stream. What they reply is stored in the shared state. Returns the
		// number of the query, for cancel(); nothing when no other daemon is known.
		std::optional<std::uint64_t> ask(
			fingerprint attempt, service_id const& service, time_point now, answer_callback callback);

		// Drops the callback of a query.
		void cancel(std::uint64_t number);

		// Handles a message of another daemon. Returns false when it is not about streams.
		bool receive(wire::PeerMessage const& message, time_point now);

	  private:
		struct pending_query
		{
			service_id service;
			// Number of the daemons that were asked, and those that have answered.
			std::size_t asked = 0;
			std::set<routing::daemon_start> answered;
			answer_callback callback;
		};

		[[nodiscard]] bool is_known_service(service_id const& service) const;
		void apply(wire::StreamOrigin const& received, bool is_version_known, time_point now);
		void handle_query(wire::StreamOriginQuery const& query, time_point now);
		void handle_reply(routing::daemon_start const& from, wire::StreamOriginReply const& reply, time_point now);

		shared_state* shared;
		peer_sender outgoing;
		event_log log;
		std::map<std::uint64_t, pending_query> waiting;
		std::uint64_t last_number = 0;
	};
}
