#include <godwittrestle/routing/permit_issuer.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

namespace godwittrestle::routing
{
	namespace
	{
		// Time for which the part of a lost daemon is left unused.
		constexpr duration lost_share_time = seconds(15);
		// Time that a change of the fleet takes to reach all daemons; it grows with the fleet.
		constexpr duration min_settle_time = milliseconds(1000);
		constexpr duration settle_time_per_daemon = milliseconds(2);
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
		: own_id(std::move(own))
		, rank(std::move(ranking))
	{
	}

	void permit_issuer::set_daemons(std::vector<fleet_member> others, time_point now)
	{
		std::set<instance_id> daemons;
		std::ranges::transform(others, std::inserter(daemons, daemons.end()), &fleet_member::id);
		for (auto const& id : this->live | std::views::keys)
		{
			if (!daemons.contains(id))
			{
				this->lost_until.insert_or_assign(id, now + lost_share_time);
			}
		}
		std::erase_if(
			this->lost_until, [&](auto const& item) { return item.second <= now || daemons.contains(item.first); });
		auto const is_alone = others.empty();
		this->live.clear();
		for (auto& each : others)
		{
			auto id = each.id;
			this->live.insert_or_assign(std::move(id), std::move(each));
		}
		if (!this->is_leaving || is_alone)
		{
			daemons.insert(this->own_id);
		}
		if (this->history.empty() || this->history.back().daemons != daemons)
		{
			this->history.push_back({std::move(daemons), now});
		}
		while (this->history.size() > 1 && this->history[1].since <= now - this->settle_time())
		{
			this->history.pop_front();
		}
	}

	void permit_issuer::note_leaving(instance_id const& daemon)
	{
		this->is_leaving = this->is_leaving || daemon == this->own_id;
		this->live.erase(daemon);
		this->lost_until.erase(daemon);
	}

	fleet_member const* permit_issuer::issuer_of(server_id const& server) const
	{
		if (this->history.empty())
		{
			return nullptr;
		}
		auto const* const chosen = this->highest_ranked(server, this->history.back().daemons);
		auto const found = chosen == nullptr ? this->live.end() : this->live.find(*chosen);
		return found == this->live.end() ? nullptr : &found->second;
	}

	permit_answer permit_issuer::request(server_id const& server, request_rate limit, time_point now)
	{
		if (this->issuer_of(server) != nullptr)
		{
			return {permit_outcome::not_issuer, not_issuer_retry};
		}
		auto const part = this->share(now);
		if (!this->is_settled_issuer(server, now))
		{
			return {permit_outcome::fleet_changed, this->settle_time() / 2, part};
		}
		auto const [found, is_new] = this->buckets.try_emplace(server);
		if (is_new)
		{
			found->second.filled_at = now;
		}
		return this->take(found->second, std::max(limit, min_rate).per_second(), part, now);
	}

	permit_answer permit_issuer::take(bucket& available, double rate, double part, time_point now) const
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

	instance_id const* permit_issuer::highest_ranked(
		server_id const& server, std::set<instance_id> const& daemons) const
	{
		auto const rank_of = [&](instance_id const& daemon)
		{
			return this->rank ? this->rank(server.str(), daemon.str()) : 0;
		};
		auto const best = std::ranges::max_element(daemons, {}, rank_of);
		return best == daemons.end() ? nullptr : &*best;
	}

	duration permit_issuer::settle_time() const noexcept
	{
		return min_settle_time + static_cast<duration::rep>(this->live.size()) * settle_time_per_daemon;
	}

	bool permit_issuer::is_settled_issuer(server_id const& server, time_point now) const
	{
		auto const settled_since = now - this->settle_time();
		if (this->history.empty() || this->history.front().since > settled_since)
		{
			return false;
		}
		// The set that was in force at that time, and all later ones.
		auto const after = std::ranges::upper_bound(this->history, settled_since, {}, &membership::since);
		return std::all_of(std::prev(after), this->history.end(),
			[&](membership const& each)
			{
				auto const* const chosen = this->highest_ranked(server, each.daemons);
				return chosen != nullptr && *chosen == this->own_id;
			});
	}

	double permit_issuer::share(time_point now) const
	{
		auto const lost =
			std::ranges::count_if(this->lost_until | std::views::values, [&](time_point until) { return now < until; });
		auto const known = static_cast<double>(this->live.size() + 1);
		return known / (known + static_cast<double>(lost));
	}
}
