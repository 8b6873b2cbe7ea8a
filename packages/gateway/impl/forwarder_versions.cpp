#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <godwittrestle/decide/rendezvous.hpp>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// Time that other daemons get to say what they know of a stream.
		constexpr duration origin_timeout = milliseconds(150);
		// A daemon that has just started waits for the others until this time after its start, since it may not have
		// heard of them yet.
		constexpr duration first_contact_time = seconds(1);
		constexpr duration contact_poll_interval = milliseconds(25);
		// Engines of one service whose memory is searched at most.
		constexpr std::size_t max_engines_searched = 32;
		constexpr duration contents_timeout = milliseconds(300);

		bool serves(routing::route const& matched, service_id const& service)
		{
			return std::ranges::find(matched.targets, service, &routing::weighted_service::service) !=
				   matched.targets.end();
		}
	}

	asio::awaitable<bool> forwarder::find_origin(state_pointer state)
	{
		if (!state->call.last_event)
		{
			co_return true;
		}
		if (!this->apply_known_origin(*state, monotonic_now()))
		{
			co_await this->ask_for_origin(state);
		}
		if (!state->origin && !this->apply_known_origin(*state, monotonic_now()))
		{
			this->totals->count_taken_up_stream("unknown");
			co_await this->refuse(state, unavailable, "it is not known which software version began the stream",
				"send the request without the last event's id, so that the stream begins anew",
				this->retry_after_delay(*state));
			co_return false;
		}
		if (!serves(*state->matched_route, state->origin->service))
		{
			this->totals->count_taken_up_stream("other_service");
			co_await this->refuse(state, unavailable,
				"the route leads to another service than the one that began the stream",
				"send the request without the last event's id, so that the stream begins anew",
				this->retry_after_delay(*state));
			co_return false;
		}
		state->service = state->origin->service;
		co_return true;
	}

	// What the engines of one service say that they run and hold.
	struct forwarder::origin_search
	{
		std::size_t unanswered = 0;
		std::size_t engines = 0;
		std::map<fingerprint, std::set<software_version>> runs;
		std::size_t parts = 0;
	};

	void forwarder::learn_origins()
	{
		std::set<service_id> services;
		auto const now = monotonic_now();
		auto const since = now - longest_stream_life(*this->shared);
		for (auto const& server : this->shared->servers.all() | std::views::values)
		{
			auto const is_engine = server->entry.role != routing::server_role::plain;
			if (is_engine && !this->shared->versions.only_version_since(server->entry.service, since, now))
			{
				services.insert(server->entry.service);
			}
		}
		for (auto const& service : services)
		{
			this->run_in_background("origin_search", this->search_origins(service));
		}
	}

	asio::awaitable<void> forwarder::search_origins(service_id service)
	{
		auto const begun_at = monotonic_now();
		auto engines = this->shared->servers.candidates(service, routing::server_role::decode, begun_at);
		std::ranges::sort(engines, std::ranges::greater{}, [this](routing::server_pointer const& each)
			{ return decide::rank(each->entry.id.str(), this->shared->own_id.str()); });
		engines.resize(std::min(engines.size(), max_engines_searched));
		auto const search = std::make_shared<origin_search>();
		search->engines = engines.size();
		search->unanswered = engines.size();
		for (auto const& engine : engines)
		{
			this->run_in_background("origin_search", this->read_contents(engine, search));
		}
		asio::steady_timer timer(this->executor);
		while (search->unanswered > 0 && monotonic_now() < begun_at + 2 * contents_timeout)
		{
			timer.expires_after(contact_poll_interval);
			std::ignore = co_await timer.async_wait(wait_token);
		}
		std::size_t found = 0;
		for (auto const& [attempt, versions] : search->runs)
		{
			if (versions.size() == 1)
			{
				++found;
				this->shared->origins.note(attempt, {{service, *versions.begin()}, begun_at, this->shared->own_id});
			}
		}
		this->log(make_event("stream_origins_searched",
			{{"service", service.str()}, {"engines", std::to_string(search->engines)},
				{"unanswered", std::to_string(search->unanswered)}, {"streams", std::to_string(found)},
				{"parts", std::to_string(search->parts)}, {"took_ms", milliseconds_text(monotonic_now() - begun_at)}}));
		this->origins->tell_due(monotonic_now());
	}

	asio::awaitable<void> forwarder::read_contents(
		routing::server_pointer engine, std::shared_ptr<origin_search> search)
	{
		auto const& entry = engine->entry;
		auto report_request = this->protocol.write_report_request(entry.id);
		auto const report_text = co_await this->fetch(engine, std::move(report_request), contents_timeout);
		auto const report = report_text ? this->protocol.read_report(*report_text) : std::nullopt;
		this->totals->count_send("report", report ? "served" : "failed");
		// The streams of a process with another start are not of the entry's version.
		auto const is_of_entry = report && (report->started == incarnation() || report->started == entry.started);
		if (is_of_entry)
		{
			for (auto const& each : report->running | std::views::filter(&running_stream::has_events))
			{
				search->runs[fingerprint_of(each.attempt)].insert(entry.version);
			}
		}
		// An engine that has changed its role may hold prompts that it prefilled for engines of other versions.
		if (is_of_entry && report->orders == 0)
		{
			auto memory_request = this->protocol.write_memory_request(entry.id);
			auto const memory = co_await this->fetch(engine, std::move(memory_request), contents_timeout);
			auto const parts = memory ? this->protocol.read_memory(*memory) : std::nullopt;
			this->totals->count_send("memory_list", parts ? "served" : "failed");
			for (auto const& each : parts.value_or(std::vector<std::string>{}))
			{
				++search->parts;
				this->shared->origins.note_held_part(
					fingerprint_of(each), {entry.service, entry.version}, monotonic_now());
			}
		}
		--search->unanswered;
	}

	bool forwarder::apply_known_origin(request_state& state, time_point now)
	{
		auto const attempt = fingerprint_of(state.call.resumes);
		auto const* const known = state.call.resumes.empty() ? nullptr : this->shared->origins.find(attempt);
		if (known != nullptr)
		{
			state.origin = known->origin;
			this->totals->count_taken_up_stream("recorded");
			this->log_event(state, "stream_origin_found",
				{{"resumes", state.call.resumes.str()}, {"attempt", to_text(attempt)},
					{"service", known->origin.service.str()}, {"version", known->origin.version.str()},
					{"age_ms", milliseconds_text(now - known->begun_at)}, {"learnt_from", known->learnt_from.str()}});
			return true;
		}
		auto const since = now - longest_stream_life(*this->shared);
		auto only = this->shared->versions.only_version_since(state.service, since, now);
		if (only)
		{
			state.origin = routing::stream_origin{state.service, std::move(*only)};
			this->totals->count_taken_up_stream("only_version");
			return true;
		}
		auto holder =
			state.call.prompt_parts.empty()
				? std::nullopt
				: this->shared->origins.only_holder(fingerprint_of(state.call.prompt_parts.back()), state.service);
		if (holder)
		{
			this->totals->count_taken_up_stream("held_prompt");
			this->log_event(state, "stream_origin_held",
				{{"resumes", state.call.resumes.str()}, {"service", state.service.str()}, {"version", holder->str()}});
			state.origin = routing::stream_origin{state.service, std::move(*holder)};
		}
		return holder.has_value();
	}

	asio::awaitable<void> forwarder::ask_for_origin(state_pointer state)
	{
		auto const attempt = fingerprint_of(state->call.resumes);
		auto is_answered = false;
		std::optional<std::uint64_t> query;
		asio::steady_timer timer(this->executor);
		auto ends_at = std::max(monotonic_now() + origin_timeout, this->started + first_contact_time);
		while (!is_answered && !state->is_caller_gone && !state->is_out_of_time() && monotonic_now() < ends_at)
		{
			if (!query)
			{
				query = this->origins->ask(
					attempt, state->service, monotonic_now(), [&is_answered] { is_answered = true; });
				ends_at = query ? monotonic_now() + origin_timeout : ends_at;
			}
			timer.expires_after(contact_poll_interval);
			std::ignore = co_await timer.async_wait(wait_token);
		}
		if (query)
		{
			this->origins->cancel(*query);
		}
		auto const now = monotonic_now();
		auto const* const known = this->shared->origins.find(attempt);
		this->log_event(*state, "stream_origin_answered",
			{{"resumes", state->call.resumes.str()}, {"attempt", to_text(attempt)}, {"asked", query ? "yes" : "no"},
				{"answered", is_answered ? "yes" : "no"}, {"known", known != nullptr ? "yes" : "no"},
				{"history_ms", history_text(*this->shared, state->service, now)}});
	}

	void forwarder::note_event_server(state_pointer state, routing::server_pointer server, time_point now)
	{
		state->note_event_version(server->entry.version);
		if (state->joiner.events() == 0 || state->is_origin_recorded || state->unconfirmed_origin)
		{
			return;
		}
		if (state->origin || !(server->end_sign_at || server->start_doubted_at))
		{
			this->record_origin(*state, *server, now);
			return;
		}
		state->unconfirmed_origin = server;
		this->run_in_background("origin_check", this->confirm_origin(state, server));
	}

	asio::awaitable<void> forwarder::confirm_origin(state_pointer state, routing::server_pointer server)
	{
		auto const begun_at = monotonic_now();
		auto const seen = co_await this->end_check.ask_start(server, begun_at);
		auto const process = routing::judge_process(server->entry, seen);
		if (state->is_origin_recorded)
		{
			co_return;
		}
		if (process == routing::process_state::same)
		{
			routing::directory::note_start_confirmed(*server, seen.asked_at);
		}
		// While one version is known, only another start shows that there may be a second one.
		auto const is_only_version = !this->has_several_versions(state->service, begun_at);
		auto const is_replaced = routing::is_proved_replaced(server->entry, seen);
		if (process == routing::process_state::same || (is_only_version && !is_replaced))
		{
			this->record_origin(*state, *server, begun_at);
			co_return;
		}
		this->log_event(*state, "stream_origin_unconfirmed",
			{{"server", server->entry.id.str()}, {"process", std::string(routing::to_string(process))},
				{"entry_version", server->entry.version.str()}});
	}

	asio::awaitable<bool> forwarder::settle_origin(state_pointer state)
	{
		if (auto const server = state->unconfirmed_origin; server && !state->is_origin_recorded)
		{
			co_await this->confirm_origin(state, server);
			if (!state->is_origin_recorded)
			{
				state->no_retry_reason = "origin_unknown";
				co_return false;
			}
		}
		co_return true;
	}

	bool forwarder::has_several_versions(service_id const& service, time_point now) const
	{
		auto const since = now - longest_stream_life(*this->shared);
		return !this->shared->versions.only_version_since(service, since, now);
	}

	void forwarder::record_origin(request_state& state, routing::server_record const& server, time_point now)
	{
		state.is_origin_recorded = true;
		state.origin = state.origin.value_or(routing::stream_origin{state.service, server.entry.version});
		// A stream that was taken up is known by the attempt that began it, also at a third try.
		auto const& named = state.call.last_event ? state.call.resumes : state.call.attempt;
		if (named.empty())
		{
			return;
		}
		this->shared->origins.note(fingerprint_of(named), {*state.origin, now, this->shared->own_id});
		auto const present = this->shared->servers.find(server.entry.id);
		this->log_event(state, "stream_origin_recorded",
			{{"attempt", to_text(fingerprint_of(named))}, {"server", server.entry.id.str()},
				{"entry_start", std::to_string(server.entry.started.count())},
				{"present_entry_start", present ? std::to_string(present->entry.started.count()) : "none"},
				{"version", state.origin->version.str()}, {"taken_up", state.call.last_event ? "yes" : "no"}});
		this->origins->tell_due(now);
	}

	std::optional<routing::stream_origin> forwarder::bound_origin(request_state const& state, time_point now) const
	{
		if (!state.origin)
		{
			return std::nullopt;
		}
		auto const engines = this->shared->servers.candidates(state.service, routing::server_role::decode, now);
		auto const is_of_origin = [&](routing::server_pointer const& each)
		{
			return each->entry.version == state.origin->version;
		};
		return std::ranges::all_of(engines, is_of_origin) ? std::nullopt : state.origin;
	}

	bool forwarder::has_engines(
		request_state const& state, std::optional<routing::stream_origin> const& bound_to, time_point now) const
	{
		auto const engines = this->shared->servers.candidates(state.service, routing::server_role::decode, now);
		return std::ranges::any_of(engines,
			[&](routing::server_pointer const& each)
			{
				auto const& entry = each->entry;
				return !bound_to || (entry.version == bound_to->version && !state.excluded.contains(entry.id));
			});
	}
}
