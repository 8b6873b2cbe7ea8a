#pragma once

#include <godwittrestle/base/units.hpp>

// Shared by cell_scheduler.cpp and cell_placement.cpp.
namespace godwittrestle::decide
{
	// An engine whose last load report is older than this gets no new work.
	inline constexpr duration report_timeout = seconds(2);
}
