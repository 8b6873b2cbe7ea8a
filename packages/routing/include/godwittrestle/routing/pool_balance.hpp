#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/directory.hpp>
#include <godwittrestle/routing/placement.hpp>

namespace godwittrestle::routing
{
	// What streams need on average, as this daemon has seen them.
	class stream_demand
	{
	  public:
		// Notes a new stream.
		void note_stream(token_count prompt, token_count expected_output);

		// Notes how long a stream took from its first event to its end.
		void note_duration(token_count expected_output, duration taken);

		// Whether enough streams were seen to judge by.
		[[nodiscard]] bool is_known() const noexcept;

		// Time that a prefill engine is busy with one stream, in milliseconds.
		[[nodiscard]] double prefill_ms(engine_speed const& speed) const noexcept;

		// Time for which one stream fills a decode engine's whole memory, in milliseconds.
		[[nodiscard]] double decode_ms(token_count capacity) const noexcept;

	  private:
		std::uint32_t streams = 0;
		double prompt_tokens = 0;
		double output_tokens = 0;
		// Milliseconds for each token made.
		double token_ms = 1;
	};

	// Engines of one service by what they do.
	struct pool_sizes
	{
		std::uint32_t prefill = 0;
		std::uint32_t decode = 0;
	};

	// What one engine should do instead.
	enum class role_change
	{
		none,
		prefill_to_decode,
		decode_to_prefill,
	};

	// How many engines should change their role, and into which.
	struct role_plan
	{
		role_change change = role_change::none;
		std::uint32_t engines = 0;

		[[nodiscard]] bool operator==(role_plan const&) const = default;
	};

	// Decides whether engines should change their role. Answers a pool whose split does not fit its streams: one side
	// full while the other is idle. The split follows what a stream needs of each side, not how many there are just
	// now, so that a burst alone moves nothing; engines are moved only when the best split carries clearly more, and a
	// part of them at a time, since one that changes serves nobody meanwhile.
	[[nodiscard]] role_plan choose_role_change(
		pool_sizes const& pools, stream_demand const& demand, engine_speed const& speed, token_count capacity);
}
