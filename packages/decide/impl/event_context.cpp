#include <godwittrestle/decide/event_context.hpp>

#include <algorithm>
#include <utility>

namespace godwittrestle::decide
{
	namespace
	{
		constexpr std::uint64_t max_clock_lead_us = 60'000'000;
	}

	hooks default_hooks()
	{
		constexpr std::size_t bytes_per_token = 4;
		hooks defaults;
		defaults.count_tokens = [](std::string_view text)
		{
			return token_count(static_cast<std::uint32_t>((text.size() + bytes_per_token - 1) / bytes_per_token));
		};
		return defaults;
	}

	std::uint64_t hybrid_clock::next(std::uint64_t physical) noexcept
	{
		this->last = std::max(physical, this->last + 1);
		return this->last;
	}

	void hybrid_clock::observe(std::uint64_t received, std::uint64_t physical) noexcept
	{
		if (received < physical + max_clock_lead_us)
		{
			this->last = std::max(this->last, received);
		}
	}

	event_context::event_context(
		core_settings const& settings, hybrid_clock& hybrid, time_point time, std::vector<action>& output) noexcept
		: core(&settings)
		, clock(&hybrid)
		, present(time)
		, actions(&output)
	{
	}

	void event_context::emit(action next)
	{
		this->actions->push_back(std::move(next));
	}

	void event_context::record(std::string_view name, request_id const& request, std::string detail)
	{
		this->emit(record_event{this->clock->next(this->wall_time()), std::string(name), request, std::move(detail)});
	}

	void event_context::send(instance_id const& to, std::string const& address, wire::PeerMessage message)
	{
		message.set_from(this->core->instance.str());
		message.set_incarnation(this->core->started.count());
		message.set_timestamp(this->clock->next(this->wall_time()));
		if (to == this->core->instance)
		{
			this->local.push_back(std::move(message));
			return;
		}
		this->emit(send_peer{to, address, std::move(message)});
	}

	bool event_context::take_local(wire::PeerMessage& message)
	{
		if (this->local.empty())
		{
			return false;
		}
		message = std::move(this->local.front());
		this->local.pop_front();
		return true;
	}

	std::uint64_t event_context::wall_time() const noexcept
	{
		return this->core->wall_offset + static_cast<std::uint64_t>(this->present.time_since_epoch().count());
	}
}
