#pragma once

#include <string_view>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// The decision on a request for a part of an account's limit. All amounts are in the unit of that limit.
	enum class quota_outcome
	{
		granted,
		// What the limit allows up to now has been used.
		limit_reached,
		// Another daemon issues the quota of this account.
		not_issuer,
		// The issuer has not answered in time.
		no_answer,
	};

	[[nodiscard]] std::string_view to_string(quota_outcome outcome) noexcept;

	// What a daemon asks the issuer of an account's quota for.
	struct quota_demand
	{
		// What the request at hand uses.
		double needed = 0;
		// What the requests of the next moments will most likely use besides.
		double ahead = 0;
		// What was granted before and is not used.
		double returned = 0;
	};

	struct quota_answer
	{
		quota_outcome outcome = quota_outcome::no_answer;
		double granted = 0;
		// When nothing was granted: how long to wait before the next request.
		duration retry_after{};
	};

	// How an account's limit is measured, and how far all daemons together may exceed it, which none of them can keep
	// to the unit.
	struct limit_tolerance
	{
		// Part of the limit, such as 0.25.
		double excess = 0;
		// Units beyond that, whatever the limit.
		double units = 0;
		// Time over which the limit is measured: the rate times this, and the burst. Zero for a bucket that the rate
		// fills and that holds the burst.
		duration window{};

		[[nodiscard]] bool operator==(limit_tolerance const&) const = default;
	};
}
