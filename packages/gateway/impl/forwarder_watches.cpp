#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <map>
#include <ranges>
#include <set>
#include <utility>
#include <vector>

#include <godwittrestle/decide/rendezvous.hpp>

#include "forwarder_state.hpp"

// How the processes of servers are known that state their start nowhere, or in one place only.
namespace godwittrestle::gateway
{
	namespace
	{
		// Servers of one service that are watched at most.
		constexpr std::size_t max_watched = 32;
		constexpr duration longest_wait_of_new_stream = milliseconds(25);

		// Returns whether several versions of a service are known. Of a daemon that has just started, that is less than
		// that there may have been several.
		bool knows_several_versions(shared_state const& shared, service_id const& service, time_point now)
		{
			auto const since = now - longest_stream_life(shared);
			return shared.versions.served_since(service, since, now).size() > 1;
		}
	}

	bool forwarder::may_differ_in_version(routing::server_record const& server, time_point now) const
	{
		auto const& service = server.entry.service;
		return server.entry.started == incarnation() ? knows_several_versions(*this->shared, service, now)
													 : this->has_several_versions(service, now);
	}

	bool forwarder::is_process_needed(routing::server_record const& server, time_point now) const
	{
		return server.entry.started != incarnation() || this->may_differ_in_version(server, now);
	}

	bool forwarder::is_watch_needed(routing::server_record const& server, time_point now) const
	{
		auto const& service = server.entry.service;
		auto const observed = this->shared->observed.find(service);
		auto const is_observed = observed != this->shared->observed.end();
		auto const has_open_ends = is_observed && observed->second.has_streams_without_length;
		// One that was not asked yet will answer as others of its service do.
		auto const is_reported = !server.is_start_unreported &&
								 (server.last_statement || !is_observed || !observed->second.has_unreported_starts);
		auto const is_comparable = server.entry.started != incarnation() && is_reported;
		// Only a stated start lifts the doubt that a sign of the process's end has raised.
		auto const is_doubted = server.end_sign_at.has_value();
		return !is_comparable && (has_open_ends || is_doubted || this->may_differ_in_version(server, now));
	}

	void forwarder::review_watches(time_point now)
	{
		auto const& routes = this->shared->routes;
		std::map<service_id, std::vector<routing::server_pointer>> needed;
		for (auto const& server : this->shared->servers.all() | std::views::values)
		{
			// A server that gets no new streams may still write some.
			auto const& entry = server->entry;
			auto const may_write_streams = entry.role != routing::server_role::prefill;
			if (routes && may_write_streams && routes->streams_to(entry.service) && this->is_watch_needed(*server, now))
			{
				needed[entry.service].push_back(server);
			}
		}
		std::set<server_id> wanted;
		for (auto& servers : needed | std::views::values)
		{
			std::ranges::sort(servers, std::ranges::greater{}, [this](routing::server_pointer const& each)
				{ return decide::rank(each->entry.id.str(), this->shared->own_id.str()); });
			for (auto const& each : servers | std::views::take(max_watched))
			{
				wanted.insert(each->entry.id);
				this->watches.begin(*each);
			}
		}
		this->watches.keep_only(wanted);
	}

	void forwarder::note_registry_read()
	{
		this->watches.ask_undecided();
	}

	asio::awaitable<bool> forwarder::find_holder(
		routing::server_pointer server, pooled_connection& connection, duration longest_wait, bool is_needed)
	{
		if (connection.holder())
		{
			// Without an answer of the watch, what was found out before stands.
			auto const present = this->watches.holder(server->entry.id);
			co_return !present || present == connection.holder();
		}
		// A new stream does not wait: its process may be found out after it has begun.
		auto const wait = is_needed ? longest_wait : std::min(longest_wait, longest_wait_of_new_stream);
		auto const seen = co_await this->watches.ask(server->entry.id, connection.opened_at(), wait);
		auto const is_same = seen && seen->since <= connection.opened_at();
		if (is_same)
		{
			connection.note_holder(seen->process);
		}
		co_return (is_same || !seen || !is_needed) && connection->is_open_without_data();
	}

	asio::awaitable<routing::process_evidence> forwarder::ask_watched(
		routing::server_pointer server, duration longest_wait)
	{
		routing::process_evidence evidence;
		evidence.asked_at = monotonic_now();
		if (server->load.paused_for(evidence.asked_at) > duration{})
		{
			evidence.statement = routing::pause_wanted();
			co_return evidence;
		}
		auto const seen = co_await this->watches.ask(server->entry.id, evidence.asked_at, longest_wait);
		if (seen)
		{
			evidence.statement = routing::start_stated{seen->process, seen->running};
		}
		co_return evidence;
	}

	asio::awaitable<bool> forwarder::find_watched_writer(state_pointer state, server_id server, duration longest_wait)
	{
		auto const connected_at = state->connected_at;
		auto const seen = co_await this->watches.ask(server, connected_at, std::min(longest_wait, report_timeout));
		if (state->writer || !seen)
		{
			co_return state->writer.has_value();
		}
		auto const does_run = seen->running && seen->running->contains(state->call.attempt);
		auto const is_known = does_run || seen->since <= connected_at;
		if (is_known)
		{
			this->record_writer(*state, {server, seen->process}, monotonic_now());
		}
		co_return is_known;
	}

	void forwarder::expect_end_with_connection(routing::server_record const& server)
	{
		this->shared->observed[server.entry.service].has_streams_without_length = true;
		if (this->is_watch_needed(server, monotonic_now()))
		{
			this->watches.begin(server);
		}
	}

	asio::awaitable<std::optional<forwarder::watched_end>> forwarder::look_at_watched_end(
		request_state const& state, server_id server, time_point ended_at, duration longest_wait)
	{
		// The process that answers lived when the call was sent. Events may have waited to be read since they were
		// made.
		auto const sent_at = state.sent_at.value_or(state.connected_at);
		auto const last_read_at = state.joiner.events() > state.events_before_send ? state.last_event_at : sent_at;
		auto const attempt = state.call.attempt;
		auto const known = this->shared->servers.find(server);
		if (!this->watches.holder(server) && known && !known->is_start_unreported)
		{
			// It has never given a report.
			co_return std::nullopt;
		}
		watched_end end;
		auto const seen = co_await this->watches.ask(std::move(server), ended_at, longest_wait);
		if (seen && seen->watched_since > last_read_at)
		{
			co_return std::nullopt;
		}
		if (seen)
		{
			// The first connection of a watch is opened when the answer begins.
			auto const is_same = seen->since <= sent_at || seen->since == seen->watched_since;
			end.process = is_same ? routing::process_state::same : routing::process_state::ended;
			end.is_still_run = seen->running && seen->running->contains(attempt);
		}
		co_return end;
	}

	asio::awaitable<std::optional<report_answer>> forwarder::ask_report(
		routing::server_pointer server, http::upstream_pointer connection)
	{
		auto const asked_at = monotonic_now();
		auto message = this->protocol.write_report_request(server->entry.id);
		auto const answer =
			co_await this->exchange_on(server, std::move(connection), std::move(message), report_timeout);
		this->totals->count_send("watch", answer ? "served" : "failed");
		co_return answer ? std::optional(this->read_report(server, *answer, asked_at)) : std::nullopt;
	}

	void forwarder::note_writer_known(routing::server_record const& server)
	{
		this->log(make_event("server_entry_writer_known",
			{{"server", server.entry.id.str()}, {"version", server.entry.version.str()},
				{"process", std::to_string(server.writer.value_or(incarnation()).count())},
				{"entry_age_ms", milliseconds_text(monotonic_now() - server.times.changed_at)}}));
		this->origins->learn_versions();
		this->origins->tell_due(monotonic_now());
	}

	bool forwarder::is_present_process(
		routing::server_record const& server, routing::server_process const& process) const
	{
		auto const& id = server.entry.id;
		auto const is_named = server.entry.started == process.started || server.writer == process.started;
		return process.server == id && (is_named || this->watches.holder(id) == process.started);
	}

	void forwarder::put_known_first(std::vector<routing::server_pointer>& engines, time_point now) const
	{
		auto const is_known = [&](routing::server_pointer const& each)
		{
			return !this->is_watch_needed(*each, now) ||
				   (each->writer && each->writer == this->watches.holder(each->entry.id));
		};
		std::ranges::stable_partition(engines, is_known);
	}
}
