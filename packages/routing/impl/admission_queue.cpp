#include <godwittrestle/routing/admission_queue.hpp>

#include <algorithm>
#include <functional>
#include <ranges>
#include <tuple>
#include <utility>
#include <vector>

namespace godwittrestle::routing
{
	namespace
	{
		constexpr int grant_average_length = 6;
		// Time for which a stream that asks engines for memory is the only one that does.
		constexpr duration longest_exclusive_try = milliseconds(50);

		// Returns whether a stream has asked for so long that others need not wait for it.
		bool is_try_slow(waiting_stream const& stream, time_point now)
		{
			return stream.trying_since && now - *stream.trying_since >= longest_exclusive_try;
		}

		bool is_late_at(waiting_stream const& stream, time_point now)
		{
			return stream.has_begun || stream.start_deadline < now;
		}
	}

	admission_queue::order_key admission_queue::key_of(queue_ticket ticket, entry const& each, time_point now)
	{
		auto const& stream = each.stream;
		auto const is_late = is_late_at(stream, now);
		auto const own_time = is_late ? stream.arrived : stream.start_deadline;
		return {!stream.has_begun, is_late, !each.is_starved, stream.priority, each.tag, own_time, ticket};
	}

	bool admission_queue::would_overtake(entry const& own, entry const& other)
	{
		auto const& stream = other.stream;
		auto const shares_turns =
			stream.priority == own.stream.priority && stream.account != own.stream.account && !other.is_starved;
		return shares_turns && own.tag > other.tag + fair_tag(stream.needed.count());
	}

	queue_ticket admission_queue::enter(waiting_stream const& stream)
	{
		queue_ticket const ticket(++this->last_ticket);
		this->waiting.emplace(ticket, entry{stream, fair_tag{}});
		this->with_account += stream.account.empty() ? 0 : 1;
		this->tags_hold_until.reset();
		return ticket;
	}

	void admission_queue::leave(queue_ticket ticket)
	{
		auto const found = this->waiting.find(ticket);
		if (found == this->waiting.end())
		{
			return;
		}
		auto const& stream = found->second.stream;
		if (this->with_account > 0 && !stream.has_begun)
		{
			this->ratios.note_end(stream.priority, found->second.is_served);
		}
		this->with_account -= stream.account.empty() ? 0 : 1;
		this->waiting.erase(found);
		this->tags_hold_until.reset();
	}

	void admission_queue::bind(queue_ticket ticket, std::optional<stream_origin> origin)
	{
		auto& stream = this->waiting.at(ticket).stream;
		if (stream.bound_to != origin)
		{
			stream.bound_to = std::move(origin);
			this->tags_hold_until.reset();
		}
	}

	void admission_queue::note_try(queue_ticket ticket, time_point now)
	{
		this->waiting.at(ticket).stream.trying_since = now;
	}

	void admission_queue::note_try_end(queue_ticket ticket)
	{
		this->waiting.at(ticket).stream.trying_since.reset();
	}

	void admission_queue::note_served(queue_ticket ticket)
	{
		auto& served = this->waiting.at(ticket);
		auto const& stream = served.stream;
		if (this->with_account == 0 || stream.has_begun)
		{
			return;
		}
		served.is_served = true;
		this->shares[stream.priority].note_served(stream.account, stream.needed);
		this->tags_hold_until.reset();
	}

	void admission_queue::update_tags(time_point now)
	{
		if (this->tags_hold_until && now <= *this->tags_hold_until)
		{
			return;
		}
		this->tags_hold_until = time_point::max();
		for (auto& each : this->waiting | std::views::values)
		{
			each.tag = fair_tag{};
			each.is_starved =
				this->with_account > 0 && !each.stream.has_begun && this->ratios.is_starved(each.stream.priority);
		}
		if (this->with_account == 0)
		{
			return;
		}
		std::vector<std::pair<order_key, entry*>> order;
		order.reserve(this->waiting.size());
		for (auto& [ticket, each] : this->waiting)
		{
			order.emplace_back(key_of(ticket, each, now), &each);
		}
		std::ranges::sort(order, std::less{}, &std::pair<order_key, entry*>::first);
		// Where the next stream of an account counts from, among those that compete with each other.
		std::map<std::tuple<std::optional<stream_origin>, bool, std::uint32_t, account_id>, fair_tag> next_tags;
		for (auto* const each : order | std::views::values)
		{
			auto const& stream = each->stream;
			if (stream.has_begun)
			{
				continue;
			}
			auto const is_late = is_late_at(stream, now);
			if (!is_late)
			{
				this->tags_hold_until = std::min(*this->tags_hold_until, stream.start_deadline);
			}
			auto const first = this->shares[stream.priority].next_tag(stream.account);
			auto& next =
				next_tags.try_emplace({stream.bound_to, is_late, stream.priority, stream.account}, first).first->second;
			each->tag = next;
			next += fair_tag(stream.needed.count());
		}
	}

	std::set<software_version> admission_queue::awaited_versions(service_id const& service) const
	{
		std::set<software_version> versions;
		for (auto const& stream : this->waiting | std::views::values | std::views::transform(&entry::stream))
		{
			if (stream.bound_to && stream.bound_to->service == service)
			{
				versions.insert(stream.bound_to->version);
			}
		}
		return versions;
	}

	void admission_queue::note_grant(time_point now)
	{
		if (this->last_grant)
		{
			this->grant_interval += (now - *this->last_grant - this->grant_interval) / grant_average_length;
		}
		this->last_grant = now;
	}

	void admission_queue::note_idle() noexcept
	{
		this->last_grant.reset();
	}

	bool admission_queue::should_refuse(queue_ticket ticket, time_point leaves_at, time_point now)
	{
		if (!this->waiting.contains(ticket) || now >= leaves_at)
		{
			return true;
		}
		return now + this->expected_wait(ticket, now) > leaves_at;
	}

	duration admission_queue::expected_wait(queue_ticket ticket, time_point now)
	{
		return static_cast<duration::rep>(this->ahead(ticket, now)) * this->grant_interval;
	}

	std::size_t admission_queue::ahead(queue_ticket ticket, time_point now)
	{
		this->update_tags(now);
		auto const& own = this->waiting.at(ticket);
		auto const own_key = key_of(ticket, own, now);
		return static_cast<std::size_t>(std::ranges::count_if(this->waiting,
			[&](auto const& item)
			{
				auto const& [each, other] = item;
				return other.stream.bound_to == own.stream.bound_to && key_of(each, other, now) < own_key;
			}));
	}

	bool admission_queue::may_reserve(queue_ticket ticket, time_point now)
	{
		this->update_tags(now);
		auto const& own = this->waiting.at(ticket);
		auto const own_key = key_of(ticket, own, now);
		auto const passes = !is_late_at(own.stream, now);
		return std::ranges::none_of(this->waiting,
			[&](auto const& item)
			{
				auto const& [each, other] = item;
				auto const& stream = other.stream;
				auto const competes = stream.bound_to == own.stream.bound_to;
				auto const is_before = competes && key_of(each, other, now) < own_key;
				auto const is_in_the_way =
					!passes || stream.has_begun || stream.needed <= own.stream.needed || would_overtake(own, other);
				return is_before && is_in_the_way && !is_try_slow(stream, now);
			});
	}
}
