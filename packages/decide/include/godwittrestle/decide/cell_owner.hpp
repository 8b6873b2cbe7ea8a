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
	// Returns the owner of a cell: the eligible daemon with the highest rank, where daemons in the data centres of the
	// cell take precedence. Daemons with the same view of the membership return the same owner.
	[[nodiscard]] std::optional<instance_id> owner_of(cell const& target, membership const& members, time_point now);

	// The decisions that a cell owner may make now.
	struct owner_authority
	{
		// Whether it may grant leases. False after the process was paused, until its view of the fleet has been
		// checked.
		bool may_grant = true;
		// Whether it may order engines to load models, provided that it may grant leases. False while a newer policy
		// may be in force elsewhere.
		bool may_send_orders = true;
	};

	// The part of a daemon that owns cells. It grants leases, polls the engines for load reports, cancels requests on
	// engines that no daemon runs any more, and orders engines to load the model and the role that the policy assigns
	// to them.
	class cell_owner
	{
	  public:
		cell_owner(core_settings const& settings, hooks const& behaviour, cancellations& cancels, counters& totals);

		// Applies changed cells, policy or membership. Takes over the cells that this daemon owns now and gives up the
		// others.
		void update(std::vector<cell> const& cells, std::shared_ptr<active_policy const> const& policy,
			membership const& members, event_context& context);

		void handle(wire::PeerMessage const& message, wire::LeaseRequest const& asked, membership const& members,
			event_context& context);
		void handle(wire::PeerMessage const& message, wire::LeaseUpdate const& update, membership const& members,
			event_context& context);
		void handle(wire::PeerMessage const& message, wire::DisownReply const& reply, membership const& members,
			event_context& context);
		void handle(load_reported const& reported, membership& members, event_context& context);

		// Polls the engines, removes expired leases, and grants or refuses waiting requests.
		void handle_tick(membership& members, owner_authority current, event_context& context);

		// Forgets all cells, for use after a pause of the process in which other daemons may have taken them over.
		void reset() noexcept;

		[[nodiscard]] std::map<cell_id, cell_scheduler> const& cells() const noexcept
		{
			return this->schedulers;
		}

	  private:
		// An attempt that an engine reports and for which there is no lease: when it was first seen, when its
		// originating daemon was last asked about it, and on which engine it is.
		struct unclaimed_attempt
		{
			time_point first_seen;
			time_point last_asked;
			server_id server;
		};

		// An order to load a model in a role that the load reports of the engine do not confirm yet.
		struct pending_order
		{
			platform_version fence;
			time_point sent;
		};

		[[nodiscard]] cell_scheduler* scheduler_for(cell_id const& target);
		[[nodiscard]] cell_scheduler* scheduler_with(server_id const& server);
		void decide(cell_scheduler& scheduler, membership const& members, event_context& context);
		void poll_engines(cell_scheduler const& scheduler, membership const& members, event_context& context);
		// Calls resolve_orphan for each attempt in a load report that has had no lease for some time.
		void find_orphans(cell_scheduler const& scheduler, load_reported const& reported, membership& members,
			event_context& context);
		// Cancels an attempt that is proved to be orphaned; otherwise asks or probes its originating daemon.
		void resolve_orphan(
			std::string const& attempt, server_id const& server, membership& members, event_context& context);
		void cancel_orphan(
			std::string const& attempt, server_id const& server, membership const& members, event_context& context);
		// Returns whether an engine reports the model and the role that the policy assigns to it. If not, sends it an
		// order when one is due.
		[[nodiscard]] bool ensure_model_and_role(cell_scheduler const& scheduler, load_reported const& reported,
			membership const& members, event_context& context);

		core_settings const* settings;
		hooks const* behaviour;
		cancellations* cancels;
		counters* totals;
		std::shared_ptr<active_policy const> policy;
		std::map<cell_id, cell_scheduler> schedulers;
		std::map<server_id, time_point> last_polled;
		std::map<std::string, unclaimed_attempt> unclaimed;
		std::map<server_id, pending_order> pending_orders;
		owner_authority authority;
		time_point lapses_checked_at;
	};
}
