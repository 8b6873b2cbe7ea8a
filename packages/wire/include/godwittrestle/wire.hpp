#pragma once

// The messages between daemons. The generated types are used as they are, in the core and on the wire.
#include <godwittrestle/wire/wire.pb.h>
