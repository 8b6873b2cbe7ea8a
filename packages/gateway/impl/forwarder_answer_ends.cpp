#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <utility>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// Longest wait for the word of a server whose answer has ended with its connection.
		constexpr duration longest_end_wait = milliseconds(1500);

		// Returns a server's entry as it is judged at the end of an answer. One that states its start now, or has
		// before, is held to it, whatever its role: without a statement, another process may be at its address.
		routing::registered_server to_judged_entry(
			routing::server_record const& server, bool is_stream, routing::process_evidence const& seen)
		{
			auto const states_start = is_stream || server.last_statement || seen.stated();
			return states_start ? routing::as_stream_server(server.entry) : server.entry;
		}
	}

	asio::awaitable<bool> forwarder::is_whole(
		state_pointer state, unread_answer& answer, routing::server_pointer server)
	{
		if (!state->wants_answer() || !answer.connection->ends_with_connection())
		{
			co_return true;
		}
		if (state->is_relayed_on)
		{
			// Daemons send a length or chunks, so this is no answer of theirs.
			co_return false;
		}
		auto const ended_at = monotonic_now();
		// The connection has ended, so it takes no place of the one that asks.
		answer.connection.release();
		auto const asked = this->present_record(server);
		auto const longest_wait = std::min(state->time_left(), longest_end_wait);
		auto const seen = co_await this->end_check.ask_start(asked, ended_at, longest_wait);
		auto const is_stream = state->matched_route->kind == routing::call_kind::streaming;
		auto called = to_judged_entry(*this->present_record(server), is_stream, seen);
		auto const is_writer_known = state->writer && state->writer_send == state->sends;
		called.started = is_writer_known ? state->writer->started : state->sent_to_process.started;
		auto const process = routing::judge_process(called, seen);
		if (process == routing::process_state::ended && !this->shared->reach.is_doubtful())
		{
			this->shared->servers.note_end_sign(server->entry.id, ended_at);
		}
		auto const& broken_at = this->present_record(server)->answer_broken_at;
		this->log_event(*state, "answer_ended_with_connection",
			{{"server", server->entry.id.str()}, {"process", std::string(routing::to_string(process))},
				{"events", std::to_string(state->joiner.events() - state->events_before_send)},
				{"last_event", state->joiner.last_event().value_or("")},
				{"delay_ms", milliseconds_text(state->end_delay)}, {"gap_ms", milliseconds_text(state->mean_gap())},
				{"still_run", seen.names_run(state->call.attempt) ? "yes" : "no"},
				{"server_broke_ms", broken_at ? milliseconds_text(ended_at - *broken_at) : "never"},
				{"made_tokens", std::to_string(state->generated_tokens().count())},
				{"most_tokens", std::to_string(state->call.max_output.count())},
				{"asked_ms", milliseconds_text(monotonic_now() - ended_at)}});
		co_return process == routing::process_state::same;
	}

	void forwarder::note_answer_broken(
		request_state const& state, routing::server_record const& server, time_point now)
	{
		auto const present = this->shared->servers.find(server.entry.id);
		if (present && !state.is_caller_gone)
		{
			present->answer_broken_at = now;
		}
	}
}
