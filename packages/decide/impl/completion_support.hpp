#pragma once

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/wire_time.hpp>
#include <godwittrestle/wire.hpp>

// Shared by the source files of completions.
namespace godwittrestle::decide
{
	// Time after which a waiting request repeats its lease request to the cell owner.
	inline constexpr duration lease_request_interval = milliseconds(500);

	// Returns the phase of a running lease for a message to the cell owner.
	[[nodiscard]] inline wire::LeaseUpdate::Phase reached_phase(bool is_prefilling, bool is_decoding) noexcept
	{
		if (is_prefilling)
		{
			return wire::LeaseUpdate::PREFILLING;
		}
		return is_decoding ? wire::LeaseUpdate::DECODING : wire::LeaseUpdate::TRANSFERRING;
	}
}
