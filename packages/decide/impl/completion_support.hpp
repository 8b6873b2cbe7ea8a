#pragma once

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/wire_time.hpp>
#include <godwittrestle/wire.hpp>

// Shared by the parts of completions.
namespace godwittrestle::decide
{
	// A request that waits asks its cell owner again after this time.
	inline constexpr duration lease_request_interval = milliseconds(500);

	// Returns the phase that a cell owner is told of.
	[[nodiscard]] inline wire::LeaseUpdate::Phase reached_phase(bool is_prefilling, bool is_decoding) noexcept
	{
		if (is_prefilling)
		{
			return wire::LeaseUpdate::PREFILLING;
		}
		return is_decoding ? wire::LeaseUpdate::DECODING : wire::LeaseUpdate::TRANSFERRING;
	}
}
