#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/strong_type.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/fair_share.hpp>
#include <godwittrestle/routing/served_ratio.hpp>
#include <godwittrestle/routing/stream_origins.hpp>

namespace godwittrestle::routing
{
	using queue_ticket = strong_count<struct queue_ticket_tag, std::uint64_t>;

	// A stream that waits for memory of a decode engine.
	struct waiting_stream
	{
		// Time until which the stream has to be sent to an engine to meet its objective.
		time_point start_deadline;
		// 0 is the highest priority.
		std::uint32_t priority = 0;
		time_point arrived;
		// Set when the stream had already begun at an engine that failed: its prefill and output are lost unless it
		// continues soon.
		bool has_begun = false;
		// Memory that the stream needs, in tokens.
		token_count needed;
		// The only engines that may serve the stream, when others of the service have another software version. Such a
		// stream competes with those bound to the same version; it neither waits for others nor holds them up.
		std::optional<stream_origin> bound_to;
		// Time since which the stream asks engines for memory; nothing while it does not.
		std::optional<time_point> trying_since;
		// The account that calls; empty when the caller has none. All such callers share one turn.
		account_id account;
	};

	// Orders the streams that wait for memory while the decode engines are full. Streams whose engine failed go first,
	// for instance after a crash in a burst. Then come the streams that can still begin in time, by priority and then
	// earliest start_deadline first, so that a burst on a nearly full pool does not make all streams late. Late streams
	// come last, by priority and then oldest first. While a large stream waits for an engine with enough memory,
	// smaller streams that can begin in time may use memory that is too small for the large one.
	//
	// Where callers have accounts, those of one priority that can begin in time, and those that are late, take turns by
	// account before their own time counts: the account that got the least memory goes first, so that one in excess
	// does not delay the others. A priority that starves behind higher ones goes before them until it does not.
	class admission_queue
	{
	  public:
		[[nodiscard]] queue_ticket enter(waiting_stream const& stream);
		void leave(queue_ticket ticket);

		// Sets the only engines that may serve a stream, or that any may.
		void bind(queue_ticket ticket, std::optional<stream_origin> origin);

		// Records that a stream begins to ask engines for memory, and that it has ended.
		void note_try(queue_ticket ticket, time_point now);
		void note_try_end(queue_ticket ticket);

		// Returns the versions of a service that streams bound to them are waiting for. Other streams leave the memory
		// of these engines to them.
		[[nodiscard]] std::set<software_version> awaited_versions(service_id const& service) const;

		// Returns whether a stream may try to reserve memory: it is first in the order, or it can begin in time and all
		// streams before it need more memory and have not begun yet. A stream that has asked for a while holds nobody
		// up: the engines that it asks are slow to answer, which does not mean that they are full.
		[[nodiscard]] bool may_reserve(queue_ticket ticket, time_point now);

		// Records that a waiting stream got its memory.
		void note_grant(time_point now);

		// Records what a stream got in its account's share. One that had begun got it already.
		void note_served(queue_ticket ticket);

		// Records that the queue is empty: the time until the next grant says nothing about how fast the queue moves.
		void note_idle() noexcept;

		// Returns whether a stream should be refused now because its caller would leave before its turn. In a lasting
		// burst, such a caller learns at once that it cannot be served and can retry later. A stream that would only be
		// late waits, since a late answer is better than none.
		[[nodiscard]] bool should_refuse(queue_ticket ticket, time_point leaves_at, time_point now);

		// Returns the time until a stream's turn, at the speed at which the queue moves.
		[[nodiscard]] duration expected_wait(queue_ticket ticket, time_point now);

		[[nodiscard]] std::size_t size() const noexcept
		{
			return this->waiting.size();
		}

	  private:
		struct entry
		{
			waiting_stream stream;
			// Zero for a stream that has begun, and where no account waits.
			fair_tag tag;
			// Whether streams of its priority starve; not looked at where no account waits.
			bool is_starved = false;
			bool is_served = false;
		};

		// Sort key of a stream: the stream with the smallest key goes first.
		using order_key = std::tuple<bool, bool, bool, std::uint32_t, fair_tag, time_point, queue_ticket>;

		[[nodiscard]] static order_key key_of(queue_ticket ticket, entry const& each, time_point now);
		[[nodiscard]] std::size_t ahead(queue_ticket ticket, time_point now);

		// Returns whether a smaller stream that passes a larger one of another account would get its account further
		// ahead than by the memory that the larger one needs.
		[[nodiscard]] static bool would_overtake(entry const& own, entry const& other);

		// Gives each stream the virtual time at which its account's turn comes to it, and finds those that starve.
		void update_tags(time_point now);

		std::map<queue_ticket, entry> waiting;
		// Number of waiting streams whose callers have an account.
		std::size_t with_account = 0;
		// What the accounts got, by priority.
		std::map<std::uint32_t, fair_share> shares;
		served_ratio ratios;
		// Until when the tags hold; nothing when they have to be given anew.
		std::optional<time_point> tags_hold_until;
		std::optional<time_point> last_grant;
		// Moving average of the time between two grants while streams wait.
		duration grant_interval = initial_grant_interval;
		static constexpr duration initial_grant_interval = milliseconds(150);
		std::uint64_t last_ticket = 0;
	};
}
