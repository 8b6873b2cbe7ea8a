#include <godwittrestle/routing/permit_issuer.hpp>

#include <algorithm>
#include <utility>

namespace godwittrestle::routing
{
	namespace
	{
		// Permits that are not used are kept for this time at most, so that a server gets no burst after a pause.
		constexpr double max_kept_seconds = 0.25;
		// A server that takes no requests can't tell that its limit has ended. It gets one request in this time.
		constexpr request_rate min_rate{0.1};
		// Allows for rounding where a daemon asks again at just the time that it was told.
		constexpr double whole_permit = 0.999;
		constexpr double requests_per_permit = 2;
		constexpr duration min_retry = milliseconds(20);
		constexpr duration max_retry = seconds(2);
		constexpr duration not_issuer_retry = milliseconds(100);
	}

	permit_issuer::permit_issuer(instance_id own, rank_function ranking)
		: election(std::move(own), std::move(ranking))
	{
	}

	void permit_issuer::set_daemons(std::vector<fleet_member> others, time_point now)
	{
		this->election.set_daemons(std::move(others), now);
	}

	void permit_issuer::note_leaving(instance_id const& daemon)
	{
		this->election.note_leaving(daemon);
	}

	fleet_member const* permit_issuer::issuer_of(server_id const& server) const
	{
		return this->election.issuer_of(server.str());
	}

	permit_answer permit_issuer::request(server_id const& server, request_rate limit, time_point now)
	{
		if (this->issuer_of(server) != nullptr)
		{
			return {permit_outcome::not_issuer, not_issuer_retry};
		}
		auto const part = this->election.share(now);
		if (!this->election.is_settled_issuer(server.str(), now))
		{
			return {permit_outcome::fleet_changed, this->election.settle_time() / 2, part};
		}
		auto const [found, is_new] = this->buckets.try_emplace(server);
		if (is_new)
		{
			found->second.filled_at = now;
		}
		return take(found->second, std::max(limit, min_rate).per_second(), part, now);
	}

	permit_answer permit_issuer::take(bucket& available, double rate, double part, time_point now)
	{
		auto const used_rate = rate * part;
		auto const elapsed = std::chrono::duration<double>(now - available.filled_at).count();
		auto const most = std::max(1.0, used_rate * max_kept_seconds);
		available.permits = std::min(most, available.permits + elapsed * used_rate);
		available.filled_at = now;
		if (available.permits >= whole_permit)
		{
			available.permits -= 1;
			return {permit_outcome::granted, {}, part};
		}
		// Each refused daemon is told a later time, so that they do not all ask again at once. Two are told to come for
		// each permit, since one may have no request any more.
		auto const next_permit_at = now + from_seconds((1 - available.permits) / used_rate);
		auto const after_last = available.next_request_at + from_seconds(1 / (requests_per_permit * used_rate));
		available.next_request_at = std::min(std::max(next_permit_at, after_last), now + max_retry);
		auto const wait = std::max(min_retry, available.next_request_at - now);
		return {permit_outcome::limit_reached, wait, part};
	}

	void permit_issuer::forget(server_id const& server)
	{
		this->buckets.erase(server);
	}
}
