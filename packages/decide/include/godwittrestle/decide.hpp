#pragma once

#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/decide/cell.hpp>
#include <godwittrestle/decide/core.hpp>
#include <godwittrestle/decide/counters.hpp>
#include <godwittrestle/decide/event.hpp>
#include <godwittrestle/decide/platform.hpp>
#include <godwittrestle/decide/request_id.hpp>
#include <godwittrestle/decide/settings.hpp>
