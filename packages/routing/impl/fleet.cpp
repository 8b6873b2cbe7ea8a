#include <godwittrestle/routing/fleet.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include <godwittrestle/base/algorithm.hpp>

namespace godwittrestle::routing
{
	namespace
	{
		// A member that no message has mentioned for this time counts as gone. The time grows with the fleet, since
		// each member is mentioned less often in a large one.
		constexpr duration min_member_timeout = milliseconds(3500);
		constexpr duration timeout_per_member = milliseconds(20);
		// Maximum number of members named in one message.
		constexpr std::size_t max_shared_members = 24;
		// Maximum number of members that get each notice, seeds not included.
		constexpr std::size_t max_recipients = 12;
		constexpr duration seed_interval = seconds(1);
		// Replaces seed_interval while no member is known, for instance after a start.
		constexpr duration first_seed_interval = milliseconds(150);
		constexpr duration min_notice_interval = milliseconds(100);
		constexpr duration notice_interval_per_member = milliseconds(10);
		constexpr duration max_notice_interval = milliseconds(500);
	}

	fleet::fleet(instance_id own, std::string address)
		: own_id(std::move(own))
		, own_address(std::move(address))
	{
	}

	void fleet::set_seeds(std::vector<std::string> addresses)
	{
		this->seeds = std::move(addresses);
	}

	bool fleet::note_message(fleet_member const& sender)
	{
		if (sender.id == this->own_id)
		{
			return false;
		}
		auto& known = this->members[sender.id];
		if (this->is_outdated(known, sender))
		{
			return false;
		}
		auto const was_gone = sender.heard_at - known.latest.heard_at > this->member_timeout();
		if (sender.started != known.latest.started || was_gone)
		{
			this->arrived_at = sender.heard_at;
		}
		replace(known, sender);
		return true;
	}

	void fleet::note_member_report(fleet_member const& reported, time_point now)
	{
		if (reported.id == this->own_id || now - reported.heard_at > this->member_timeout())
		{
			return;
		}
		auto const [position, is_unknown] = this->members.try_emplace(reported.id);
		auto& known = position->second;
		if (!is_unknown && this->is_outdated(known, reported))
		{
			return;
		}
		if (is_unknown || reported.started != known.latest.started)
		{
			replace(known, reported);
			this->arrived_at = now;
			return;
		}
		if (now - known.latest.heard_at > this->member_timeout())
		{
			this->arrived_at = now;
		}
		known.latest.heard_at = std::max(known.latest.heard_at, reported.heard_at);
	}

	bool fleet::is_outdated(known_member& known, fleet_member const& heard) const
	{
		auto const& latest = known.latest;
		auto const is_later = heard.started > latest.started && heard.started != known.replaced;
		if (heard.started == latest.started || is_later)
		{
			return false;
		}
		auto& doubtful = known.doubtful;
		if (!doubtful || doubtful->started != heard.started || doubtful->first_heard_at <= latest.heard_at)
		{
			doubtful = doubtful_start{heard.started, heard.heard_at};
		}
		return heard.heard_at - doubtful->first_heard_at <= this->member_timeout();
	}

	void fleet::replace(known_member& known, fleet_member const& heard)
	{
		if (heard.started < known.latest.started)
		{
			known.replaced = known.latest.started;
		}
		else if (known.replaced && heard.started >= *known.replaced)
		{
			known.replaced.reset();
		}
		known.latest = heard;
	}

	void fleet::remove(instance_id const& daemon)
	{
		this->members.erase(daemon);
	}

	std::vector<fleet_member> fleet::live(time_point now) const
	{
		std::vector<fleet_member> found;
		auto const latest = this->members | std::views::values | std::views::transform(&known_member::latest);
		std::ranges::copy_if(latest, std::back_inserter(found),
			[&](fleet_member const& each) { return now - each.heard_at <= this->member_timeout(); });
		return found;
	}

	std::optional<time_point> fleet::whole_since(time_point now) const
	{
		auto const is_other = [this](std::string const& seed)
		{
			return seed != this->own_address;
		};
		auto const may_be_unheard = this->members.empty() && std::ranges::any_of(this->seeds, is_other);
		if (may_be_unheard || this->live(now).size() < this->members.size())
		{
			return std::nullopt;
		}
		return this->arrived_at.value_or(time_point());
	}

	duration fleet::member_timeout() const noexcept
	{
		return std::max(min_member_timeout, static_cast<duration::rep>(this->members.size()) * timeout_per_member);
	}

	std::vector<fleet_member> fleet::members_to_share(std::function<double()> const& draw, time_point now) const
	{
		return random_sample(this->live(now), max_shared_members, draw);
	}

	std::uint32_t fleet::size(time_point now) const
	{
		return static_cast<std::uint32_t>(this->live(now).size()) + 1;
	}

	std::vector<std::string> fleet::next_recipients(std::function<double()> const& draw, time_point now)
	{
		std::vector<std::string> addresses;
		std::ranges::transform(this->live(now), std::back_inserter(addresses), &fleet_member::address);
		addresses = random_sample(std::move(addresses), max_recipients, draw);
		if (now - this->seeds_contacted_at >= (addresses.empty() ? first_seed_interval : seed_interval))
		{
			this->seeds_contacted_at = now;
			std::ranges::copy_if(this->seeds, std::back_inserter(addresses),
				[&](std::string const& seed) { return seed != this->own_address && !contains(addresses, seed); });
		}
		return addresses;
	}

	duration fleet::notice_interval(time_point now) const
	{
		return std::clamp(notice_interval_per_member * this->size(now), min_notice_interval, max_notice_interval);
	}
}
