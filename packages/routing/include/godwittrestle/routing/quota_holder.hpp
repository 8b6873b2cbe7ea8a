#pragma once

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/account.hpp>
#include <godwittrestle/routing/quota.hpp>

namespace godwittrestle::routing
{
	enum class limit_outcome
	{
		admitted,
		over_limit,
		// Only the issuer of the account's quota can tell.
		unknown,
	};

	[[nodiscard]] std::string_view to_string(limit_outcome outcome) noexcept;

	// The decision on a request of an account with a limit.
	struct limit_verdict
	{
		limit_outcome outcome = limit_outcome::unknown;
		// When the request is over the limit: time until there is room for it.
		duration retry_after{};
	};

	// A quota that was not used in time and goes back to its issuer.
	struct unused_quota
	{
		account_id account;
		double units = 0;
	};

	// What this daemon was granted of the limits of client accounts. Requests are admitted from it without a message;
	// the issuer is asked when it does not suffice. Grants that are not used for a while go back.
	class quota_holder
	{
	  public:
		// Records that a request has arrived.
		void note_demand(account_id const& account, double units, time_point now);

		// Decides on a request from what this daemon knows.
		[[nodiscard]] limit_verdict decide(account_id const& account, double units, time_point now);

		// Returns what to ask the issuer for when it has to decide on a request.
		[[nodiscard]] quota_demand demand(account_id const& account, double units, time_point now) const;

		// Records the issuer's answer to a request for these units.
		void note_answer(account_id const& account, quota_answer const& answer, double units, time_point now);

		// Decides on a request while the issuer does not answer: each daemon may use its even part of the limit, for as
		// long as it takes to choose a new issuer. daemons: the number of live ones.
		[[nodiscard]] limit_verdict decide_alone(
			account_id const& account, rate_limit const& limit, double units, std::size_t daemons, time_point now);

		// Returns the units of a request that was admitted and has not run.
		void give_back(account_id const& account, double units, time_point now);

		// Takes out what was not used in time.
		[[nodiscard]] std::vector<unused_quota> take_unused(time_point now);

		// Forgets the accounts that are not among these.
		void retain(std::set<account_id> const& accounts);

		// Returns what is left of the grants for an account.
		[[nodiscard]] double balance(account_id const& account) const;

	  private:
		struct holding
		{
			double balance = 0;
			time_point granted_at;
			// Moving average of the units asked for a second.
			double asked_rate = 0;
			time_point asked_at;
			// Requests of this size or larger are over the limit until then.
			time_point refused_until;
			double refused_units = 0;
			// What this daemon may still use by itself; nothing before it had to.
			std::optional<double> alone;
			time_point alone_at;
		};

		std::map<account_id, holding> holdings;
	};
}
