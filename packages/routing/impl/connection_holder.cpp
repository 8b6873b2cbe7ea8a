#include <godwittrestle/routing/connection_holder.hpp>

#include <godwittrestle/routing/process_evidence.hpp>

namespace godwittrestle::routing
{
	std::string_view to_string(connection_holder holder) noexcept
	{
		switch (holder)
		{
			case connection_holder::listed:
				return "listed";
			case connection_holder::earlier:
				return "earlier";
			case connection_holder::later:
				return "later";
			case connection_holder::unknown:
				return "unknown";
		}
		return "unknown";
	}

	connection_holder compare_holder(
		registered_server const& entry, std::optional<incarnation> holder, std::optional<incarnation> writer) noexcept
	{
		if (entry.role == server_role::plain)
		{
			return connection_holder::listed;
		}
		if (!holder)
		{
			return connection_holder::unknown;
		}
		auto const has_stated_start = states_start(entry) && *holder == entry.started;
		if (has_stated_start || holder == writer)
		{
			return connection_holder::listed;
		}
		return *holder < entry.started ? connection_holder::earlier : connection_holder::later;
	}

	bool may_send_stream(registered_server const& entry, connection_holder holder, stream_terms const& terms) noexcept
	{
		auto const is_of_origin = !terms.origin || entry.version == *terms.origin;
		switch (holder)
		{
			case connection_holder::listed:
				return is_of_origin;
			case connection_holder::earlier:
				return false;
			case connection_holder::later:
				return !terms.origin;
			case connection_holder::unknown:
				break;
		}
		auto const is_certain = !terms.origin || !terms.is_holder_needed;
		return is_of_origin && is_certain && !terms.is_start_doubtful;
	}
}
