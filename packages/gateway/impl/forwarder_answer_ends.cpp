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
		// Longest wait for the word of a server whose answer has ended with its connection.
		constexpr duration longest_end_wait = milliseconds(1500);
		// Longest wait for the answer of a server that is asked what follows a stream's last event.
		constexpr duration longest_follow_up_wait = milliseconds(600);
		// A report tells which attempts its server ran up to this time before.
		constexpr duration longest_report_age = milliseconds(500);
		// Answers of a server that are broken off within this time have one cause.
		constexpr duration recent_break_time = seconds(1);

		// Returns a server's entry as it is judged at the end of an answer. One that states its start now, or has
		// before, is held to it, whatever its role: without a statement, another process may be at its address.
		routing::registered_server to_judged_entry(
			routing::server_record const& server, bool is_stream, routing::process_evidence const& seen)
		{
			auto const states_start = is_stream || server.last_statement || seen.stated();
			return states_start ? routing::as_stream_server(server.entry) : server.entry;
		}
	}

	asio::awaitable<forwarder::end_outcome> forwarder::settle_end(
		state_pointer state, unread_answer& answer, routing::server_pointer server, std::optional<call_id> call)
	{
		end_outcome outcome;
		if (!state->wants_answer() || !answer.connection->ends_with_connection())
		{
			outcome.is_whole = true;
			co_return outcome;
		}
		if (state->is_relayed_on)
		{
			// Daemons send a length or chunks, so this is no answer of theirs.
			co_return outcome;
		}
		auto const ended_at = monotonic_now();
		// The connection has ended, so it takes no place of the one that asks.
		answer.connection.release();
		auto seen = co_await this->look_at_end(state, server, ended_at);
		seen.can_go_on = seen.can_go_on && call;
		auto const deadline = ended_at + longest_end_wait;
		// A report may be older than the end, so one that names the run says nothing yet.
		auto const was_named = std::exchange(seen.is_still_run, false);
		if (routing::judge_end(seen) == routing::end_judgement::unproved)
		{
			outcome = co_await this->let_go_on(state, server, *call, routing::budget_part(seen), deadline);
			// An engine that has begun an answer and falls silent is generating what follows.
			if (outcome.has_gone_on || outcome.failure == send_failure::silent)
			{
				co_return outcome;
			}
			seen.can_go_on = false;
		}
		if (was_named && seen.process == routing::process_state::same)
		{
			seen.is_still_run = co_await this->is_still_run(state, server, deadline);
		}
		outcome.is_whole = routing::judge_end(seen) == routing::end_judgement::whole;
		co_return outcome;
	}

	asio::awaitable<routing::answer_end> forwarder::look_at_end(
		state_pointer state, routing::server_pointer server, time_point ended_at)
	{
		auto const asked = this->present_record(server);
		auto const longest_wait = std::min(state->time_left(), longest_end_wait);
		auto const evidence = co_await this->end_check.ask_start(asked, ended_at, longest_wait);
		auto const is_stream = state->matched_route->kind == routing::call_kind::streaming;
		auto called = to_judged_entry(*this->present_record(server), is_stream, evidence);
		auto const is_writer_known = state->writer && state->writer_send == state->sends;
		called.started = is_writer_known ? state->writer->started : state->sent_to_process.started;
		routing::answer_end seen;
		seen.process = routing::judge_process(called, evidence);
		seen.is_still_run = evidence.names_run(state->call.attempt);
		if (is_stream && this->watches.is_watched(asked->entry.id))
		{
			auto const end = co_await this->look_at_watched_end(*state, asked->entry.id, ended_at, longest_wait);
			// Without it, the names that a watch gives can't be compared with the start of the entry.
			auto unstated = evidence;
			unstated.statement = routing::start_not_stated();
			seen.process = end ? end->process : routing::judge_process(called, unstated);
			seen.is_still_run = end ? end->is_still_run : seen.is_still_run;
		}
		if (seen.process == routing::process_state::ended && !this->shared->reach.is_doubtful())
		{
			this->shared->servers.note_end_sign(server->entry.id, ended_at);
		}
		auto const events = state->joiner.events() - state->events_before_send;
		auto const& broken_at = this->present_record(server)->answer_broken_at;
		auto const is_resumable = state->matched_route->resumable && state->joiner.last_event();
		// One that the caller has taken up may have been broken off before its first event. A daemon that passes a
		// stream on may only be asking what follows.
		auto const is_empty_take_up =
			state->joiner.events() == 0 && !state->is_end_asked && !state->call.relayed_servers_left;
		auto const is_begun = events > 0 && state->is_origin_recorded;
		seen.can_go_on = is_resumable && state->joiner.may_go_on() && (is_begun || is_empty_take_up);
		// A server that lets a stream go on and ends the answer without a further event has proved that none follows.
		auto const is_empty_follow_up = is_stream && state->joiner.last_event() && events == 0;
		seen.has_server_broken_off = !is_empty_follow_up && broken_at && ended_at - *broken_at <= recent_break_time;
		auto const& habits = this->shared->observed[state->service].ends;
		seen.is_unusually_late =
			events > 0 && routing::is_late_end(state->end_delay, state->mean_gap()) && habits.are_late_ends_rare();
		seen.can_be_taken_up = is_resumable && state->is_origin_recorded;
		// Retries that are spent now were spent within this time, so a proof of before them still counts.
		seen.has_service_broken_off =
			!is_empty_follow_up && habits.were_broken_off(this->shared->retries.window, ended_at);
		this->log_event(*state, "answer_ended_with_connection",
			{{"server", server->entry.id.str()}, {"process", std::string(routing::to_string(seen.process))},
				{"events", std::to_string(events)}, {"last_event", state->joiner.last_event().value_or("")},
				{"delay_ms", milliseconds_text(state->end_delay)}, {"gap_ms", milliseconds_text(state->mean_gap())},
				{"late", seen.is_unusually_late ? "yes" : "no"}, {"still_run", seen.is_still_run ? "yes" : "no"},
				{"service_broke", seen.has_service_broken_off ? "yes" : "no"},
				{"server_broke_ms", broken_at ? milliseconds_text(ended_at - *broken_at) : "never"},
				{"made_tokens", std::to_string(state->generated_tokens().count())},
				{"most_tokens", std::to_string(state->call.max_output.count())},
				{"judged", std::string(routing::to_string(routing::judge_end(seen)))},
				{"asked_ms", milliseconds_text(monotonic_now() - ended_at)}});
		co_return seen;
	}

	asio::awaitable<forwarder::end_outcome> forwarder::let_go_on(
		state_pointer state, routing::server_pointer server, call_id call, double budget_part, time_point deadline)
	{
		end_outcome outcome;
		auto const listed = this->shared->servers.find(server->entry.id);
		auto const left = std::chrono::duration_cast<duration>(deadline - monotonic_now());
		auto const wait = std::min({state->time_left(), longest_follow_up_wait, left});
		auto const is_writer_known = state->writer && state->writer_send == state->sends;
		auto const writer = is_writer_known ? *state->writer : state->sent_to_process;
		// One that leaves, or that the registry does not list any more, gets no further call.
		auto const may_be_asked = listed && listed->is_ready() && this->is_present_process(*listed, writer) &&
								  writer.server == server->entry.id && wait > duration{};
		if (!may_be_asked)
		{
			this->totals->count_send("follow_up", "not_sent");
			co_return outcome;
		}
		auto const events_before = state->joiner.events();
		constexpr auto holder_is_needed = true;
		auto reached = co_await this->connect_to_engine(listed, wait, wait, holder_is_needed);
		auto const is_needed = this->is_process_needed(*listed, monotonic_now());
		auto const holder = reached.connection ? reached.connection->holder() : std::nullopt;
		auto const is_writer = reached.connection && (!is_needed || holder == writer.started);
		auto& budget = this->shared->retry_budgets[state->service];
		if (!is_writer ||
			!budget.try_spend_part(budget_part, this->shared->retries, this->shared->daemon_count, monotonic_now()))
		{
			this->totals->count_send("follow_up", "not_sent");
			co_return outcome;
		}
		state->joiner.restart();
		state->is_end_asked = true;
		send_options options;
		options.last_event = state->joiner.last_event();
		silence_limits const limits{wait, wait};
		send_grant grant{false, holder, std::move(reached.connection)};
		auto sent = co_await this->send(state, listed, std::move(options), limits, std::move(grant));
		if (auto* const answer = std::get_if<unread_answer>(&sent);
			answer != nullptr && answer->head.status == status_ok)
		{
			outcome.failure = co_await this->forward_events(state, *answer, server, call, limits);
			outcome.has_gone_on = !outcome.failure || state->joiner.events() > events_before;
		}
		auto const events = state->joiner.events() - events_before;
		if (events > 0)
		{
			this->note_answer_broken(*state, *listed, monotonic_now());
			this->shared->observed[state->service].ends.note_broken_off(monotonic_now());
		}
		this->totals->count_send("follow_up", !outcome.has_gone_on ? "failed" : events > 0 ? "served" : "nothing");
		this->log_event(*state, "stream_end_asked",
			{{"server", listed->entry.id.str()}, {"answered", outcome.has_gone_on ? "yes" : "no"},
				{"events", std::to_string(events)}, {"last_event", state->joiner.last_event().value_or("")}});
		co_return outcome;
	}

	asio::awaitable<bool> forwarder::is_still_run(
		state_pointer state, routing::server_pointer server, time_point deadline)
	{
		asio::steady_timer pause(this->executor, std::min(state->time_left(), longest_report_age));
		std::ignore = co_await pause.async_wait(wait_token);
		auto const left = std::chrono::duration_cast<duration>(deadline - monotonic_now());
		auto const wait = std::max(duration{}, std::min(state->time_left(), left));
		auto const seen = co_await this->end_check.ask_start(this->present_record(server), monotonic_now(), wait);
		// Without an answer the first report stands.
		co_return seen.names_run(state->call.attempt) || !seen.has_answered();
	}

	void forwarder::note_end_habit(request_state const& state)
	{
		auto const has_events = state.joiner.events() > state.events_before_send;
		if (has_events && state.mean_gap() > duration{} && !state.is_relayed_on)
		{
			auto const is_late = routing::is_late_end(state.end_delay, state.mean_gap());
			this->shared->observed[state.service].ends.note_end(is_late);
		}
	}

	void forwarder::note_answer_broken(request_state const& state, routing::server_record const& server, time_point now)
	{
		auto const present = this->shared->servers.find(server.entry.id);
		if (present && !state.is_caller_gone)
		{
			present->answer_broken_at = now;
		}
	}
}
