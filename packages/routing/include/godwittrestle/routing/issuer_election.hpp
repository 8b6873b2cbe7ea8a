#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/fleet.hpp>

namespace godwittrestle::routing
{
	// Decides which daemon issues the permits or quotas of a key: the live daemon with the highest rendezvous hash
	// of the key. All daemons that see the same fleet choose the same one, and nothing but the fleet is remembered.
	//
	// A daemon that is lost without having announced its leaving may still send, on the other side of a cut. So its
	// part of what an issuer hands out is left unused for lost_share_time; an issuer on the other side leaves the part
	// of this side unused.
	class issuer_election
	{
	  public:
		// Returns the rank of a member for a key; the member with the highest rank is chosen.
		using rank_function = std::function<std::uint64_t(std::string_view key, std::string_view member)>;

		issuer_election() = default;
		issuer_election(instance_id own, rank_function ranking);

		// Sets the other daemons that are live. Must be called at regular intervals.
		void set_daemons(std::vector<fleet_member> others, time_point now);

		// Records that a daemon, this one included, announced that it leaves. A leaving daemon issues nothing.
		void note_leaving(instance_id const& daemon);

		// Returns the issuer for a key; null when it is this daemon.
		[[nodiscard]] fleet_member const* issuer_of(std::string_view key) const;

		// Returns whether this daemon has been the issuer for a key long enough for all others to know it.
		[[nodiscard]] bool is_settled_issuer(std::string_view key, time_point now) const;

		// Time that a change of the fleet takes to reach all daemons.
		[[nodiscard]] duration settle_time() const noexcept;

		// Returns the part of the fleet that is known to be reached, from 0 to 1.
		[[nodiscard]] double share(time_point now) const;

		// Returns how often the set of daemons has changed.
		[[nodiscard]] std::uint64_t changes() const noexcept
		{
			return this->change_count;
		}

		// Returns the number of live daemons, this one included.
		[[nodiscard]] std::size_t size() const noexcept
		{
			return this->live.size() + 1;
		}

	  private:
		// A set of daemons, this one included, and the time from which this daemon has seen just these.
		struct membership
		{
			std::set<instance_id> daemons;
			time_point since;
		};

		// Returns the issuer for a key after the one before has announced that it leaves.
		[[nodiscard]] fleet_member const* next_issuer_of(std::string_view key) const;
		[[nodiscard]] instance_id const* highest_ranked(
			std::string_view key, std::set<instance_id> const& daemons) const;

		instance_id own_id;
		rank_function rank;
		std::map<instance_id, fleet_member> live;
		bool is_leaving = false;
		std::uint64_t change_count = 0;
		// The present set of daemons, and before it those that were in force during the last settle_time. Oldest first.
		std::deque<membership> history;
		// Daemons that were lost, with the time at which their part is used again.
		std::map<instance_id, time_point> lost_until;
	};
}
