#include <godwittrestle/routing/server.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	std::size_t connection_share(std::uint32_t max_connections, std::uint32_t daemons) noexcept
	{
		constexpr std::size_t minimum = 2;
		constexpr std::size_t default_share = 64;
		if (max_connections == 0)
		{
			return default_share;
		}
		return std::max<std::size_t>(minimum, max_connections / std::max(1U, daemons));
	}

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
