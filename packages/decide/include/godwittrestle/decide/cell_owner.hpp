#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/cell_scheduler.hpp>
#include <godwittrestle/decide/counters.hpp>
#include <godwittrestle/decide/event.hpp>
#include <godwittrestle/decide/fwd.hpp>
#include <godwittrestle/decide/settings.hpp>

namespace godwittrestle::decide
{
	// Returns the daemon that owns a cell: the eligible one with the highest rank, those of the cell's data centres
	// first. Daemons that see each other come to the same answer.
	[[nodiscard]] std::optional<instance_id> owner_of(cell const& target, membership const& members, time_point now);

	// What an owner may do now.
	struct owner_authority
	{
		// Grant leases: not between a pause and the check of what the daemon believes.
		bool grants = true;
		// Order engines: only while no newer policy can be in force elsewhere.
		bool orders = true;
	};

	// The part of a daemon that owns cells: it grants leases, watches the engines' reports, cancels what nobody runs
	// any more and orders engines to load what the policy wants.
	class cell_owner
	{
	  public:
		cell_owner(core_settings const& settings, hooks const& behaviour, cancellations& cancels, counters& totals);

		// Takes over changed cells, policy or membership.
		void update(std::vector<cell> const& cells, std::shared_ptr<active_policy const> const& policy,
			membership const& members, turn& now);

		void handle(
			wire::PeerMessage const& message, wire::LeaseRequest const& asked, membership const& members, turn& now);
		void handle(
			wire::PeerMessage const& message, wire::LeaseUpdate const& update, membership const& members, turn& now);
		void handle(
			wire::PeerMessage const& message, wire::DisownReply const& reply, membership const& members, turn& now);
		void handle(load_reported const& reported, membership& members, turn& now);

		// Polls engines and grants, refuses and lapses what is due.
		void handle_tick(membership& members, owner_authority current, turn& now);

		// Forgets all cells, as after a pause in which others have taken over.
		void reset() noexcept;

		[[nodiscard]] std::map<cell_id, cell_scheduler> const& cells() const noexcept
		{
			return this->schedulers;
		}

	  private:
		// When an unclaimed attempt was first seen on an engine, and last asked about.
		struct unclaimed_attempt
		{
			time_point first_seen;
			time_point last_asked;
			server_id server;
		};

		// An order that an engine has not confirmed yet.
		struct pending_order
		{
			platform_version fence;
			time_point sent;
		};

		[[nodiscard]] cell_scheduler* scheduler_for(cell_id const& target);
		[[nodiscard]] cell_scheduler* scheduler_with(server_id const& server);
		void decide(cell_scheduler& scheduler, membership const& members, turn& now);
		void poll_engines(cell_scheduler const& scheduler, membership const& members, turn& now);
		void find_orphans(
			cell_scheduler const& scheduler, load_reported const& reported, membership& members, turn& now);
		void resolve_orphan(std::string const& attempt, server_id const& server, membership& members, turn& now);
		void cancel_orphan(std::string const& attempt, server_id const& server, membership const& members, turn& now);
		[[nodiscard]] bool ensure_model_and_role(
			cell_scheduler const& scheduler, load_reported const& reported, membership const& members, turn& now);

		core_settings const* settings;
		hooks const* behaviour;
		cancellations* cancels;
		counters* totals;
		std::shared_ptr<active_policy const> policy;
		std::map<cell_id, cell_scheduler> schedulers;
		std::map<server_id, time_point> polled;
		std::map<std::string, unclaimed_attempt> unclaimed;
		std::map<server_id, pending_order> orders;
		owner_authority authority;
		time_point lapses_checked_at;
	};
}
