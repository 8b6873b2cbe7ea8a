#pragma once

#include <godwittrestle/base/units.hpp>

// Shared by the parts of cell_scheduler.
namespace godwittrestle::decide
{
	// An engine whose report is older than this is not given work.
	inline constexpr duration report_timeout = seconds(2);
}
