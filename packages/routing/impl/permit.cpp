#include <godwittrestle/routing/permit.hpp>

namespace godwittrestle::routing
{
	std::string_view to_string(permit_outcome outcome) noexcept
	{
		switch (outcome)
		{
			case permit_outcome::granted:
				return "granted";
			case permit_outcome::limit_reached:
				return "limit_reached";
			case permit_outcome::not_issuer:
				return "not_issuer";
			case permit_outcome::fleet_changed:
				return "fleet_changed";
			case permit_outcome::no_answer:
				return "no_answer";
		}
		return "unknown";
	}
}
