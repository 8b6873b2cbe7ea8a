#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/answer_time.hpp>
#include <godwittrestle/routing/server.hpp>
#include <godwittrestle/routing/server_health.hpp>
#include <godwittrestle/routing/server_limit.hpp>
#include <godwittrestle/routing/server_load.hpp>
#include <godwittrestle/routing/server_watch.hpp>

namespace godwittrestle::routing
{
	// A role change that a model engine was ordered to make.
	struct role_change_order
	{
		server_role role = server_role::decode;
		// Time at which the order counts as failed if the registry does not show the new role yet.
		time_point until;
	};

	// An entry as a copy of the registry names it, of a server that this daemon knows to have left or to be leaving.
	struct doubted_entry
	{
		registered_server entry;
		// From this time on the entry counts: the registry would have removed it by then if its server were gone.
		time_point believed_from;
	};

	// The start that a server has stated last.
	struct start_statement
	{
		incarnation start;
		// Time at which the server was asked. The statement tells nothing of what has happened since.
		time_point asked_at;
	};

	// State that this daemon keeps of one backend server.
	struct server_record
	{
		registered_server entry;
		entry_times times;
		server_health health;
		server_load load;
		// How long the server takes to answer questions of this daemon's own.
		answer_time answers;
		// The limit that the server states for the requests of all daemons together.
		server_limit limit;
		// Set when the registry no longer lists the server: until this time it may still get work that no listed server
		// can take.
		std::optional<time_point> missing_until;

		// Set when the registry came back from a copy that lacks the entry: until this time the server counts as
		// listed, since a live server writes its entry again.
		std::optional<time_point> awaited_until;

		// Set when the registry came back from a copy that names the server as it was before it left. Until the entry
		// counts, the server stays what it was known to be.
		std::optional<doubted_entry> doubted;

		// Set when the registry can't be read any more, and at a sign that the server's process may have ended while no
		// entry would tell: the process that answers now may have another start, and another software version, than the
		// entry states. Reset when the server itself has stated the entry's start.
		std::optional<time_point> start_doubted_at;

		// Time of the last sign that the server's process may have ended. Reset when the server has since stated the
		// entry's start. Unlike start_doubted_at it concerns only streams that have begun, so it is kept at all times.
		std::optional<time_point> end_sign_at;

		// Time at which an answer of the server was last broken off.
		std::optional<time_point> answer_broken_at;

		// The start that the server has stated, when it is not that of the entry: the entry of this process has not
		// been read yet.
		std::optional<incarnation> stated_start;
		// Time at which that start was heard of; a question that was asked before may have been answered by an earlier
		// process.
		time_point stated_start_heard_at;

		// What the server has stated last, whether or not it is the start of the entry.
		std::optional<start_statement> last_statement;

		// Whether the server's last report stated no start.
		bool is_start_unreported = false;

		// The process that is known to have written the entry, where the server states its start nowhere, or in one
		// place only; see server_watch.
		std::optional<incarnation> writer;

		// Set when another server answered at this address: this server is gone, even if the registry still lists it.
		bool is_replaced = false;

		// The server whose entry names the same address and a later start. An address belongs to one process, so this
		// server is gone while that entry stands.
		std::weak_ptr<server_record const> follower;

		// Set when the server announced in an answer that it is leaving, even if the registry does not show that yet.
		bool has_announced_leaving = false;

		// The role change that was ordered last.
		std::optional<role_change_order> pending_role_change;

		// Returns the server's newest process that is known.
		[[nodiscard]] server_process newest_process() const
		{
			return {this->entry.id, this->stated_start.value_or(this->entry.started)};
		}

		// Records a start that the server has stated. One before that of the entry or of an earlier statement comes
		// from an answer that was overtaken; so does the entry's own start, if it was asked for before a later one was
		// heard of.
		void note_stated_start(incarnation stated, time_point asked_at, time_point now) noexcept
		{
			if (this->entry.started == incarnation())
			{
				// There is nothing to compare it with.
				return;
			}
			if (stated == this->entry.started && asked_at > this->stated_start_heard_at)
			{
				this->stated_start.reset();
			}
			else if (stated > this->newest_process().started)
			{
				this->stated_start = stated;
				this->stated_start_heard_at = now;
			}
		}

		// Returns whether an ordered role change is not visible in the registry yet. The server takes no work during
		// the change.
		[[nodiscard]] bool is_changing_role(time_point now) const noexcept
		{
			return this->pending_role_change && this->pending_role_change->role != this->entry.role &&
				   now < this->pending_role_change->until;
		}

		// Returns the current role, or the new role while an ordered change is in progress.
		[[nodiscard]] server_role role_after_change(time_point now) const noexcept
		{
			return this->is_changing_role(now) ? this->pending_role_change->role : this->entry.role;
		}

		// Stores an order unless the stored one ends later: the order that ends last is the newest.
		void note_pending_role_change(role_change_order const& order) noexcept
		{
			if (!this->pending_role_change || this->pending_role_change->until < order.until)
			{
				this->pending_role_change = order;
			}
		}

		// Returns whether the server announced, in the registry or in an answer, that it takes no new work.
		[[nodiscard]] bool is_leaving() const noexcept
		{
			return this->entry.leaving || this->has_announced_leaving;
		}

		// Returns whether the registry lists the server and the server is not leaving.
		[[nodiscard]] bool is_ready() const noexcept
		{
			return !this->is_leaving() && !this->missing_until;
		}
	};

	using server_pointer = std::shared_ptr<server_record>;

	// Times for which servers without a registry entry are kept.
	struct directory_settings
	{
		// Applies to an entry that was removed while the registry was readable: its server has probably left, and gets
		// no work after this time.
		duration removal_grace = milliseconds(1200);
		// Applies to entries that expired during a registry outage: their servers register again within about two
		// seconds after the end of the outage.
		duration return_grace = milliseconds(2300);
		// Time after which the registry removes the entry of a server that is silent.
		duration entry_lifetime = milliseconds(3600);
		// Time for which a server that is gone is remembered: a copy that is no older may still name it.
		duration memory_time = seconds(60);

		[[nodiscard]] bool operator==(directory_settings const&) const = default;
	};

	// What a copy of the registry, compared with what this daemon knew, says about the servers.
	struct copy_summary
	{
		// Servers that the copy names as they are known, or newer.
		std::size_t confirmed = 0;
		// Servers that were not known.
		std::size_t added = 0;
		// Servers that the copy lacks or names with an earlier start. They count as listed for a while.
		std::size_t awaited = 0;
		// Servers that the copy lacks and that were last seen too long ago to be awaited.
		std::size_t removed = 0;
		// Servers that the copy names although they have left or are leaving.
		std::size_t doubted = 0;
	};

	// Holds the backend servers that the registry lists. A registry loses entries during an outage, so a server whose
	// entry is missing is kept as a last resort until its entry would have returned.
	class directory
	{
	  public:
		explicit directory(directory_settings given = {}) noexcept
			: terms(given)
		{
		}

		// Adds or updates the server of a registry entry that was written after a time. Returns whether the entry is
		// new or differs from the stored one.
		bool put(registered_server const& entry, time_point written_after = {}, time_point now = {});

		// Records which process has written a server's present entry.
		void note_writer(server_record& known, incarnation process);

		// Records that the entry of a server was removed from the registry.
		void remove(server_id const& id, time_point now);

		// Applies a complete list of entries; servers that it does not name are treated as removed.
		void replace(std::vector<registered_server> const& entries, time_point now);

		// Applies the complete list of a registry that has come back from a copy some seconds old. What is known is
		// newer than the copy, so an entry that contradicts it counts only when it is written again or stays.
		// unobserved: time since the registry was last read.
		[[nodiscard]] copy_summary replace_from_copy(
			std::vector<registered_server> const& entries, duration unobserved, time_point now);

		// Records that the registry can't be read any more: from now on a server may start again unnoticed.
		void note_registry_lost(time_point now);

		// Records a sign that a server's process may have ended. While the registry can be read, the entry of a server
		// that starts again tells soon; otherwise, and until entries are back after an outage, its start is doubted.
		void note_end_sign(server_id const& id, time_point now);

		// Records that a server has stated the start of its entry. asked_at: signs from before this time are settled.
		static void note_start_confirmed(server_record& known, time_point asked_at) noexcept;

		// Records that the registry is readable again after an outage.
		void note_registry_return(time_point now);

		// Erases and returns the servers whose entries have been missing for too long.
		std::vector<server_pointer> expire(time_point now);

		// Returns the servers of a service and role that may get work: the ready ones, or those with missing entries
		// when none is ready. Servers that are leaving, replaced, followed by another one at their address or changing
		// their role are left out.
		[[nodiscard]] std::vector<server_pointer> candidates(
			service_id const& service, server_role role, time_point now) const;

		// Returns the servers of a service that may get streams: its decode engines or, of a service that lists no
		// engine of either stage, its plain servers. See candidates().
		[[nodiscard]] std::vector<server_pointer> stream_servers(service_id const& service, time_point now) const;

		// Returns how many ready engines of a service prefill and how many decode. Engines that are changing their role
		// count with the new role.
		[[nodiscard]] pool_sizes pools(service_id const& service, time_point now) const;

		// Returns the shortest time until a ready server of the service may get work again after a pause that it
		// requested or the refusal of a permit; zero when a server may get work now, or when there is no ready server.
		[[nodiscard]] duration shortest_pause(service_id const& service, time_point now) const;

		// Returns the ready server of the service whose limit allows the next request soonest; null when a ready server
		// may get a request now. Prefill engines and paused servers are left out.
		[[nodiscard]] server_pointer next_limited(service_id const& service, time_point now) const;

		[[nodiscard]] server_pointer find(server_id const& id) const;

		// Returns the software version of a server's process, also of one that has ended a while ago; nothing while the
		// entry of the process has not been read.
		[[nodiscard]] std::optional<software_version> version_of(server_process const& process) const;

		// Returns whether a server of the service has stated a start whose entry has not been read yet.
		[[nodiscard]] bool has_unlisted_process(service_id const& service) const;
		// Returns the services of which that is so.
		[[nodiscard]] std::set<service_id> services_with_unlisted_process() const;

		[[nodiscard]] directory_settings const& settings() const noexcept
		{
			return this->terms;
		}

		[[nodiscard]] std::map<server_id, server_pointer> const& all() const noexcept
		{
			return this->servers;
		}

	  private:
		// A server that is gone.
		struct departed_server
		{
			server_pointer server;
			time_point forgotten_from;
		};

		// Returns the record of an entry's server: the present one, or that of a departed server that is the same
		// incarnation, which is then a server of the directory again. Null when there is none.
		[[nodiscard]] server_pointer find_or_revive(registered_server const& entry);
		// Compares a record that has come in with the latest process that is known at its address.
		void note_address(server_pointer const& added);
		// Returns whether another process is known to have the server's address now.
		[[nodiscard]] bool is_gone(server_record const& known) const;
		// Keeps the version of the process that the server had until now.
		void remember_version(server_id const& id);
		void remember_version(server_process const& process, software_version const& version);
		// Applies an entry of a copy to the server's record and counts it.
		void put_from_copy(server_record& known, registered_server const& entry, copy_summary& summary, time_point now);
		// Doubts the start that a server's entry states. A server that states none can't be asked.
		static void doubt_start(server_record& known, time_point now) noexcept;
		// Ends the times of a server during which its entry is awaited or doubted. Returns whether the server is gone.
		[[nodiscard]] bool settle(server_record& known, time_point now) const;

		// The version of a process that another one of its server has followed.
		struct past_process
		{
			software_version version;
			// Set at the first expire() after its end.
			std::optional<time_point> forgotten_from;
		};

		directory_settings terms;
		std::map<server_id, server_pointer> servers;
		// The server at each address whose entry states the latest start.
		std::map<std::string, std::weak_ptr<server_record>> latest_at;
		std::map<server_process, past_process> past_processes;
		std::map<server_id, departed_server> departed;
		bool is_registry_lost = false;
		time_point registry_returned_at;
	};
}
