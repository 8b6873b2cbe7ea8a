#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "forwarder_state.hpp"

// What proves that a service has no further software version than the one that this daemon knows. That it has heard of
// none is no proof: it may be cut off from the registry and from the other daemons.
namespace godwittrestle::gateway
{
	namespace
	{
		// Longest wait for an answer of the registry.
		constexpr duration longest_read_wait = milliseconds(600);
		constexpr duration read_poll_interval = milliseconds(5);
		constexpr duration least_read_interval = milliseconds(20);
		// Of the calls that the registry takes from all daemons together, the share left to these questions.
		constexpr double share_of_reads = 0.25;
	}

	void forwarder::set_registry_reader(registry_reader reader)
	{
		this->read_registry = std::move(reader);
	}

	duration forwarder::registry_read_interval() const
	{
		auto const reads = std::max(1.0, this->shared->registry_reads_per_second * share_of_reads);
		return std::max(least_read_interval, from_seconds(this->shared->daemon_count / reads));
	}

	void forwarder::ask_registry(time_point since)
	{
		if (this->read_registry && !this->shared->view.covers(since))
		{
			this->read_registry(this->registry_read_interval());
		}
	}

	asio::awaitable<void> forwarder::await_registry_read(state_pointer state, time_point since)
	{
		auto const& view = this->shared->view;
		if (!this->read_registry || view.covers(since))
		{
			co_return;
		}
		auto const give_up_at = monotonic_now() + longest_read_wait;
		asio::steady_timer pause(this->executor);
		while (!view.covers(since) && !view.has_failed_since(since) && !state->is_caller_gone &&
			   !state->is_out_of_time() && monotonic_now() < give_up_at)
		{
			pause.expires_after(read_poll_interval);
			std::ignore = co_await pause.async_wait(wait_token);
		}
	}

	bool forwarder::may_be_only_version(service_id const& service, time_point now) const
	{
		auto const since = now - longest_stream_life(*this->shared);
		return this->shared->versions.served_since(service, since, now).size() <= 1;
	}

	bool forwarder::have_all_denied(request_state const& state, time_point now) const
	{
		auto const& others = this->shared->live_daemons;
		auto const& whole_since = this->shared->fleet_whole_since;
		auto const is_whole = whole_since && *whole_since <= now - longest_stream_life(*this->shared);
		auto const has_denied = [&](routing::fleet_member const& each)
		{
			return state.origin_answers.contains({each.id, each.started});
		};
		return state.have_others_answered && is_whole && std::ranges::all_of(others, has_denied);
	}

	bool forwarder::is_only_version_proved(request_state const& state, time_point now) const
	{
		return this->shared->view.covers(state.started) || this->have_all_denied(state, now);
	}
}
