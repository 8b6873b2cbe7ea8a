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
	// Average resource needs of the streams of a service, from this daemon's streams and the reports of other daemons.
	class stream_demand
	{
	  public:
		// Records a new stream.
		void note_stream(token_count prompt, token_count expected_output);

		// Records the time that a stream took from its first event to its end, and the tokens made in that time.
		void note_duration(token_count made, duration taken);

		// Returns whether enough streams have started and ended for a decision.
		[[nodiscard]] bool is_known() const noexcept;

		// Returns how long one stream occupies a prefill engine, in milliseconds.
		[[nodiscard]] double prefill_ms(engine_speed const& speed) const noexcept;

		// Returns the average prompt length.
		[[nodiscard]] token_count prompt() const noexcept;

		// Returns the average output length, as predicted when the streams started.
		[[nodiscard]] token_count output() const noexcept;

		// Returns how long a stream with this output length takes; zero while that is unknown.
		[[nodiscard]] duration expected_duration(token_count output) const noexcept;

		// Returns the time for which one stream would occupy the whole memory of a decode engine, in milliseconds.
		[[nodiscard]] double decode_ms(token_count capacity) const noexcept;

		shared_average prompt_tokens;
		shared_average output_tokens;
		// Milliseconds per output token.
		shared_average token_ms;
	};

	// A role change of an engine.
	enum class role_change
	{
		none,
		prefill_to_decode,
		decode_to_prefill,
	};

	[[nodiscard]] std::string_view to_string(role_change change) noexcept;

	// A role change and the number of engines that should make it.
	struct role_plan
	{
		role_change change = role_change::none;
		std::uint32_t engines = 0;

		[[nodiscard]] bool operator==(role_plan const&) const = default;
	};

	// Delays a role change until it has been wanted for some time while the pool was stable. An engine that crashes is
	// mostly back soon, and a change decided without it would be wrong afterwards. The delay is short, so that a pool
	// that has not changed since the start is corrected before the first burst. Single engines that come and go do not
	// delay changes in a large pool.
	class role_change_debouncer
	{
	  public:
		[[nodiscard]] bool should_order(role_change wanted, pool_sizes const& pools, time_point now) noexcept;

	  private:
		role_change change = role_change::none;
		// Pool sizes at the time pool_stable_since.
		pool_sizes last_pools;
		time_point wanted_since;
		time_point pool_stable_since;
	};

	// Decides whether engines should change their role. A pool whose split does not fit its streams has one side full
	// while the other is idle. The best split follows from what one stream needs of each side, not from the number of
	// current streams, so that a burst alone changes nothing. Engines change only when the best split has clearly more
	// throughput, and only some of them at a time, since an engine takes no new work during the change. capacity:
	// memory of a decode engine, in tokens.
	[[nodiscard]] role_plan choose_role_change(
		pool_sizes const& pools, stream_demand const& demand, engine_speed const& speed, token_count capacity);
}
