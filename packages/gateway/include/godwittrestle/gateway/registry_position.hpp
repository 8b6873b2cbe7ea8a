#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <godwittrestle/base/strong_type.hpp>

namespace godwittrestle::gateway
{
	// How often the registry has come back from a copy; 0 when the registry does not say.
	using registry_era = strong_count<struct registry_era_tag, std::uint64_t>;
	// Number of the registry's last change. Within an era it only rises; a new era gives out the same numbers again.
	using registry_revision = strong_count<struct registry_revision_tag, std::uint64_t>;

	// A point in the registry's history. Revisions of different eras say nothing about each other, so a position is
	// compared as a whole: any position of a later era is the newer one.
	struct registry_position
	{
		registry_era era;
		registry_revision revision;

		[[nodiscard]] constexpr auto operator<=>(registry_position const&) const noexcept = default;
	};

	// Returns the position as logs show it: "ERA/REVISION".
	[[nodiscard]] inline std::string to_string(registry_position const& position)
	{
		return std::to_string(position.era.count()) + "/" + std::to_string(position.revision.count());
	}
}
