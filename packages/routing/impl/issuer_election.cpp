#include <godwittrestle/routing/issuer_election.hpp>

#include <algorithm>
#include <iterator>
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
	}

	issuer_election::issuer_election(instance_id own, rank_function ranking)
		: own_id(std::move(own))
		, rank(std::move(ranking))
	{
	}

	void issuer_election::set_daemons(std::vector<fleet_member> others, time_point now)
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
			++this->change_count;
		}
		while (this->history.size() > 1 && this->history[1].since <= now - this->settle_time())
		{
			this->history.pop_front();
		}
	}

	void issuer_election::note_leaving(instance_id const& daemon)
	{
		this->is_leaving = this->is_leaving || daemon == this->own_id;
		this->live.erase(daemon);
		this->lost_until.erase(daemon);
	}

	fleet_member const* issuer_election::issuer_of(std::string_view key) const
	{
		if (this->history.empty())
		{
			return nullptr;
		}
		auto const* const chosen = this->highest_ranked(key, this->history.back().daemons);
		if (chosen == nullptr || *chosen == this->own_id)
		{
			return nullptr;
		}
		auto const found = this->live.find(*chosen);
		return found != this->live.end() ? &found->second : this->next_issuer_of(key);
	}

	fleet_member const* issuer_election::next_issuer_of(std::string_view key) const
	{
		auto staying = this->history.back().daemons;
		std::erase_if(
			staying, [&](instance_id const& each) { return each != this->own_id && !this->live.contains(each); });
		auto const* const chosen = this->highest_ranked(key, staying);
		auto const found = chosen == nullptr ? this->live.end() : this->live.find(*chosen);
		return found == this->live.end() ? nullptr : &found->second;
	}

	instance_id const* issuer_election::highest_ranked(std::string_view key, std::set<instance_id> const& daemons) const
	{
		auto const rank_of = [&](instance_id const& daemon)
		{
			return this->rank ? this->rank(key, daemon.str()) : 0;
		};
		auto const best = std::ranges::max_element(daemons, {}, rank_of);
		return best == daemons.end() ? nullptr : &*best;
	}

	duration issuer_election::settle_time() const noexcept
	{
		return min_settle_time + static_cast<duration::rep>(this->live.size()) * settle_time_per_daemon;
	}

	bool issuer_election::is_settled_issuer(std::string_view key, time_point now) const
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
				auto const* const chosen = this->highest_ranked(key, each.daemons);
				return chosen != nullptr && *chosen == this->own_id;
			});
	}

	double issuer_election::share(time_point now) const
	{
		auto const lost =
			std::ranges::count_if(this->lost_until | std::views::values, [&](time_point until) { return now < until; });
		auto const known = static_cast<double>(this->live.size() + 1);
		return known / (known + static_cast<double>(lost));
	}
}
