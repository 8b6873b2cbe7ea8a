#pragma once

#include <map>
#include <optional>
#include <set>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// Which software versions of each service were in service, and when. A stream that nothing else is known of began
	// at the only version that was in service during a stream's longest life, if there was only one. A list of servers
	// tells nothing of the time before it, however long its servers have run: a server that has left is not in it.
	class version_history
	{
	  public:
		using versions_by_service = std::map<service_id, std::set<software_version>>;

		// Sets the versions that are in service from now on.
		void set_in_service(versions_by_service versions, time_point now);

		// Records that a version was in service at a time.
		void note_served(service_id const& service, software_version const& version, time_point at);

		// Records that the history contains every version of a service, or of all services, that was in service after a
		// time.
		void note_complete_since(service_id const& service, time_point since);
		void note_complete_since(time_point since);

		// Records that the servers were not observed until now: versions may have come and gone.
		void note_gap(time_point now);

		// Returns the time from which the history of a service is complete; nothing before the servers are known.
		[[nodiscard]] std::optional<time_point> complete_since(service_id const& service) const;

		// Returns the versions of a service that were in service after a time, with the last time of each. now: the
		// time of those that are in service.
		[[nodiscard]] std::map<software_version, time_point> served_since(
			service_id const& service, time_point since, time_point now) const;

		// Returns the services of which several versions were in service after a time.
		[[nodiscard]] std::set<service_id> services_with_several(time_point since, time_point now) const;

		// Returns the only version of a service that was in service after a time; nothing when there were several or
		// when the history does not reach back that far.
		[[nodiscard]] std::optional<software_version> only_version_since(
			service_id const& service, time_point since, time_point now) const;

		// Forgets the versions that were last in service before a time.
		void expire(time_point served_before);

	  private:
		versions_by_service in_service;
		// Last time of each version that is not in service any more.
		std::map<service_id, std::map<software_version, time_point>> last_served;
		// Time from which the history of all services is complete, and of those of which more is known.
		std::optional<time_point> known_since;
		std::map<service_id, time_point> service_known_since;
	};
}
