#pragma once

#include <string>

#include <godwittrestle/decide.hpp>
#include <godwittrestle/policy.hpp>

namespace godwittrestle::testing
{
	// Returns the smallest valid policy. Documents with different requests_per_second differ.
	[[nodiscard]] inline policy::RoutingPolicy small_policy(std::uint32_t requests_per_second = 1)
	{
		policy::RoutingPolicy document;
		auto& pool = *document.add_pools();
		pool.set_name("desk");
		pool.set_role(policy::PLAIN);
		auto& service = *document.add_services();
		service.set_name("desk");
		service.set_plain_pool("desk");
		service.set_deadline_ms(1000);
		service.add_routes()->set_path_prefix("/");
		auto& account = *document.add_accounts();
		account.set_name("crews");
		account.set_requests_per_second(requests_per_second);
		account.set_concurrent_requests(10);
		return document;
	}

	// Calls a function that returns a result. Returns the failure, or a failure with default values when there is none.
	template <typename Function>
	[[nodiscard]] failure failure_of(Function&& function)
	{
		return handle_failure(
			[&]() -> result<failure>
			{
				BOOST_LEAF_CHECK(function());
				return failure{};
			},
			[](failure const& error) { return error; });
	}

	// Makes event contexts without a core, for tests of the core's parts. at() returns a context at the given time.
	struct context_fixture
	{
		decide::core_settings settings;
		decide::hybrid_clock clock;
		std::vector<decide::action> actions;

		[[nodiscard]] decide::event_context at(time_point now)
		{
			return {this->settings, this->clock, now, this->actions};
		}
	};
}
