#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/engine_speed.hpp>
#include <godwittrestle/routing/server.hpp>
#include <godwittrestle/routing/shared_average.hpp>

namespace godwittrestle::routing
{
	// What streams need on average, as this daemon has seen them.
	class stream_demand
	{
	  public:
		// Notes a new stream.
		void note_stream(token_count prompt, token_count expected_output);

		// Notes how long a stream took from its first event on, and how much it made in that time.
		void note_duration(token_count made, duration taken);

		// Whether enough streams were seen, from their beginning and to their end, to judge by.
		[[nodiscard]] bool is_known() const noexcept;

		// Time that a prefill engine is busy with one stream, in milliseconds.
		[[nodiscard]] double prefill_ms(engine_speed const& speed) const noexcept;

		// Tokens of an average prompt.
		[[nodiscard]] token_count prompt() const noexcept;

		// Tokens that a stream makes on average, as predicted when it began.
		[[nodiscard]] token_count output() const noexcept;

		// Returns how long a stream takes that makes so many tokens; zero while that is not known.
		[[nodiscard]] duration expected_duration(token_count output) const noexcept;

		// Time for which one stream fills a decode engine's whole memory, in milliseconds.
		[[nodiscard]] double decode_ms(token_count capacity) const noexcept;

		shared_average prompt_tokens;
		shared_average output_tokens;
		// Milliseconds for each token made.
		shared_average token_ms;
	};

	// What one engine should do instead.
	enum class role_change
	{
		none,
		prefill_to_decode,
		decode_to_prefill,
	};

	[[nodiscard]] std::string_view to_string(role_change change) noexcept;

	// How many engines should change their role, and into which.
	struct role_plan
	{
		role_change change = role_change::none;
		std::uint32_t engines = 0;

		[[nodiscard]] bool operator==(role_plan const&) const = default;
	};

	// Whether a change of role should be ordered: it has been wanted for a while, and hardly an engine has come or gone
	// for longer. Answers engines that crash and are soon back: what is wanted in between would be wrong when its
	// engines have changed. A pool that has been the same since its start is mended before the first burst, and a large
	// one also while single engines come and go.
	class role_change_debouncer
	{
	  public:
		[[nodiscard]] bool should_order(role_change wanted, pool_sizes const& pools, time_point now) noexcept;

	  private:
		role_change change = role_change::none;
		// The pool as it was at a time.
		pool_sizes last_pools;
		time_point wanted_since;
		time_point pool_stable_since;
	};

	// Decides whether engines should change their role. Answers a pool whose split does not fit its streams: one side
	// full while the other is idle. The split follows what a stream needs of each side, not how many there are just
	// now, so that a burst alone moves nothing; engines are moved only when the best split throughput_with clearly
	// more, and a part of them at a time, since one that changes serves nobody meanwhile.
	[[nodiscard]] role_plan choose_role_change(
		pool_sizes const& pools, stream_demand const& demand, engine_speed const& speed, token_count capacity);
}
