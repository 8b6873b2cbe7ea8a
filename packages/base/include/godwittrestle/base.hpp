#pragma once

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/base/bounded_ring.hpp>
#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/base/error.hpp>
#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/strong_type.hpp>
#include <godwittrestle/base/units.hpp>
