#include <godwittrestle/routing/directory.hpp>

#include <algorithm>
#include <ranges>
#include <set>

namespace godwittrestle::routing
{
	bool directory::put(registered_server const& entry)
	{
		auto& known = this->servers[entry.id];
		auto const is_restart = known && known->entry.started != entry.started;
		auto const is_moved = known && known->entry.address != entry.address;
		if (!known || is_restart || is_moved)
		{
			known = std::make_shared<server_record>();
			known->entry = entry;
			return true;
		}
		auto const is_changed = known->entry != entry || known->missing_until.has_value();
		known->entry = entry;
		known->missing_until.reset();
		return is_changed;
	}

	void directory::remove(server_id const& id, time_point now)
	{
		auto const found = this->find(id);
		if (!found || found->missing_until)
		{
			return;
		}
		auto const until_return = this->registry_returned_at + this->terms.return_grace;
		found->missing_until = std::max(now + this->terms.removal_grace, until_return);
	}

	void directory::replace(std::vector<registered_server> const& entries, time_point now)
	{
		std::set<server_id> named;
		for (auto const& entry : entries)
		{
			named.insert(entry.id);
			this->put(entry);
		}
		for (auto const& id : this->servers | std::views::keys)
		{
			if (!named.contains(id))
			{
				this->remove(id, now);
			}
		}
	}

	void directory::note_registry_return(time_point now)
	{
		this->registry_returned_at = now;
		for (auto const& known : this->servers | std::views::values)
		{
			if (known->missing_until)
			{
				known->missing_until = std::max(*known->missing_until, now + this->terms.return_grace);
			}
		}
	}

	std::vector<server_pointer> directory::expire(time_point now)
	{
		std::vector<server_pointer> gone;
		std::erase_if(this->servers,
			[&](auto const& item)
			{
				auto const is_over = item.second->missing_until && *item.second->missing_until <= now;
				if (is_over)
				{
					gone.push_back(item.second);
				}
				return is_over;
			});
		return gone;
	}

	std::vector<server_pointer> directory::candidates(service_id const& service, server_role role, time_point now) const
	{
		std::vector<server_pointer> ready;
		std::vector<server_pointer> missing;
		for (auto const& known : this->servers | std::views::values)
		{
			if (known->entry.service != service || known->entry.role != role || known->is_leaving() ||
				known->is_replaced || known->is_changing_role(now))
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

	pool_sizes directory::pools(service_id const& service, time_point now) const
	{
		pool_sizes sizes;
		for (auto const& known : this->servers | std::views::values)
		{
			if (known->entry.service != service || !known->is_ready() || known->is_replaced)
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
			if (known->entry.service == service && known->is_ready() && !known->is_replaced)
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
				known->is_replaced || known->load.paused_for(now) > duration{})
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
}
