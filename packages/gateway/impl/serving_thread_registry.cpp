#include <godwittrestle/gateway/serving_thread.hpp>

#include <ranges>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/daemon/core_loop.hpp>

// How what was read from the registry, or taken over from another daemon, becomes the state that requests share.
namespace godwittrestle::gateway
{
	using daemon::monotonic_now;

	namespace
	{
		// No software version comes and goes within this time.
		constexpr duration harmless_gap = seconds(5);
	}

	void serving_thread::apply_update(registry_update&& update)
	{
		auto const now = monotonic_now();
		if (update.is_unanswered)
		{
			this->shared.view.note_unanswered(update.asked_at);
			return;
		}
		this->registry_state.is_lost = update.is_lost;
		this->registry_state.position = update.position;
		if (update.is_lost)
		{
			this->shared.view.note_unanswered(now);
			this->shared.servers.note_registry_lost(now);
		}
		if (update.is_recovery || update.restore)
		{
			this->shared.servers.note_registry_return(now);
			this->shared.view.note_return(this->settings.servers.return_grace, now);
		}
		std::vector<routing::registered_server> whole;
		for (auto& change : update.changes)
		{
			if (auto* const published = std::get_if<published_configuration>(&change))
			{
				this->apply_update(std::move(*published));
			}
			else if (auto const* const entry = std::get_if<routing::registered_server>(&change))
			{
				update.is_complete_list ? whole.push_back(*entry)
										: this->apply_server_entry(*entry, update.written_after, now);
			}
			else if (auto const* const removed = std::get_if<server_removed>(&change))
			{
				this->shared.servers.remove(removed->server, now);
				this->log_event("server_entry_removed", {{"server", removed->server.str()}});
			}
		}
		if (update.is_complete_list)
		{
			this->apply_list(whole, update, now);
		}
		else if (!update.changes.empty())
		{
			this->note_versions(now);
		}
		if (!update.is_lost)
		{
			// Only what was applied counts as read.
			this->shared.view.note_read(update.asked_at, now);
		}
		this->request_forwarder.note_registry_read();
		this->totals.set_servers(this->shared.servers.all().size());
	}

	void serving_thread::apply_configuration_text(std::string text)
	{
		handle_failure(
			[&]() -> result<void>
			{
				BOOST_LEAF_AUTO(config, this->adapter.registry.read_configuration(text));
				this->apply_update(published_configuration{std::move(config), std::move(text)});
				return {};
			},
			[&](failure const& error) { this->log_event("configuration_unreadable", {{"reason", describe(error)}}); });
	}

	void serving_thread::apply_servers(std::vector<routing::registered_server> servers)
	{
		this->log_event("servers_taken_from_peer", {{"count", std::to_string(servers.size())}});
		auto const now = monotonic_now();
		this->shared.servers.replace(servers, now);
		this->registry_state.has_servers = true;
		this->note_versions(now);
	}

	void serving_thread::apply_list(
		std::vector<routing::registered_server> const& servers, registry_update const& update, time_point now)
	{
		auto const is_first = !std::exchange(this->registry_state.has_servers, true);
		if (update.restore)
		{
			this->apply_copy(servers, update, now);
		}
		else
		{
			this->shared.servers.replace(servers, now);
		}
		this->log_event(
			"servers_listed", {{"count", std::to_string(servers.size())}, {"position", to_string(update.position)}});
		if (!is_first && update.unobserved > harmless_gap)
		{
			this->shared.versions.note_gap(now);
		}
		this->note_versions(now);
		if (is_first)
		{
			this->request_forwarder.learn_origins();
		}
	}

	void serving_thread::apply_copy(
		std::vector<routing::registered_server> const& servers, registry_update const& update, time_point now)
	{
		auto const found = this->shared.servers.replace_from_copy(servers, update.unobserved, now);
		this->totals.count_registry_restore(update.position.era.count());
		this->log_event("registry_restored",
			{{"before", to_string(update.restore->before)}, {"after", to_string(update.restore->after)},
				{"unobserved_ms", fmt::format("{:.1f}", to_milliseconds(update.unobserved))},
				{"confirmed", std::to_string(found.confirmed)}, {"added", std::to_string(found.added)},
				{"awaited", std::to_string(found.awaited)}, {"removed", std::to_string(found.removed)},
				{"doubted", std::to_string(found.doubted)},
				{"configuration", std::to_string(this->registry_state.version.count())}});
	}

	void serving_thread::note_versions(time_point now)
	{
		routing::version_history::versions_by_service versions;
		for (auto const& server : this->shared.servers.all() | std::views::values)
		{
			versions[server->entry.service].insert(server->entry.version);
		}
		this->shared.versions.set_in_service(std::move(versions), now);
		this->origins.learn_versions();
		this->origins.tell_due(now);
	}

	void serving_thread::apply_server_entry(
		routing::registered_server const& entry, time_point written_after, time_point now)
	{
		// A later entry in the same answer may name another version.
		this->shared.versions.note_served(entry.service, entry.version, now);
		if (!this->shared.servers.put(entry, written_after, now))
		{
			return;
		}
		this->log_event("server_entry_changed",
			{{"server", entry.id.str()}, {"service", entry.service.str()},
				{"role", std::string(routing::to_string(entry.role))}, {"version", entry.version.str()},
				{"started", std::to_string(entry.started.count())}, {"leaving", entry.leaving ? "yes" : "no"}});
	}
}
