#include <godwittrestle/routing/server.hpp>

namespace godwittrestle::routing
{
	std::string_view to_string(server_role role) noexcept
	{
		switch (role)
		{
			case server_role::plain:
				return "plain";
			case server_role::prefill:
				return "prefill";
			case server_role::decode:
				return "decode";
		}
		return "unknown";
	}
}
