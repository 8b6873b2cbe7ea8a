#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// Load that one daemon puts on a backend server.
	struct server_share
	{
		std::uint64_t running = 0;
		// Prompt tokens that are not prefilled yet.
		std::uint64_t to_prefill = 0;
		// Memory that the daemon's streams will need, in tokens.
		std::uint64_t committed = 0;

		server_share& operator+=(server_share const& other) noexcept
		{
			this->running += other.running;
			this->to_prefill += other.to_prefill;
			this->committed += other.committed;
			return *this;
		}
	};

	// One of the sums in a server_share.
	using server_share_part = std::uint64_t server_share::*;

	// Tracks the load of a backend server: the exact load from this daemon, and the last reported load from each other
	// daemon.
	class server_load
	{
	  public:
		// Records that a call was sent. to_prefill and committed: the tokens to prefill and the memory in tokens that
		// the call will need, both 0 for a plain call. silence_limit: time without progress after which drop_silent
		// releases the tokens of the call. Returns the id of the call.
		call_id begin_call(
			token_count to_prefill, token_count committed, time_point now, duration silence_limit = duration::max());

		// Updates the memory that a running call will need.
		void set_committed(call_id call, token_count needed);

		// Records that the server answered a call, no matter which one.
		void note_heard(time_point now) noexcept;

		// Records an event or the answer of a call: its prefill is done.
		void note_progress(call_id call, time_point now);

		// Releases the tokens of calls that made no progress for longer than their silence limit. Returns how many
		// calls it released; no call is counted twice. When an answer is lost, the memory of the server is free
		// although the caller still waits. The call stays in the number of running calls until end_call().
		std::size_t drop_silent(time_point now);

		void end_call(call_id call);

		// Records that the server had no free capacity just now; is_full() holds for a short time.
		void note_full(time_point now) noexcept;

		// Records that the server accepts nothing before a time.
		void note_full_until(time_point until) noexcept;

		// Records that the server asked this daemon to send nothing before a time. After that time, the server gets a
		// single call first: it may still be full, and all daemons would otherwise return at once.
		void note_pause(time_point until) noexcept;

		// Keeps the pause that the same server requested before its entry named another start or address. The server
		// may have requested it after that start: entries are read later than answers.
		void take_over_pause(server_load const& before) noexcept;

		// Returns whether no call may be sent now because of a pause that the server requested.
		[[nodiscard]] bool is_paused(time_point now) const noexcept;

		// Returns how much longer the requested pause lasts.
		[[nodiscard]] duration paused_for(time_point now) const noexcept;

		// Returns whether the server recently had no free capacity.
		[[nodiscard]] bool is_full(time_point now) const noexcept;

		// Returns the load from this daemon.
		[[nodiscard]] server_share own() const noexcept;

		// Returns the load from all daemons.
		[[nodiscard]] server_share total(time_point now) const noexcept;

		// Returns a part of the load that all daemons are expected to put on the server now: the exact part of this
		// daemon, and what is expected to be left of the reported parts. call_time: how long the calls that make up
		// the part last on average; zero takes all that was reported as left. Reports of long calls are of use for
		// longer than those that total() counts.
		[[nodiscard]] double expected(server_share_part part, duration call_time, time_point now) const;

		// Returns how many calls the other daemons are expected to have started since their reports, in place of those
		// that they reported for this server. Any server may have got them.
		[[nodiscard]] double started_elsewhere(duration call_time, time_point now) const;

		// Returns the longest time for which the server has left a call unanswered without answering any other call;
		// zero when no call is unanswered. This detects a server that stopped answering, but not one that loses single
		// answers.
		[[nodiscard]] duration silent_for(time_point now) const;

		// Stores the load that another daemon reported for this server. The report counts until it is too old.
		void set_share(instance_id const& daemon, server_share const& share, time_point now);
		void drop_share(instance_id const& daemon);

	  private:
		struct running_call
		{
			std::uint64_t tokens = 0;
			std::uint64_t committed = 0;
			time_point since;
			time_point heard_at;
			duration silence_limit{};
			bool is_answered = false;
		};

		struct reported_share
		{
			server_share share;
			time_point reported_at;
		};

		// Subtracts the tokens of a call from the sums.
		void release_tokens(running_call& call) noexcept;

		// Ends the pause if the given call was the first one after it.
		void end_pause_after(call_id call) noexcept;

		std::map<call_id, running_call> calls;
		std::uint64_t tokens = 0;
		std::uint64_t committed = 0;
		std::uint64_t last_call = 0;
		time_point heard_at;
		std::map<instance_id, reported_share> others;
		time_point full_until;
		// Set from the server's request for a pause until the first call after the pause is answered or has ended.
		std::optional<time_point> paused_until;
		std::optional<call_id> first_after_pause;
	};
}
