#pragma once

#include <godwittrestle/client/commands.hpp>
#include <godwittrestle/client/daemon_connection.hpp>
