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
		// Longest wait for the entry of a process that began a stream.
		constexpr duration max_entry_wait = milliseconds(1500);
		// A run appears in its engine's report within about this time.
		constexpr duration report_delay = milliseconds(250);
		constexpr int max_origin_questions = 8;

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
		auto const* const known = this->shared->origins.find(fingerprint_of(state->call.resumes));
		if (!state->origin && known != nullptr && !known->is_version_known)
		{
			std::function<bool()> is_known = [this, state]
			{
				return this->apply_known_origin(*state, monotonic_now());
			};
			std::ignore = co_await this->wait_for_entry(state, is_known);
		}
		if (!state->origin && !this->apply_known_origin(*state, monotonic_now()))
		{
			if (this->lacks_origin(*state))
			{
				co_await this->relay(state);
				co_return false;
			}
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
		std::map<fingerprint, std::set<routing::server_process>> runs;
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
		for (auto const& [attempt, processes] : search->runs)
		{
			if (processes.size() == 1)
			{
				++found;
				auto const& process = *processes.begin();
				auto const version = this->shared->servers.version_of(process);
				routing::known_stream stream{
					{service, version.value_or(software_version())}, begun_at, this->shared->own_id};
				stream.process = process;
				stream.is_version_known = version.has_value();
				this->shared->origins.note(attempt, stream);
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
		if (report)
		{
			auto const stated = report->started == incarnation() ? entry.started : report->started;
			for (auto const& each : report->running | std::views::filter(&running_stream::has_events))
			{
				search->runs[fingerprint_of(each.attempt)].insert({entry.id, stated});
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
		if (known != nullptr && !known->is_version_known)
		{
			return false;
		}
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
		if (only && !this->shared->servers.has_unlisted_process(state.service))
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
		state->is_origin_unanswered = !is_answered;
		auto const now = monotonic_now();
		auto const* const known = this->shared->origins.find(attempt);
		this->log_event(*state, "stream_origin_answered",
			{{"resumes", state->call.resumes.str()}, {"attempt", to_text(attempt)}, {"asked", query ? "yes" : "no"},
				{"answered", is_answered ? "yes" : "no"}, {"known", known != nullptr ? "yes" : "no"},
				{"history_ms", history_text(*this->shared, state->service, now)}});
	}

	void forwarder::note_event_server(state_pointer state, routing::server_pointer server, time_point now)
	{
		if (state->is_origin_recorded && state->writer_send != state->sends)
		{
			auto const version = this->shared->servers.version_of(state->sent_to_process);
			state->note_event_version(version.value_or(server->entry.version));
		}
		if (state->joiner.events() == 0 || state->is_origin_recorded || state->unconfirmed_writer)
		{
			return;
		}
		state->writer_send = state->sends;
		if (state->origin || !routing::states_start(server->entry))
		{
			routing::stream_origin const of_entry{state->service, server->entry.version};
			this->record_origin(*state, {state->origin.value_or(of_entry), now, this->shared->own_id});
			return;
		}
		auto const sent_to = state->sent_to_process;
		if (!this->is_writer_doubtful(*state, server, now))
		{
			state->is_writer_assumed = true;
			this->record_writer(*state, sent_to, now);
			return;
		}
		state->unconfirmed_writer = server;
		this->run_in_background("origin_check", this->confirm_origin(state, server, sent_to));
	}

	bool forwarder::is_writer_doubtful(
		request_state const& state, routing::server_pointer const& server, time_point now) const
	{
		auto const is_present = this->shared->servers.find(server->entry.id) == server;
		auto const since = now - longest_stream_life(*this->shared);
		return server->end_sign_at || server->start_doubted_at || !is_present ||
			   this->shared->servers.has_unlisted_process(state.service) ||
			   this->shared->versions.served_since(state.service, since, now).size() > 1;
	}

	asio::awaitable<bool> forwarder::find_writer(
		state_pointer state, routing::server_pointer server, routing::server_process sent_to)
	{
		auto const begun_at = monotonic_now();
		auto const asked = this->present_record(server);
		auto const seen = co_await this->end_check.ask_start(asked, begun_at);
		if (state->writer && !state->is_writer_assumed)
		{
			co_return true;
		}
		if (seen.stated == asked->entry.started)
		{
			routing::directory::note_start_confirmed(*asked, seen.asked_at);
		}
		if (auto const stated = routing::find_writer(sent_to.started, seen, state->call.attempt))
		{
			state->is_writer_assumed = false;
			this->record_writer(*state, {sent_to.server, *stated}, monotonic_now());
			co_return true;
		}
		// While one version is known, only another start shows that there may be a second one.
		auto const is_only_version = !this->has_several_versions(state->service, begun_at);
		if (is_only_version && !state->writer && !routing::is_proved_replaced(asked->entry, seen))
		{
			state->is_writer_assumed = true;
			this->record_writer(*state, sent_to, monotonic_now());
		}
		co_return state->writer.has_value();
	}

	asio::awaitable<void> forwarder::confirm_origin(
		state_pointer state, routing::server_pointer server, routing::server_process sent_to)
	{
		asio::steady_timer pause(this->executor);
		auto const send = state->sends;
		for (int question = 0; question < max_origin_questions; ++question)
		{
			auto const is_known = co_await this->find_writer(state, server, sent_to);
			auto const is_over = state->sends != send || state->http_exchange == nullptr || state->is_caller_gone;
			if ((is_known && !state->is_writer_assumed) || is_over)
			{
				break;
			}
			// What a report says of the runs may be some hundred milliseconds old.
			pause.expires_after(report_delay);
			std::ignore = co_await pause.async_wait(wait_token);
		}
		if (!state->writer)
		{
			this->log_event(*state, "stream_origin_unconfirmed",
				{{"server", sent_to.server.str()}, {"sent_to_start", std::to_string(sent_to.started.count())},
					{"newest_start", std::to_string(server->newest_process().started.count())}});
		}
	}

	void forwarder::review_origins()
	{
		for (auto const& state : this->requests)
		{
			auto const is_under_send =
				state->is_writer_assumed && state->is_send_running && state->writer_send == state->sends;
			auto const server = is_under_send ? this->shared->servers.find(state->writer->server) : nullptr;
			if (server && server->newest_process() != *state->writer && !state->is_writer_reviewed)
			{
				state->is_writer_reviewed = true;
				this->doubt_origin(*state, monotonic_now());
				this->run_in_background("origin_check", this->confirm_origin(state, server, *state->writer));
			}
		}
	}

	void forwarder::doubt_origin(request_state const& state, time_point now)
	{
		if (state.call.attempt.empty() || !state.origin)
		{
			return;
		}
		routing::known_stream stream{
			{state.service, software_version()}, state.first_event_at.value_or(now), this->shared->own_id};
		stream.is_version_known = false;
		this->shared->origins.correct(fingerprint_of(state.call.attempt), std::move(stream));
		this->log_origin(state, "doubted");
		this->origins->tell_due(now);
	}

	asio::awaitable<bool> forwarder::wait_for_entry(state_pointer state, std::function<bool()> is_known)
	{
		auto const longest = std::min(max_entry_wait, state->matched_route->caller_patience / 2);
		auto const ends_at = monotonic_now() + longest;
		asio::steady_timer pause(this->executor);
		auto has_entry = is_known();
		while (!has_entry && !state->is_caller_gone && !state->is_out_of_time() && monotonic_now() < ends_at)
		{
			pause.expires_after(contact_poll_interval);
			std::ignore = co_await pause.async_wait(wait_token);
			has_entry = is_known();
		}
		co_return has_entry;
	}

	asio::awaitable<bool> forwarder::settle_origin(state_pointer state)
	{
		if (!state->writer && !state->unconfirmed_writer)
		{
			co_return true;
		}
		if (auto const server = state->unconfirmed_writer; server && !state->writer)
		{
			std::ignore = co_await this->find_writer(state, server, state->sent_to_process);
		}
		else if (state->is_writer_assumed && state->writer_send == state->sends)
		{
			auto const present = this->shared->servers.find(state->writer->server);
			if (present && present->newest_process() != *state->writer)
			{
				std::ignore = co_await this->find_writer(state, present, *state->writer);
			}
			if (state->is_writer_assumed && state->is_writer_reviewed)
			{
				state->origin.reset();
				state->no_retry_reason = "origin_unknown";
				co_return false;
			}
		}
		if (state->writer && !state->origin)
		{
			std::function<bool()> is_known = [this, state]
			{
				auto const version = this->shared->servers.version_of(*state->writer);
				if (version)
				{
					state->origin = routing::stream_origin{state->service, *version};
				}
				return version.has_value();
			};
			std::ignore = co_await this->wait_for_entry(state, is_known);
		}
		if (!state->origin)
		{
			state->no_retry_reason = "origin_unknown";
		}
		co_return state->origin.has_value();
	}

	bool forwarder::has_several_versions(service_id const& service, time_point now) const
	{
		auto const since = now - longest_stream_life(*this->shared);
		return !this->shared->versions.only_version_since(service, since, now) ||
			   this->shared->servers.has_unlisted_process(service);
	}

	void forwarder::record_writer(request_state& state, routing::server_process const& writer, time_point now)
	{
		auto const is_correction = state.is_writer_reviewed || (state.writer && *state.writer != writer);
		auto const version = this->shared->servers.version_of(writer);
		routing::known_stream stream{{state.service, version.value_or(software_version())},
			state.first_event_at.value_or(now), this->shared->own_id};
		stream.process = writer;
		stream.is_version_known = version.has_value();
		state.writer = writer;
		state.unconfirmed_writer = nullptr;
		state.origin = version ? std::optional(stream.origin) : std::nullopt;
		if (is_correction && !state.call.attempt.empty())
		{
			state.is_origin_recorded = true;
			state.event_versions = {stream.origin.version};
			this->shared->origins.correct(fingerprint_of(state.call.attempt), std::move(stream));
			this->log_origin(state, "corrected");
			this->origins->tell_due(now);
			return;
		}
		this->record_origin(state, std::move(stream));
	}

	void forwarder::record_origin(request_state& state, routing::known_stream stream)
	{
		state.is_origin_recorded = true;
		if (stream.is_version_known)
		{
			state.origin = stream.origin;
			state.note_event_version(stream.origin.version);
		}
		// A stream that was taken up is known by the attempt that began it, also at a third try.
		auto const& named = state.call.last_event ? state.call.resumes : state.call.attempt;
		if (named.empty())
		{
			return;
		}
		this->shared->origins.note(fingerprint_of(named), stream);
		this->log_origin(state, state.is_writer_assumed ? "assumed" : "confirmed");
		this->origins->tell_due(monotonic_now());
	}

	void forwarder::log_origin(request_state const& state, std::string_view how)
	{
		auto const& named = state.call.last_event ? state.call.resumes : state.call.attempt;
		this->log_event(state, "stream_origin_recorded",
			{{"attempt", to_text(fingerprint_of(named))}, {"how", std::string(how)},
				{"server", state.sent_to_process.server.str()},
				{"sent_to_start", std::to_string(state.sent_to_process.started.count())},
				{"writer_start", state.writer ? std::to_string(state.writer->started.count()) : "none"},
				{"version", state.origin ? state.origin->version.str() : "unknown"},
				{"taken_up", state.call.last_event ? "yes" : "no"}});
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
