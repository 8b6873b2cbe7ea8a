#include <godwittrestle/decide/core.hpp>

#include <algorithm>

#include <fmt/format.h>

#include <godwittrestle/decide/rendezvous.hpp>

namespace godwittrestle::decide
{
	namespace
	{
		constexpr duration watcher_interval = seconds(1);
		// A new daemon serves once it has heard from all listed daemons, or this long after its first instance list.
		constexpr duration startup_timeout = seconds(2);
		// After a pause of the process, a daemon that gets no answer from its peers resumes its work after this time.
		constexpr duration pause_check_timeout = seconds(2);
		// A leaving daemon stays at least this long, so that requests on their way from callers still reach it.
		constexpr duration min_leaving_time = seconds(1);
		// For this long after an answer of the configuration service, the daemon assumes that no newer policy was
		// published.
		constexpr duration confirmation_lifetime = seconds(5);
		// Number of daemons in each data centre that watch the configuration service in a fleet above full_mesh_limit.
		constexpr std::size_t watchers_per_data_centre = 3;
	}

	void core::detect_pause(event_context& context)
	{
		auto const was_paused = this->last_turn && context.now() - *this->last_turn > this->own_settings.peer_timeout;
		if (!was_paused || !this->behaviour.mechanisms.wake_up_check)
		{
			return;
		}
		// Other daemons may have taken over the cells. This daemon grants and orders nothing until a peer has answered
		// a heartbeat sent after the pause, or until the check times out.
		this->unverified_since = context.now();
		this->owner.reset();
		this->authority = {false, false};
		this->fleet_checked_at.reset();
		this->applied_generation = 0;
		context.record("woke_up", {}, fmt::format("after {} ms", to_milliseconds(context.now() - *this->last_turn)));
		this->members.send_heartbeats(this->make_heartbeat_payload(), true, context);
	}

	void core::end_pause_check(event_context& context)
	{
		if (!this->unverified_since)
		{
			return;
		}
		auto const is_alone = !this->members.has_peers();
		auto const is_checked = this->members.answered_since(*this->unverified_since);
		if (is_alone || is_checked || context.now() - *this->unverified_since > pause_check_timeout)
		{
			this->unverified_since.reset();
			context.record("beliefs_checked", {});
		}
	}

	void core::refresh_cells(event_context& context)
	{
		auto const& list = this->members.list();
		auto const has_new_inputs =
			this->applied_policy_version != this->policies.version() || this->applied_list_version != list.version;
		auto const has_new_membership = this->applied_generation != this->members.generation() &&
										context.now() - this->refreshed_at >= check_interval;
		if (!this->policies.active() || !(has_new_inputs || has_new_membership))
		{
			return;
		}
		this->refreshed_at = context.now();
		this->applied_generation = this->members.generation();
		if (has_new_inputs)
		{
			this->applied_policy_version = this->policies.version();
			this->applied_list_version = list.version;
			this->cells = std::make_shared<std::vector<cell> const>(
				derive_cells(*this->policies.active(), list, this->own_settings.cell_size));
			this->keyed.update(this->policies.active());
		}
		this->owner.update(*this->cells, this->policies.active(), this->members, context);
		this->streams.update(this->cells, this->members, context);
	}

	void core::announce_config_change(event_context& context)
	{
		if (this->behaviour.mechanisms.peer_config_exchange)
		{
			this->members.send_heartbeats(this->make_heartbeat_payload(), false, context);
		}
	}

	void core::update_readiness(event_context& context)
	{
		if (this->state != readiness::starting || !this->policies.active() || !this->first_list_at)
		{
			return;
		}
		if (this->members.heard_from_all() || context.now() - *this->first_list_at > startup_timeout)
		{
			this->state = readiness::ready;
			context.record("ready", {});
		}
	}

	bool core::is_policy_current(time_point now) const
	{
		// The policy is current if the configuration service has answered recently, or if no listed daemon is
		// unreachable: an unreachable daemon could have received a newer policy.
		auto const is_confirmed = this->confirmed_at && now - *this->confirmed_at < confirmation_lifetime;
		return is_confirmed || !this->members.has_unreachable_daemons(now) ||
			   !this->behaviour.mechanisms.orders_need_current_policy;
	}

	void core::choose_watchers(event_context& context)
	{
		if (this->watching && context.now() - this->watchers_chosen_at < watcher_interval)
		{
			return;
		}
		this->watchers_chosen_at = context.now();
		auto const& daemons = this->members.list().daemons;
		auto should_watch = true;
		if (daemons.size() > this->own_settings.full_mesh_limit)
		{
			auto const own_rank = rank("watch", this->own_settings.instance.str());
			auto const ahead = std::ranges::count_if(daemons,
				[&](listed_daemon const& daemon)
				{
					return daemon.data_centre == this->own_settings.data_centre &&
						   rank("watch", daemon.id.str()) > own_rank &&
						   this->members.is_eligible(daemon.id, context.now());
				});
			should_watch = static_cast<std::size_t>(ahead) < watchers_per_data_centre;
		}
		if (this->watching != should_watch)
		{
			this->watching = should_watch;
			context.emit(set_watch{should_watch});
		}
	}

	void core::continue_leaving(event_context& context)
	{
		if (!this->leaving_since || this->has_left)
		{
			return;
		}
		auto const is_idle =
			this->streams.running() == 0 && this->repeatable_calls.running() == 0 && this->keyed.running() == 0;
		auto const has_stayed = context.now() - *this->leaving_since >= min_leaving_time;
		if (is_idle && has_stayed && this->cancels.empty() && this->keyed.hand_over_tables(this->members, context))
		{
			this->has_left = true;
			context.record("left", {});
			context.emit(exit_process{});
		}
	}

	heartbeat_payload core::make_heartbeat_payload() const
	{
		return {this->policies.version(), this->policies.digest(), this->keyed.successions()};
	}
}
