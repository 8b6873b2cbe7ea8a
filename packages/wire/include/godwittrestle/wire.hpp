#pragma once

// The messages between daemons. The daemons use the generated protobuf types directly, without wrapper types.
#include <godwittrestle/wire/wire.pb.h>
