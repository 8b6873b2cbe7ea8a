#pragma once

#include <cstdint>
#include <map>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// The work that is on a backend server: this daemon's own, exactly, and what other daemons last said of theirs.
	class server_load
	{
	  public:
		// Notes that a call with so many tokens to prefill (0 for a plain call) was sent. Returns the call's number.
		call_id begin(token_count to_prefill, time_point now);

		// Notes that the call's prefill is done.
		void note_prefilled(call_id call);

		void end(call_id call);

		// Calls that this daemon has on the server.
		[[nodiscard]] std::size_t running() const noexcept
		{
			return this->calls.size();
		}

		// Tokens that this daemon waits for the server to prefill.
		[[nodiscard]] std::uint64_t own_tokens() const noexcept
		{
			return this->tokens;
		}

		// Age of the oldest call that the server has not begun to answer; zero when there is none.
		[[nodiscard]] duration oldest_unanswered(time_point now) const;

		// Takes over what the other daemons have on the server. It counts until it is too old to be true.
		void set_others(std::uint64_t running, std::uint64_t to_prefill, time_point now) noexcept;

		[[nodiscard]] std::uint64_t others_running(time_point now) const noexcept;
		[[nodiscard]] std::uint64_t others_tokens(time_point now) const noexcept;

	  private:
		struct running_call
		{
			std::uint64_t tokens = 0;
			time_point since;
			bool is_answered = false;
		};

		std::map<call_id, running_call> calls;
		std::uint64_t tokens = 0;
		std::uint64_t last_call = 0;
		std::uint64_t others_calls = 0;
		std::uint64_t others_to_prefill = 0;
		time_point others_known_at;
	};
}
