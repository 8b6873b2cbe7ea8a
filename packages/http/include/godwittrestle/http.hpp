#pragma once

#include <godwittrestle/http/client.hpp>
#include <godwittrestle/http/connection_state.hpp>
#include <godwittrestle/http/message.hpp>
#include <godwittrestle/http/port_probe.hpp>
#include <godwittrestle/http/server.hpp>
#include <godwittrestle/http/sse.hpp>
#include <godwittrestle/http/upstream.hpp>
