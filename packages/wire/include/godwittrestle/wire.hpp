#pragma once

// The messages between daemons. The daemons use the generated types directly, without a layer of their own types.
#include <godwittrestle/wire/wire.pb.h>
