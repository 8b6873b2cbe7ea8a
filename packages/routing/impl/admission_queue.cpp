#include <godwittrestle/routing/admission_queue.hpp>

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

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

		// Returns the sort key of a stream: the stream with the smallest key goes first.
		std::tuple<bool, bool, std::uint32_t, time_point> rank(waiting_stream const& stream, time_point now)
		{
			auto const is_late = is_late_at(stream, now);
			return {!stream.has_begun, is_late, stream.priority, is_late ? stream.arrived : stream.start_deadline};
		}
	}

	queue_ticket admission_queue::enter(waiting_stream const& stream)
	{
		queue_ticket const ticket(++this->last_ticket);
		this->waiting.emplace(ticket, stream);
		return ticket;
	}

	void admission_queue::leave(queue_ticket ticket)
	{
		this->waiting.erase(ticket);
	}

	void admission_queue::bind(queue_ticket ticket, std::optional<stream_origin> origin)
	{
		this->waiting.at(ticket).bound_to = std::move(origin);
	}

	void admission_queue::note_try(queue_ticket ticket, time_point now)
	{
		this->waiting.at(ticket).trying_since = now;
	}

	void admission_queue::note_try_end(queue_ticket ticket)
	{
		this->waiting.at(ticket).trying_since.reset();
	}

	std::set<software_version> admission_queue::awaited_versions(service_id const& service) const
	{
		std::set<software_version> versions;
		for (auto const& stream : this->waiting | std::views::values)
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

	bool admission_queue::should_refuse(queue_ticket ticket, time_point leaves_at, time_point now) const
	{
		auto const stream = this->waiting.find(ticket);
		if (stream == this->waiting.end() || now >= leaves_at)
		{
			return true;
		}
		auto const turn_at = now + static_cast<duration::rep>(this->ahead(ticket, now)) * this->grant_interval;
		return turn_at > leaves_at;
	}

	std::size_t admission_queue::ahead(queue_ticket ticket, time_point now) const
	{
		auto const& own = this->waiting.at(ticket);
		auto const own_rank = std::tuple_cat(rank(own, now), std::tuple(ticket));
		return static_cast<std::size_t>(std::ranges::count_if(this->waiting,
			[&](auto const& item)
			{
				auto const& [each, stream] = item;
				return stream.bound_to == own.bound_to &&
					   std::tuple_cat(rank(stream, now), std::tuple(each)) < own_rank;
			}));
	}

	bool admission_queue::may_reserve(queue_ticket ticket, time_point now) const
	{
		auto const& own = this->waiting.at(ticket);
		auto const own_rank = std::tuple_cat(rank(own, now), std::tuple(ticket));
		auto const passes = !is_late_at(own, now);
		return std::ranges::none_of(this->waiting,
			[&](auto const& item)
			{
				auto const& [each, stream] = item;
				auto const competes = stream.bound_to == own.bound_to;
				auto const is_before = competes && std::tuple_cat(rank(stream, now), std::tuple(each)) < own_rank;
				auto const is_in_the_way = !passes || stream.has_begun || stream.needed <= own.needed;
				return is_before && is_in_the_way && !is_try_slow(stream, now);
			});
	}
}
