#pragma once

#include <godwittrestle/routing/admission_queue.hpp>
#include <godwittrestle/routing/configuration.hpp>
#include <godwittrestle/routing/directory.hpp>
#include <godwittrestle/routing/engine_memory.hpp>
#include <godwittrestle/routing/engine_speed.hpp>
#include <godwittrestle/routing/fleet.hpp>
#include <godwittrestle/routing/output_estimate.hpp>
#include <godwittrestle/routing/placement.hpp>
#include <godwittrestle/routing/pool_balance.hpp>
#include <godwittrestle/routing/retry_budget.hpp>
#include <godwittrestle/routing/retry_rules.hpp>
#include <godwittrestle/routing/server.hpp>
#include <godwittrestle/routing/server_health.hpp>
#include <godwittrestle/routing/server_load.hpp>
#include <godwittrestle/routing/service_observations.hpp>
#include <godwittrestle/routing/shared_average.hpp>
