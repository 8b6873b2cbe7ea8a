#include "simulated_backends.hpp"

#include <algorithm>

#include <fmt/format.h>

#include <godwittrestle/decide/rendezvous.hpp>

namespace godwittrestle::testing
{
	std::string reference_token(std::string const& prompt, std::uint32_t index)
	{
		return fmt::format("{:x}-{} ", decide::hash_bytes(prompt) & 0xffffU, index);
	}

	std::string reference_text(std::string const& prompt, std::uint32_t tokens)
	{
		std::string text;
		for (std::uint32_t index = 0; index < tokens; ++index)
		{
			text += reference_token(prompt, index);
		}
		return text;
	}

	std::optional<decide::call_failure> simulated_engine::receive_call()
	{
		++this->calls_received;
		if (this->is_dead)
		{
			return decide::call_failure::not_connected;
		}
		return this->reports_leaving ? std::optional(decide::call_failure::leaving) : std::nullopt;
	}

	void simulated_engine::drop_expired(time_point now)
	{
		std::erase_if(this->held, [&](auto const& each) { return each.second.expires_at <= now; });
	}

	decide::load_report simulated_engine::make_load_report(time_point now)
	{
		this->drop_expired(now);
		decide::load_report shown;
		std::ranges::transform(this->held, std::back_inserter(shown.held),
			[](auto const& each) { return decide::held_request{each.first}; });
		shown.model = this->model;
		shown.role = this->role;
		shown.fence = this->hides_fence ? platform_version{} : this->fence;
		shown.leaving = this->reports_leaving;
		return shown;
	}

	bool simulated_engine::apply_order(decide::send_order const& order)
	{
		if (this->checks_fence && order.fence < this->fence)
		{
			return false;
		}
		this->fence = order.fence;
		this->model = order.model;
		this->role = order.role;
		return true;
	}
}
