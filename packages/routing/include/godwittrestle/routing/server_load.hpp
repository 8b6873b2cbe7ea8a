#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// The work that one daemon has on a backend server.
	struct server_share
	{
		std::uint64_t running = 0;
		// Tokens that wait to be prefilled.
		std::uint64_t to_prefill = 0;
		// Tokens of memory that its streams will need.
		std::uint64_t committed = 0;

		server_share& operator+=(server_share const& other) noexcept
		{
			this->running += other.running;
			this->to_prefill += other.to_prefill;
			this->committed += other.committed;
			return *this;
		}
	};

	// The work that is on a backend server: this daemon's own, exactly, and what other daemons last said of theirs.
	class server_load
	{
	  public:
		// Notes that a call was sent with so many tokens to prefill, which will need so much memory (both 0 for a plain
		// call). silence_limit: how long it may go on without anything heard of it. Returns the call's number.
		call_id begin(
			token_count to_prefill, token_count committed, time_point now, duration silence_limit = duration::max());

		// Notes how much memory a running call will need by what is known now.
		void set_committed(call_id call, token_count needed);

		// Notes that the server has answered something, be it about another call.
		void note_heard(time_point now) noexcept;

		// Notes an event of a call, or its answer: its prefill is done.
		void note_progress(call_id call, time_point now);

		// Returns how many calls have gone on for longer than their silence_limit with nothing heard of them, each only
		// once. They count no longer as work of the server: answers servers that lose answers, whose memory is free
		// while the callers still wait.
		std::size_t drop_silent(time_point now);

		void end(call_id call);

		// Notes that the server had no room just now.
		void note_full(time_point now) noexcept;

		// Notes that the server takes nothing before a time.
		void note_full_until(time_point until) noexcept;

		// Notes that the server has asked this daemon for nothing more before a time. Afterwards it gets a single call
		// first: answers servers that are still full when their pause ends, and daemons that would all return at once.
		void note_pause(time_point until) noexcept;

		// Whether the server gets nothing now since it has asked for a pause.
		[[nodiscard]] bool is_paused(time_point now) const noexcept;

		// How much longer the pause lasts that the server has asked for.
		[[nodiscard]] duration paused_for(time_point now) const noexcept;

		// Whether the server had no room a moment ago.
		[[nodiscard]] bool is_full(time_point now) const noexcept;

		// This daemon's own work.
		[[nodiscard]] server_share own() const noexcept;

		// The work of all daemons.
		[[nodiscard]] server_share total(time_point now) const noexcept;

		// How long the server has left a call unanswered without being heard at all; zero when it was. Answers servers
		// that went dark, and passes over those that lose single answers.
		[[nodiscard]] duration silent_for(time_point now) const;

		// Takes over what another daemon said of its work here. It counts until it is too old to be true.
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

		// Takes what a call needs out of the sums.
		void release_tokens(running_call& call) noexcept;

		// Ends the pause for good when this was the first call after it.
		void end_pause_after(call_id call) noexcept;

		std::map<call_id, running_call> calls;
		std::uint64_t tokens = 0;
		std::uint64_t committed = 0;
		std::uint64_t last_call = 0;
		time_point heard_at;
		std::map<instance_id, reported_share> others;
		time_point full_until;
		// Set from the server's request for a pause until the first call after it is answered or ended.
		std::optional<time_point> paused_until;
		std::optional<call_id> first_after_pause;
	};
}
