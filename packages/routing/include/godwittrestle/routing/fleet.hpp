#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// One start of a daemon. A daemon that has started again knows nothing of before.
	struct daemon_start
	{
		instance_id id;
		incarnation started;

		[[nodiscard]] auto operator<=>(daemon_start const&) const = default;
	};

	// Another daemon of the fleet.
	struct fleet_member
	{
		instance_id id;
		incarnation started;
		// Address at which the daemon receives messages: "IP:port".
		std::string address;
		time_point heard_at;
	};

	// Tracks the live daemons by the messages between them, since the platform lists servers, not daemons. Members are
	// learnt from the seeds and from other members. They expire when no message has mentioned them for some time.
	class fleet
	{
	  public:
		fleet(instance_id own, std::string own_address);

		void set_seeds(std::vector<std::string> addresses);

		// Records a message from a daemon. Returns false, and the message must be ignored, when it is from an older
		// incarnation of the sender or from this daemon itself. An incarnation is a time of day, which may step back
		// before a daemon restarts: the lower one is taken for the newer when it is heard for longer than the time
		// after which a member counts as gone, and the higher one is not heard meanwhile.
		[[nodiscard]] bool note_message(fleet_member const& sender);

		// Records a daemon that another daemon reported. Ignores a report that is older than the stored data; what
		// note_message() says of a lower incarnation holds here as well.
		void note_member_report(fleet_member const& reported, time_point now);

		// Returns the time at which a daemon last started, or returned after it had counted as gone; nothing when none
		// did.
		[[nodiscard]] std::optional<time_point> last_arrival() const noexcept
		{
			return this->arrived_at;
		}

		// Returns the time since which this daemon has heard all others without a gap, and none has started: what none
		// of them knows, none of them has done since. Returns nothing when there may be one that it does not hear: a
		// member that went silent without having left, or a seed while none was ever heard. A daemon that was never
		// heard, of which no seed or member tells, is not counted, nor a seed that was never heard among members: it
		// may be stale.
		[[nodiscard]] std::optional<time_point> whole_since(time_point now) const;

		// Removes a daemon that has left.
		void remove(instance_id const& daemon);

		[[nodiscard]] std::vector<fleet_member> live(time_point now) const;

		// Returns the number of live daemons, this one included.
		[[nodiscard]] std::uint32_t size(time_point now) const;

		// Returns the addresses to send the next notice to: all members of a small fleet, or a random sample of a large
		// one. At intervals it adds the seeds that are not among them. draw: returns a uniform random number in [0, 1).
		[[nodiscard]] std::vector<std::string> next_recipients(std::function<double()> const& draw, time_point now);

		// Returns the members to name in a message: all of a small fleet, or a random sample of a large one. This
		// bounds the size of messages, and over several messages each member is named.
		[[nodiscard]] std::vector<fleet_member> members_to_share(
			std::function<double()> const& draw, time_point now) const;

		// Returns the time between two notices. It grows with the fleet, so that the message rate of a daemon stays
		// bounded.
		[[nodiscard]] duration notice_interval(time_point now) const;

	  private:
		// An incarnation that seems older than the recorded one, and when it was first heard since the recorded one
		// was.
		struct doubtful_start
		{
			incarnation started;
			time_point first_heard_at;
		};

		struct known_member
		{
			fleet_member latest;
			std::optional<doubtful_start> doubtful;
			// The incarnation that the latest one has replaced although it is higher.
			std::optional<incarnation> replaced;
		};

		// Returns whether a message or report is of an older incarnation than the recorded one.
		[[nodiscard]] bool is_outdated(known_member& known, fleet_member const& heard) const;

		// Replaces the recorded data.
		static void replace(known_member& known, fleet_member const& heard);

		// Returns the time after which a member that no message has mentioned counts as gone.
		[[nodiscard]] duration member_timeout() const noexcept;

		instance_id own_id;
		std::string own_address;
		std::vector<std::string> seeds;
		std::map<instance_id, known_member> members;
		std::optional<time_point> arrived_at;
		time_point seeds_contacted_at;
	};
}
