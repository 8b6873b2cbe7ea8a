#pragma once

#include <godwittrestle/daemon/application.hpp>
#include <godwittrestle/daemon/backend.hpp>
#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/platform.hpp>
#include <godwittrestle/daemon/settings.hpp>
#include <godwittrestle/daemon/telemetry.hpp>
