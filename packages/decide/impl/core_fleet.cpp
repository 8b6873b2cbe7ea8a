#include <godwittrestle/decide/core.hpp>

#include <algorithm>

#include <fmt/format.h>

#include <godwittrestle/decide/rendezvous.hpp>

namespace godwittrestle::decide
{
	namespace
	{
		constexpr duration watcher_interval = seconds(1);
		// A new instance serves once all listed daemons have answered, or after this time.
		constexpr duration boot_grace = seconds(2);
		// A daemon that comes out of a pause and hears nobody serves on after this time.
		constexpr duration check_grace = seconds(2);
		// A leaving daemon stays at least this long, so that callers' calls on their way still find it.
		constexpr duration least_leaving_time = seconds(1);
		// An answer of the configuration service shows for this long that nothing newer was published.
		constexpr duration confirmation_lifetime = seconds(5);
		// Daemons of each data centre that watch the configuration service once the fleet is large.
		constexpr std::size_t watchers_per_data_centre = 3;
	}

	void core::check_pause(turn& now)
	{
		auto const was_paused = this->last_turn && now.now() - *this->last_turn > this->own.peer_timeout;
		if (!was_paused || !this->behaviour.mechanisms.wake_up_check)
		{
			return;
		}
		// Others may have taken over meanwhile: nothing is granted or ordered until a peer has been heard anew.
		this->suspect_since = now.now();
		this->owner.reset();
		this->authority = {false, false};
		this->checked_at.reset();
		this->seen_generation = 0;
		now.record("woke_up", {}, fmt::format("after {} ms", to_milliseconds(now.now() - *this->last_turn)));
		this->members.send_heartbeats(this->facts(), true, now);
	}

	void core::regain_trust(turn& now)
	{
		if (!this->suspect_since)
		{
			return;
		}
		auto const is_alone = !this->members.has_peers();
		auto const is_checked = this->members.answered_since(*this->suspect_since);
		if (is_alone || is_checked || now.now() - *this->suspect_since > check_grace)
		{
			this->suspect_since.reset();
			now.record("beliefs_checked", {});
		}
	}

	void core::refresh_cells(turn& now)
	{
		auto const& list = this->members.list();
		auto const is_new_shape = this->seen_version != this->policies.version() || this->seen_list != list.version;
		auto const is_new_membership =
			this->seen_generation != this->members.generation() && now.now() - this->refreshed_at >= check_interval;
		if (!this->policies.active() || !(is_new_shape || is_new_membership))
		{
			return;
		}
		this->refreshed_at = now.now();
		this->seen_generation = this->members.generation();
		if (is_new_shape)
		{
			this->seen_version = this->policies.version();
			this->seen_list = list.version;
			this->cells = std::make_shared<std::vector<cell> const>(
				derive_cells(*this->policies.active(), list, this->own.cell_size));
			this->keyed.update(this->policies.active());
		}
		this->owner.update(*this->cells, this->policies.active(), this->members, now);
		this->streams.update(this->cells, this->members, now);
	}

	void core::note_config_change(turn& now)
	{
		if (this->behaviour.mechanisms.peer_config_exchange)
		{
			this->members.send_heartbeats(this->facts(), false, now);
		}
	}

	void core::update_readiness(turn& now)
	{
		if (this->state != readiness::starting || !this->policies.active() || !this->first_list_at)
		{
			return;
		}
		if (this->members.heard_from_all() || now.now() - *this->first_list_at > boot_grace)
		{
			this->state = readiness::ready;
			now.record("ready", {});
		}
	}

	bool core::is_policy_current(time_point now) const
	{
		// Either the service has answered lately, or no daemon is out of sight that could have heard from it.
		auto const is_confirmed = this->confirmed_at && now - *this->confirmed_at < confirmation_lifetime;
		return is_confirmed || !this->members.misses_daemons(now) ||
			   !this->behaviour.mechanisms.orders_need_current_policy;
	}

	void core::choose_watchers(turn& now)
	{
		if (this->watching && now.now() - this->watchers_chosen_at < watcher_interval)
		{
			return;
		}
		this->watchers_chosen_at = now.now();
		auto const& daemons = this->members.list().daemons;
		auto should_watch = true;
		if (daemons.size() > this->own.full_mesh_limit)
		{
			auto const own_rank = rank("watch", this->own.instance.str());
			auto const ahead = std::ranges::count_if(daemons,
				[&](listed_daemon const& daemon)
				{
					return daemon.data_centre == this->own.data_centre && rank("watch", daemon.id.str()) > own_rank &&
						   this->members.is_eligible(daemon.id, now.now());
				});
			should_watch = static_cast<std::size_t>(ahead) < watchers_per_data_centre;
		}
		if (this->watching != should_watch)
		{
			this->watching = should_watch;
			now.emit(set_watch{should_watch});
		}
	}

	void core::continue_leaving(turn& now)
	{
		if (!this->leaving_since || this->has_left)
		{
			return;
		}
		auto const is_idle = this->streams.running() == 0 && this->lookups.running() == 0 && this->keyed.running() == 0;
		auto const has_stayed = now.now() - *this->leaving_since >= least_leaving_time;
		if (is_idle && has_stayed && this->cancels.empty() && this->keyed.hand_over_tables(this->members, now))
		{
			this->has_left = true;
			now.record("left", {});
			now.emit(leave{});
		}
	}

	heartbeat_facts core::facts() const
	{
		return {this->policies.version(), this->policies.digest(), this->keyed.successions()};
	}
}
