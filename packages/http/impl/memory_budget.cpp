#include <godwittrestle/http/memory_budget.hpp>

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

namespace godwittrestle::http
{
	namespace
	{
		// What a process needs without any body.
		constexpr std::size_t process_bytes = 24'000'000;
		// A request that moves on by less than move_bytes in stop_time has stopped.
		constexpr std::size_t move_bytes = 1024;
		constexpr duration stop_time = milliseconds(500);
		// Requests below this size yield only when no larger one can.
		constexpr std::size_t small_bytes = 65'536;
		// The part of the budget that one address gets.
		constexpr std::size_t address_share_numerator = 3;
		constexpr std::size_t address_share_denominator = 4;
	}

	std::size_t budget_of_machine(std::size_t machine_bytes) noexcept
	{
		return (machine_bytes - std::min(machine_bytes, process_bytes)) / 2;
	}

	memory_budget::memory_budget(memory_limits const& given)
		: limits(given)
	{
	}

	void memory_budget::set_limits(memory_limits const& given)
	{
		this->limits = given;
	}

	holder_id memory_budget::begin(std::string address, time_point now)
	{
		this->last += holder_id(1);
		++this->addresses[address].requests;
		this->holders.try_emplace(this->last, holder{std::move(address), 0, 0, now});
		return this->last;
	}

	holder_id memory_budget::begin_answer(std::string address, time_point now)
	{
		auto const id = this->begin(std::move(address), now);
		auto& answer = this->holders.at(id);
		answer.is_answer = true;
		answer.is_complete = true;
		return id;
	}

	void memory_budget::begin_wait(holder_id id, time_point now)
	{
		auto const found = this->holders.find(id);
		if (found != this->holders.end())
		{
			found->second.is_complete = false;
			found->second.moved_at = now;
		}
	}

	void memory_budget::note_move(holder_id id, time_point now)
	{
		auto const found = this->holders.find(id);
		if (found != this->holders.end())
		{
			found->second.moved_at = now;
		}
	}

	void memory_budget::end_wait(holder_id id)
	{
		this->complete(id);
	}

	std::vector<yielding_request> memory_budget::make_room(time_point now)
	{
		std::vector<yielding_request> yielding;
		while (!this->has_room())
		{
			auto const next = this->find_yielding(std::string(), now);
			if (next == this->holders.end() || !has_stopped(next->second, now))
			{
				break;
			}
			yielding.push_back({next->first, yield_reason::stopped});
			this->erase(next);
		}
		return yielding;
	}

	bool memory_budget::has_room() const noexcept
	{
		return this->total < this->total_limit();
	}

	std::vector<yielding_request> memory_budget::hold(holder_id id, std::size_t bytes, time_point now)
	{
		auto const found = this->holders.find(id);
		if (found == this->holders.end())
		{
			return {};
		}
		auto& request = found->second;
		if (!request.is_answer && bytes >= request.moved_bytes + move_bytes)
		{
			request.moved_bytes = bytes;
			request.moved_at = now;
		}
		auto const address = request.address;
		auto& share = this->addresses.at(address);
		share.bytes = share.bytes - request.bytes + bytes;
		this->total = this->total - request.bytes + bytes;
		request.bytes = bytes;
		std::vector<yielding_request> yielding;
		while (true)
		{
			auto const is_spent = this->total > this->total_limit();
			auto const owned = this->addresses.find(address);
			auto const is_address_over = owned != this->addresses.end() && owned->second.bytes > this->address_limit();
			if (!is_spent && !is_address_over)
			{
				break;
			}
			auto const next = this->find_yielding(is_spent ? std::string() : address, now);
			if (next == this->holders.end())
			{
				break;
			}
			auto const reason = has_stopped(next->second, now) ? yield_reason::stopped : yield_reason::no_room;
			yielding.push_back({next->first, reason});
			this->erase(next);
		}
		return yielding;
	}

	void memory_budget::complete(holder_id id)
	{
		auto const found = this->holders.find(id);
		if (found != this->holders.end())
		{
			found->second.is_complete = true;
		}
	}

	void memory_budget::end(holder_id id)
	{
		auto const found = this->holders.find(id);
		if (found != this->holders.end())
		{
			this->erase(found);
		}
	}

	std::size_t memory_budget::held() const noexcept
	{
		return this->total;
	}

	std::size_t memory_budget::total_limit() const noexcept
	{
		return std::max(this->limits.bytes, this->limits.request_bytes);
	}

	std::size_t memory_budget::address_limit() const noexcept
	{
		auto const share = this->limits.bytes / address_share_denominator * address_share_numerator;
		return std::max(share, this->limits.request_bytes);
	}

	memory_budget::holder_map::iterator memory_budget::find_yielding(std::string const& address, time_point now)
	{
		// Of those that have stopped, the one that has stopped first; then by address and age.
		auto const rank = [&](holder_map::iterator each)
		{
			auto const& request = each->second;
			auto const stopped_for = has_stopped(request, now) ? now - request.moved_at : duration{};
			return std::tuple(
				stopped_for, request.bytes >= small_bytes, this->addresses.at(request.address).bytes, each->first);
		};
		auto best = this->holders.end();
		for (auto each = this->holders.begin(); each != this->holders.end(); ++each)
		{
			auto const& request = each->second;
			auto const is_asked = address.empty() || request.address == address;
			if (is_asked && may_yield(request, now) && (best == this->holders.end() || rank(each) > rank(best)))
			{
				best = each;
			}
		}
		return best;
	}

	bool memory_budget::may_yield(holder const& request, time_point now) noexcept
	{
		return !request.is_complete && request.bytes > 0 && (!request.is_answer || has_stopped(request, now));
	}

	bool memory_budget::has_stopped(holder const& request, time_point now) noexcept
	{
		return now - request.moved_at >= stop_time;
	}

	void memory_budget::erase(holder_map::iterator request)
	{
		auto const share = this->addresses.find(request->second.address);
		share->second.bytes -= request->second.bytes;
		this->total -= request->second.bytes;
		if (--share->second.requests == 0)
		{
			this->addresses.erase(share);
		}
		this->holders.erase(request);
	}
}
