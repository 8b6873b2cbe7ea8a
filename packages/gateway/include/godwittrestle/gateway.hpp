#pragma once

#include <godwittrestle/gateway/application.hpp>
#include <godwittrestle/gateway/connection_pool.hpp>
#include <godwittrestle/gateway/counters.hpp>
#include <godwittrestle/gateway/environment.hpp>
#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/gateway/fingerprints.hpp>
#include <godwittrestle/gateway/forwarder.hpp>
#include <godwittrestle/gateway/protocols.hpp>
#include <godwittrestle/gateway/registry_cursor.hpp>
#include <godwittrestle/gateway/registry_follower.hpp>
#include <godwittrestle/gateway/registry_position.hpp>
#include <godwittrestle/gateway/server_end_check.hpp>
#include <godwittrestle/gateway/serving_thread.hpp>
#include <godwittrestle/gateway/settings.hpp>
#include <godwittrestle/gateway/stream_joiner.hpp>
