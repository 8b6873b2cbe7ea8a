#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// Intervals at which an engine is asked which process made a stream's first event.
		constexpr duration min_question_interval = milliseconds(250);
		constexpr duration max_question_interval = seconds(1);
		// A caller that has broken its connection may take the stream up again; its server is asked for this long.
		constexpr duration question_time_after_end = seconds(3);
		// Other daemons are told of a stream whose process is not known this long after its first event.
		constexpr duration unconfirmed_notice_delay = milliseconds(50);
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
		if (state->origin || !this->is_process_needed(*server, now))
		{
			routing::stream_origin const of_entry{state->service, server->entry.version};
			this->record_origin(*state, {state->origin.value_or(of_entry), now, this->shared->own_id});
			return;
		}
		auto const sent_to = state->sent_to_process;
		if (state->is_holder_known)
		{
			this->record_writer(*state, sent_to, now);
			return;
		}
		state->unconfirmed_writer = server;
		this->run_in_background("origin_check", this->confirm_origin(state, server, sent_to));
		this->run_in_background("origin_check", this->tell_unconfirmed_origin(state));
	}

	asio::awaitable<bool> forwarder::find_writer(
		state_pointer state, routing::server_pointer server, routing::server_process sent_to, duration longest_wait)
	{
		auto const asked = this->present_record(server);
		if (this->is_watch_needed(*asked, monotonic_now()))
		{
			auto const is_found = co_await this->find_watched_writer(state, sent_to.server, longest_wait);
			co_return is_found;
		}
		// The stream's connection was there when the stream was sent, so a process that answers what was asked since
		// is the one that holds the connection, or a later one.
		auto const since = state->sent_at.value_or(monotonic_now());
		auto const& last = asked->last_statement;
		if (!state->writer && last && last->asked_at >= since && last->start == sent_to.started)
		{
			this->record_writer(*state, sent_to, monotonic_now());
			co_return true;
		}
		auto const seen = co_await this->end_check.ask_start(asked, since, longest_wait);
		if (state->writer)
		{
			co_return true;
		}
		if (seen.stated() == asked->entry.started)
		{
			routing::directory::note_start_confirmed(*asked, seen.asked_at);
		}
		if (auto const stated = routing::find_writer(sent_to.started, seen, state->call.attempt))
		{
			this->record_writer(*state, {sent_to.server, *stated}, monotonic_now());
			co_return true;
		}
		co_return false;
	}

	asio::awaitable<void> forwarder::confirm_origin(
		state_pointer state, routing::server_pointer server, routing::server_process sent_to)
	{
		asio::steady_timer pause(this->executor);
		auto const send = state->sends;
		// What a report says of the runs may be some hundred milliseconds old.
		auto interval = min_question_interval;
		std::optional<time_point> gone_since;
		auto is_known = false;
		auto is_over = false;
		while (!is_known && !is_over)
		{
			is_known = co_await this->find_writer(state, server, sent_to, duration::max());
			gone_since = state->is_caller_gone ? gone_since.value_or(monotonic_now()) : gone_since;
			auto const is_complete = state->http_exchange == nullptr && !state->is_caller_gone;
			is_over = state->sends != send || is_complete ||
					  (gone_since && monotonic_now() - *gone_since > question_time_after_end);
			if (!is_known && !is_over)
			{
				this->note_unconfirmed_origin(*state, monotonic_now());
				pause.expires_after(interval);
				std::ignore = co_await pause.async_wait(wait_token);
				interval = std::min(2 * interval, max_question_interval);
			}
		}
		if (!state->writer)
		{
			this->log_event(*state, "stream_origin_unconfirmed",
				{{"server", sent_to.server.str()}, {"sent_to_start", std::to_string(sent_to.started.count())},
					{"newest_start", std::to_string(server->newest_process().started.count())}});
		}
	}

	asio::awaitable<void> forwarder::tell_unconfirmed_origin(state_pointer state)
	{
		asio::steady_timer pause(this->executor, unconfirmed_notice_delay);
		std::ignore = co_await pause.async_wait(wait_token);
		this->note_unconfirmed_origin(*state, monotonic_now());
	}

	void forwarder::note_unconfirmed_origin(request_state& state, time_point now)
	{
		if (state.writer || state.is_origin_recorded || state.is_unconfirmed_told || state.call.attempt.empty())
		{
			return;
		}
		state.is_unconfirmed_told = true;
		routing::known_stream stream{
			{state.service, software_version()}, state.first_event_at.value_or(now), this->shared->own_id};
		stream.is_version_known = false;
		this->shared->origins.note(fingerprint_of(state.call.attempt), stream);
		this->log_origin(state, "unconfirmed");
		this->origins->tell_due(now);
	}

	void forwarder::record_writer(request_state& state, routing::server_process const& writer, time_point now)
	{
		auto const is_correction = state.is_unconfirmed_told;
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
		this->log_origin(state, "confirmed");
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
}
