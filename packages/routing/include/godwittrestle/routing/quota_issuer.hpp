#pragma once

#include <map>
#include <set>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/account.hpp>
#include <godwittrestle/routing/issuer_election.hpp>
#include <godwittrestle/routing/quota.hpp>

namespace godwittrestle::routing
{
	// Issues the quotas of client accounts. An account's limit holds for all daemons together, and its requests
	// arrive at all of them. So one daemon for each account keeps a token bucket and grants the others parts of it,
	// ahead of their demand; see issuer_election. Nothing but the bucket is kept, so any daemon can take over at once:
	// it begins with a part of the burst and a lower rate, since the issuer before may still grant for a moment.
	class quota_issuer
	{
	  public:
		quota_issuer() = default;
		quota_issuer(instance_id own, issuer_election::rank_function ranking, limit_tolerance allowed);

		// Sets the other daemons that are live. Must be called at regular intervals.
		void set_daemons(std::vector<fleet_member> others, time_point now);

		// Records that a daemon, this one included, announced that it leaves.
		void note_leaving(instance_id const& daemon);

		// Returns the daemon that issues the quota of an account; null when it is this daemon.
		[[nodiscard]] fleet_member const* issuer_of(account_id const& account) const;

		// Decides on a request. limit: the account's limit in the newest configuration.
		[[nodiscard]] quota_answer request(
			account_id const& account, rate_limit const& limit, quota_demand const& demand, time_point now);

		// Forgets the accounts that are not among these.
		void retain(std::set<account_id> const& accounts);

		// Returns the number of live daemons, this one included.
		[[nodiscard]] std::size_t daemons() const noexcept
		{
			return this->election.size();
		}

		// Returns the number of accounts for which this daemon has granted something.
		[[nodiscard]] std::size_t size() const noexcept
		{
			return this->buckets.size();
		}

	  private:
		struct bucket
		{
			// Negative after a request that is larger than the bucket.
			double level = 0;
			time_point filled_at;
			// Time that the last refused request was told to wait for.
			time_point next_request_at;
		};

		// Returns the most units that a bucket holds: what the account may ask for at once, and at least a little of
		// the rate.
		[[nodiscard]] double capacity(rate_limit const& limit) const noexcept;
		// Returns the units a second that are handed out in the long run while all daemons are in touch.
		[[nodiscard]] double sustained_rate(rate_limit const& limit) const noexcept;
		// Returns the units a second that are handed out at present.
		[[nodiscard]] double issued_rate(account_id const& account, rate_limit const& limit, time_point now) const;
		[[nodiscard]] bucket& fill(account_id const& account, rate_limit const& limit, double rate, time_point now);
		[[nodiscard]] static quota_answer refuse(
			bucket& empty, double missing, double needed, double rate, time_point now);

		issuer_election election;
		limit_tolerance tolerance;
		std::map<account_id, bucket> buckets;
	};
}
