#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// A daemon of the fleet.
	struct fleet_member
	{
		instance_id id;
		incarnation started;
		// Where it takes messages: "IP:port".
		std::string address;
		time_point heard_at;
	};

	// Which daemons live, as far as messages tell: the platform lists servers, not daemons. Members are learnt from the
	// seeds and from each other, and forgotten when they fall silent.
	class fleet
	{
	  public:
		fleet(instance_id own, std::string own_address);

		void set_seeds(std::vector<std::string> addresses);

		// Notes a message of a daemon. Returns false when it came from an older incarnation and is void.
		[[nodiscard]] bool note_message(fleet_member const& sender);

		// Notes a daemon of which another one has heard. Only what is newer than the own knowledge counts.
		void note_member_report(fleet_member const& told, time_point now);

		// Notes that a daemon has left.
		void remove(instance_id const& daemon);

		[[nodiscard]] std::vector<fleet_member> live(time_point now) const;

		// Daemons that live, this one included.
		[[nodiscard]] std::uint32_t size(time_point now) const;

		// Returns who is told next: all members of a small fleet, some drawn at random of a large one, and now and then
		// the seeds that were not heard. draw: a uniform number from 0 up to but not including 1.
		[[nodiscard]] std::vector<std::string> next_recipients(std::function<double()> const& draw, time_point now);

		// Returns the members that a message names: all of a small fleet, some drawn at random of a large one, so that
		// messages stay bounded and everybody is heard of by and by.
		[[nodiscard]] std::vector<fleet_member> members_to_share(
			std::function<double()> const& draw, time_point now) const;

		// Time between two notices: longer in a larger fleet, so that a daemon's messages stay bounded.
		[[nodiscard]] duration notice_interval(time_point now) const;

	  private:
		// Time without a sign of a member after which it is taken for gone.
		[[nodiscard]] duration member_timeout() const noexcept;

		instance_id own_id;
		std::string own_address;
		std::vector<std::string> seeds;
		std::map<instance_id, fleet_member> members;
		time_point seeds_contacted_at;
	};
}
