#include <godwittrestle/routing/directory.hpp>

#include <algorithm>
#include <ranges>
#include <set>

namespace godwittrestle::routing
{
	namespace
	{
		// Returns whether a record is that of the entry's server and of the same start of it. Where no start is stated,
		// another version shows another process.
		bool is_same_incarnation(server_record const& known, registered_server const& entry)
		{
			auto const is_same_process = entry.started != incarnation() || known.entry.version == entry.version;
			return known.entry.started == entry.started && known.entry.address == entry.address && is_same_process;
		}

		void set_entry(server_record& known, registered_server const& entry)
		{
			known.entry = entry;
			known.missing_until.reset();
			known.awaited_until.reset();
			known.doubted.reset();
		}
	}

	bool directory::put(registered_server const& entry, time_point written_after, time_point now)
	{
		auto const known = this->find_or_revive(entry);
		if (!known || !is_same_incarnation(*known, entry))
		{
			auto const added = std::make_shared<server_record>();
			added->entry = entry;
			added->times = {now, written_after, now};
			if (known)
			{
				added->is_start_unreported = known->is_start_unreported;
				added->note_stated_start(known->newest_process().started, time_point(), known->stated_start_heard_at);
			}
			auto const gone = this->departed.find(entry.id);
			if (auto const before = known || gone == this->departed.end() ? known : gone->second.server)
			{
				added->load.take_over_pause(before->load);
				if (before->entry.address == entry.address)
				{
					// The way to it is the same.
					added->answers = before->answers;
				}
			}
			this->remember_version(entry.id);
			this->servers[entry.id] = added;
			this->departed.erase(entry.id);
			this->note_address(added);
			return true;
		}
		auto const is_changed = known->entry != entry || known->missing_until.has_value();
		set_entry(*known, entry);
		if (written_after > known->times.written_after)
		{
			known->times.written_after = written_after;
			known->times.read_at = now;
		}
		return is_changed;
	}

	void directory::note_writer(server_record& known, incarnation process)
	{
		if (known.writer && known.writer != process)
		{
			this->remember_version({known.entry.id, *known.writer}, known.entry.version);
		}
		known.writer = process;
	}

	void directory::note_address(server_pointer const& added)
	{
		auto const& entry = added->entry;
		if (entry.started == incarnation())
		{
			return;
		}
		auto& latest = this->latest_at[entry.address];
		auto const known = latest.lock();
		auto const is_listed = known && this->find(known->entry.id) == known && !known->is_replaced;
		if (is_listed && known->entry.started > entry.started)
		{
			added->follower = known;
			return;
		}
		if (is_listed && known->entry.started < entry.started)
		{
			known->follower = added;
		}
		latest = added;
	}

	bool directory::is_gone(server_record const& known) const
	{
		// Each follower has a later start than the one before.
		auto is_followed = false;
		for (auto next = known.follower.lock(); next && !is_followed; next = next->follower.lock())
		{
			is_followed = !next->is_replaced && this->find(next->entry.id) == next;
		}
		return known.is_replaced || is_followed;
	}

	void directory::remember_version(server_id const& id)
	{
		auto const gone = this->departed.find(id);
		auto const before = gone == this->departed.end() ? this->find(id) : gone->second.server;
		if (before)
		{
			this->remember_version({id, before->writer.value_or(before->entry.started)}, before->entry.version);
		}
		if (before && before->writer)
		{
			this->remember_version({id, before->entry.started}, before->entry.version);
		}
	}

	void directory::remember_version(server_process const& process, software_version const& version)
	{
		this->past_processes[process] = {version, std::nullopt};
	}

	void directory::remove(server_id const& id, time_point now)
	{
		auto const found = this->find(id);
		if (!found || (found->missing_until && !found->doubted))
		{
			return;
		}
		found->doubted.reset();
		found->awaited_until.reset();
		auto const until_return = this->registry_returned_at + this->terms.return_grace;
		found->missing_until = std::max(now + this->terms.removal_grace, until_return);
	}

	void directory::replace(std::vector<registered_server> const& entries, time_point now)
	{
		std::set<server_id> named;
		for (auto const& entry : entries)
		{
			named.insert(entry.id);
			this->put(entry, time_point(), now);
		}
		for (auto const& [id, known] : this->servers)
		{
			if (!named.contains(id) && !known->awaited_until)
			{
				this->remove(id, now);
			}
		}
	}

	copy_summary directory::replace_from_copy(
		std::vector<registered_server> const& entries, duration unobserved, time_point now)
	{
		copy_summary summary;
		std::set<server_id> named;
		for (auto const& entry : entries)
		{
			named.insert(entry.id);
			if (auto const known = this->find_or_revive(entry))
			{
				this->put_from_copy(*known, entry, summary, now);
			}
			else
			{
				this->put(entry, time_point(), now);
				++summary.added;
			}
		}
		// An entry that was in the registry this short a time ago had not lapsed, so its server lived.
		auto const are_awaited = unobserved <= this->terms.entry_lifetime;
		for (auto const& [id, known] : this->servers)
		{
			if (named.contains(id) || known->missing_until)
			{
				continue;
			}
			++(are_awaited ? summary.awaited : summary.removed);
			if (are_awaited)
			{
				known->awaited_until = now + this->terms.return_grace;
			}
			else
			{
				this->remove(id, now);
			}
		}
		return summary;
	}

	void directory::put_from_copy(
		server_record& known, registered_server const& entry, copy_summary& summary, time_point now)
	{
		if (entry.started < known.entry.started)
		{
			known.awaited_until = now + this->terms.return_grace;
			++summary.awaited;
			return;
		}
		auto const has_left = known.missing_until || (known.is_leaving() && !entry.leaving);
		if (has_left && is_same_incarnation(known, entry))
		{
			// A server that is gone does not write; its entry is removed within its lifetime after the return.
			auto const believed_from = now + this->terms.return_grace + this->terms.entry_lifetime;
			known.doubted = doubted_entry{entry, believed_from};
			if (known.missing_until)
			{
				known.missing_until = believed_from;
			}
			++summary.doubted;
			return;
		}
		this->put(entry, time_point(), now);
		++summary.confirmed;
	}

	server_pointer directory::find_or_revive(registered_server const& entry)
	{
		if (auto const known = this->find(entry.id))
		{
			return known;
		}
		auto const gone = this->departed.find(entry.id);
		auto const knows_start = entry.started != incarnation();
		if (gone == this->departed.end() || !knows_start || !is_same_incarnation(*gone->second.server, entry))
		{
			return nullptr;
		}
		auto const revived = gone->second.server;
		this->departed.erase(gone);
		this->servers[entry.id] = revived;
		this->note_address(revived);
		return revived;
	}

	void directory::note_registry_lost(time_point now)
	{
		this->is_registry_lost = true;
		std::ranges::for_each(
			this->servers | std::views::values, [now](server_pointer const& each) { doubt_start(*each, now); });
	}

	void directory::note_end_sign(server_id const& id, time_point now)
	{
		auto const known = this->find(id);
		if (known && known->entry.started != incarnation())
		{
			known->end_sign_at = now;
		}
		if (known && (this->is_registry_lost || now < this->registry_returned_at + this->terms.return_grace))
		{
			doubt_start(*known, now);
		}
	}

	void directory::note_start_confirmed(server_record& known, time_point asked_at) noexcept
	{
		if (known.start_doubted_at <= asked_at)
		{
			known.start_doubted_at.reset();
		}
		if (known.end_sign_at <= asked_at)
		{
			known.end_sign_at.reset();
		}
	}

	void directory::doubt_start(server_record& known, time_point now) noexcept
	{
		if (known.entry.started != incarnation())
		{
			known.start_doubted_at = now;
		}
	}

	void directory::note_registry_return(time_point now)
	{
		this->is_registry_lost = false;
		this->registry_returned_at = now;
		for (auto const& known : this->servers | std::views::values)
		{
			if (known->missing_until)
			{
				known->missing_until = std::max(*known->missing_until, now + this->terms.return_grace);
			}
		}
	}

	bool directory::settle(server_record& known, time_point now) const
	{
		if (known.doubted && known.doubted->believed_from <= now)
		{
			auto const believed = known.doubted->entry;
			set_entry(known, believed);
		}
		auto const is_awaited_in_vain = known.awaited_until && *known.awaited_until <= now;
		return is_awaited_in_vain || (known.missing_until && *known.missing_until <= now);
	}

	std::vector<server_pointer> directory::expire(time_point now)
	{
		std::erase_if(this->departed, [&](auto const& item) { return item.second.forgotten_from <= now; });
		for (auto& past : this->past_processes | std::views::values)
		{
			past.forgotten_from = past.forgotten_from.value_or(now + this->terms.memory_time);
		}
		std::erase_if(this->past_processes, [&](auto const& item) { return item.second.forgotten_from <= now; });
		std::vector<server_pointer> gone;
		std::erase_if(this->servers,
			[&](auto const& item)
			{
				auto const is_gone = this->settle(*item.second, now);
				if (is_gone)
				{
					gone.push_back(item.second);
				}
				return is_gone;
			});
		for (auto const& server : gone)
		{
			server->awaited_until.reset();
			server->missing_until = now;
			this->departed[server->entry.id] = {server, now + this->terms.memory_time};
		}
		std::erase_if(this->latest_at, [](auto const& item) { return item.second.expired(); });
		return gone;
	}

	std::vector<server_pointer> directory::candidates(service_id const& service, server_role role, time_point now) const
	{
		std::vector<server_pointer> ready;
		std::vector<server_pointer> missing;
		for (auto const& known : this->servers | std::views::values)
		{
			if (known->entry.service != service || known->entry.role != role || known->is_leaving() ||
				known->is_changing_role(now) || this->is_gone(*known))
			{
				continue;
			}
			if (known->is_ready())
			{
				ready.push_back(known);
			}
			else if (now < *known->missing_until)
			{
				missing.push_back(known);
			}
		}
		return ready.empty() ? missing : ready;
	}

	std::vector<server_pointer> directory::stream_servers(service_id const& service, time_point now) const
	{
		auto const is_engine = [&](server_pointer const& each)
		{
			return each->entry.service == service && each->entry.role != server_role::plain;
		};
		auto const has_engines = std::ranges::any_of(this->servers | std::views::values, is_engine);
		return this->candidates(service, has_engines ? server_role::decode : server_role::plain, now);
	}

	pool_sizes directory::pools(service_id const& service, time_point now) const
	{
		pool_sizes sizes;
		for (auto const& known : this->servers | std::views::values)
		{
			if (known->entry.service != service || !known->is_ready() || this->is_gone(*known))
			{
				continue;
			}
			auto const role = known->role_after_change(now);
			sizes.prefill += role == server_role::prefill ? 1 : 0;
			sizes.decode += role == server_role::decode ? 1 : 0;
		}
		return sizes;
	}

	duration directory::shortest_pause(service_id const& service, time_point now) const
	{
		std::optional<duration> shortest;
		for (auto const& known : this->servers | std::views::values)
		{
			if (known->entry.service == service && known->is_ready() && !this->is_gone(*known))
			{
				auto const pause = std::max(known->load.paused_for(now), known->limit.refused_for(now));
				shortest = std::min(shortest.value_or(pause), pause);
			}
		}
		return shortest.value_or(duration{});
	}

	server_pointer directory::next_limited(service_id const& service, time_point now) const
	{
		server_pointer next;
		for (auto const& known : this->servers | std::views::values)
		{
			if (known->entry.service != service || known->entry.role == server_role::prefill || !known->is_ready() ||
				known->load.paused_for(now) > duration{} || this->is_gone(*known))
			{
				continue;
			}
			auto const wait = known->limit.refused_for(now);
			if (wait == duration{})
			{
				return nullptr;
			}
			if (!next || wait < next->limit.refused_for(now))
			{
				next = known;
			}
		}
		return next;
	}

	server_pointer directory::find(server_id const& id) const
	{
		auto const found = this->servers.find(id);
		return found == this->servers.end() ? nullptr : found->second;
	}

	std::optional<software_version> directory::version_of(server_process const& process) const
	{
		auto const known = this->find(process.server);
		auto const is_present = known && (known->entry.started == process.started || known->writer == process.started);
		if (is_present)
		{
			return known->entry.version;
		}
		if (auto const past = this->past_processes.find(process); past != this->past_processes.end())
		{
			return past->second.version;
		}
		auto const gone = this->departed.find(process.server);
		auto const is_of_process = [&process](server_record const& known)
		{
			return known.entry.started == process.started || known.writer == process.started;
		};
		auto const has_departed = gone != this->departed.end() && is_of_process(*gone->second.server);
		return has_departed ? std::optional(gone->second.server->entry.version) : std::nullopt;
	}

	bool directory::has_unlisted_process(service_id const& service) const
	{
		return std::ranges::any_of(this->servers | std::views::values,
			[&](server_pointer const& each) { return each->entry.service == service && each->stated_start; });
	}

	std::set<service_id> directory::services_with_unlisted_process() const
	{
		std::set<service_id> services;
		for (auto const& each : this->servers | std::views::values)
		{
			if (each->stated_start)
			{
				services.insert(each->entry.service);
			}
		}
		return services;
	}
}
