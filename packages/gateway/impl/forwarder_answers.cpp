#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <exception>
#include <iterator>
#include <new>
#include <ranges>
#include <tuple>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/exception.hpp>

#include "forwarder_state.hpp"
#include "limit_events.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr unsigned first_server_error = 500;
		constexpr duration rejected_decode_pause = milliseconds(300);
		// What is collected of an answer whose head is sent before it is passed on.
		constexpr std::size_t passed_on_piece_bytes = 16'384;

		routing::call_outcome to_call_outcome(send_failure failure) noexcept
		{
			switch (failure)
			{
				case send_failure::not_run:
					return routing::call_outcome::rejected;
				case send_failure::server_error:
					return routing::call_outcome::failed;
				case send_failure::silent:
					return routing::call_outcome::silent;
				case send_failure::not_sent:
				case send_failure::not_permitted:
				case send_failure::blocked:
				case send_failure::wrong_server:
				case send_failure::broken:
					return routing::call_outcome::broken;
			}
			return routing::call_outcome::broken;
		}

		// Returns the log fields that tell which versions' events a stream holds, and which stream it takes up.
		std::vector<decide::event_field> stream_fields(
			std::vector<software_version> const& versions, request_metadata const& call)
		{
			auto const names = versions | std::views::transform(&software_version::str);
			return {{"event_versions", fmt::format("{}", fmt::join(names.begin(), names.end(), ","))},
				{"last_event", call.last_event.value_or("")}, {"resumes", call.resumes.str()}};
		}
	}

	asio::awaitable<std::optional<send_failure>> forwarder::forward_answer(
		state_pointer state, unread_answer& answer, routing::server_pointer server)
	{
		if (state->is_head_sent)
		{
			// The caller already has the head of another server's stream, so no other answer can be passed on.
			answer.connection->close();
			co_return send_failure::server_error;
		}
		auto const head_at = monotonic_now();
		auto const connection = answer.connection.get();
		std::string body;
		while (true)
		{
			co_await state->http_exchange->wait_for_room(body.capacity());
			auto piece = co_await connection->read_piece(state->time_left());
			if (auto const* const failure = std::get_if<http::upstream_failure>(&piece))
			{
				connection->close();
				if (*failure == http::upstream_failure::broken)
				{
					this->note_answer_broken(*state, *server, monotonic_now());
				}
				co_return *failure == http::upstream_failure::silent ? send_failure::silent : send_failure::broken;
			}
			auto& text = std::get<std::string>(piece);
			auto const is_end = text.empty();
			body += text;
			if (is_end)
			{
				auto const end = co_await this->settle_end(state, answer, server, std::nullopt);
				if (!end.is_whole)
				{
					co_return send_failure::broken;
				}
			}
			if (is_end && !state->is_head_sent)
			{
				break;
			}
			// While there is no room, nothing is collected.
			auto const has_room = state->http_exchange->hold(body.capacity());
			auto const max_collected = state->is_head_sent ? passed_on_piece_bytes : max_buffered_answer_bytes;
			if (body.size() > max_collected || !has_room || (is_end && state->is_head_sent))
			{
				auto is_accepted = true;
				if (!std::exchange(state->is_head_sent, true))
				{
					state->is_plain_answer_begun = true;
					http::response head;
					head.status = answer.head.status;
					head.headers = http::end_to_end_headers(answer.head.headers);
					is_accepted = co_await state->http_exchange->begin_stream(std::move(head));
				}
				if (is_accepted && !body.empty())
				{
					std::ignore = state->http_exchange->hold(0);
					is_accepted = co_await state->http_exchange->write(std::exchange(body, {}));
				}
				if (is_accepted && is_end)
				{
					is_accepted = co_await state->http_exchange->end_stream();
				}
				if (is_end || !is_accepted)
				{
					co_return std::nullopt;
				}
			}
		}
		http::response whole;
		whole.status = answer.head.status;
		whole.headers = http::end_to_end_headers(answer.head.headers);
		whole.body = std::move(body);
		auto const is_not_run = std::ranges::find(not_run_statuses, whole.status) != not_run_statuses.end();
		if (whole.status >= first_server_error || is_not_run)
		{
			if (!is_not_run)
			{
				state->server_failure = std::move(whole);
			}
			co_return send_failure::server_error;
		}
		this->totals->observe_first_byte(routing::to_string(state->matched_route->kind), head_at - state->started);
		if (state->wants_answer())
		{
			std::ignore = co_await state->http_exchange->reply(std::move(whole));
		}
		co_return std::nullopt;
	}

	void forwarder::record_server_state(routing::server_record& server, answer_metadata const& metadata)
	{
		server.load.note_heard(monotonic_now());
		this->shared->reach.note_heard(monotonic_now());
		if (metadata.is_leaving && !std::exchange(server.has_announced_leaving, true))
		{
			this->log(make_event("server_says_leaving", {{"server", server.entry.id.str()}}));
		}
		if (metadata.requested_pause)
		{
			server.load.note_pause(monotonic_now() + *metadata.requested_pause);
			this->log(make_event("server_wants_pause",
				{{"server", server.entry.id.str()}, {"pause_ms", milliseconds_text(*metadata.requested_pause)}}));
		}
	}

	void forwarder::record_failure(request_state& state, routing::server_record& server, send_failure failure)
	{
		auto const was_closed_by_peer = state.connection->was_closed_by_peer();
		auto const was_closed = was_closed_by_peer || state.connection->ends_with_connection();
		state.failure = failure;
		if (was_closed_by_peer || (was_closed && failure == send_failure::broken))
		{
			this->shared->servers.note_end_sign(server.entry.id, monotonic_now());
		}
		if (failure == send_failure::not_permitted || failure == send_failure::blocked)
		{
			// Says nothing about the server, which stays a candidate for this request.
			return;
		}
		state.excluded.insert(server.entry.id);
		if (failure == send_failure::not_sent)
		{
			state.sent_to.erase(server.entry.id);
		}
		if (!state.wants_answer())
		{
			return;
		}
		if (failure == send_failure::wrong_server)
		{
			server.is_replaced = true;
		}
		if (failure == send_failure::not_run && server.entry.role == routing::server_role::decode)
		{
			// The engine granted a reservation but rejected the stream: most likely it is changing its role or does not
			// have the KV cache handle.
			server.load.note_full_until(monotonic_now() + rejected_decode_pause);
		}
		state.may_have_run = state.may_have_run || !routing::is_proved_not_run(failure);
		if (!this->shared->is_cut_off)
		{
			server.health.note(to_call_outcome(failure), monotonic_now());
		}
		this->totals->count_send(routing::to_string(server.entry.role), routing::to_string(failure));
		this->log_event(state, "request_send_failed",
			{{"server", server.entry.id.str()}, {"server_version", server.entry.version.str()},
				{"failure", std::string(routing::to_string(failure))},
				{"servers_tried", std::to_string(state.attempted_servers.size())},
				{"events", std::to_string(state.joiner.events() - state.events_before_send)},
				{"since_sent_ms", state.sent_at ? milliseconds_text(monotonic_now() - *state.sent_at) : ""},
				{"fingerprint", to_text(state.identity.request)},
				{"shared_parts", to_text(state.identity.shared_parts)},
				{"left_ms", milliseconds_text(state.time_left())}});
		if (failure == send_failure::broken && was_closed && state.is_unanswered())
		{
			this->check_server_end(state, server);
		}
		state.is_trial = false;
	}

	void forwarder::record_duration(request_state const& state, time_point now)
	{
		// A stream that stalled or failed over says nothing about how long such a stream takes.
		if (state.longest_gap <= state.matched_route->longest_gap && !state.failure)
		{
			this->shared->observed[state.service].demand.note_duration(
				state.generated_tokens(), now - *state.first_event_at);
		}
	}

	void forwarder::record_success(request_state& state, routing::server_record& server, unread_answer& answer)
	{
		auto const now = monotonic_now();
		server.health.note(routing::call_outcome::served, now);
		auto const outcome = state.is_caller_gone ? "caller_gone" : "served";
		this->totals->count_send(routing::to_string(server.entry.role), "served");
		this->totals->count_request(routing::to_string(state.matched_route->kind), outcome);
		if (state.was_limited)
		{
			this->totals->count_limited_request("moved");
		}
		std::vector<decide::event_field> fields{{"route", state.matched_route->name},
			{"servers", fmt::format("{}", fmt::join(state.attempted_servers, ","))},
			{"status", std::to_string(answer.head.status)}, {"took_ms", milliseconds_text(now - state.started)}};
		this->record_answer_begun(state, now);
		if (state.first_event_at)
		{
			this->record_duration(state, now);
			if (!state.is_caller_gone && !state.call.last_event)
			{
				this->shared->observed[state.service].outputs.note_outcome(
					state.call.expected_output, state.generated_tokens());
			}
			std::ranges::move(stream_fields(state.event_versions, state.call), std::back_inserter(fields));
			fields.push_back({"estimated_tokens", std::to_string(state.call.expected_output.count())});
			fields.push_back({"made_tokens", std::to_string(state.generated_tokens().count())});
			fields.push_back({"prompt_tokens", std::to_string(state.call.prompt.count())});
			fields.push_back({"prefilled_apart", state.has_separate_prefill ? "yes" : "no"});
			fields.push_back({"predicted_ms", milliseconds_text(state.predicted_first_event)});
			fields.push_back({"first_event_ms", milliseconds_text(*state.first_event_at - state.started)});
			fields.push_back({"longest_gap_ms", milliseconds_text(state.longest_gap)});
		}
		this->log_event(state, state.is_caller_gone ? "request_abandoned" : "request_served", std::move(fields));
	}

	void forwarder::record_exception(request_state const& state) noexcept
	{
		try
		{
			this->totals->count_internal_error("request");
			this->log_event(state, "request_failed_internally",
				{{"error", describe_current_exception()}, {"answer_begun", state.is_head_sent ? "yes" : "no"},
					{"route", state.matched_route == nullptr ? "" : state.matched_route->name},
					{"servers", fmt::format("{}", fmt::join(state.attempted_servers, ","))},
					{"took_ms", milliseconds_text(monotonic_now() - state.started)}});
		}
		catch (std::bad_alloc const&)
		{
			report_lost_log_line();
		}
	}

	void forwarder::run_in_background(std::string_view part, asio::awaitable<void> work)
	{
		asio::co_spawn(this->executor, std::move(work),
			[this, part](std::exception_ptr const& thrown)
			{
				if (thrown)
				{
					this->totals->count_internal_error(part);
					this->log(make_event(
						"internal_error", {{"part", std::string(part)}, {"error", describe_exception(thrown)}}));
				}
			});
	}

	void forwarder::record_end(request_state const& state)
	{
		if (state.http_exchange->is_answered())
		{
			return;
		}
		if (state.is_caller_gone)
		{
			this->totals->count_unanswered_request("caller_gone");
			return;
		}
		this->totals->count_unanswered_request("cut");
		this->log_event(state, "request_unanswered",
			{{"answer_begun", state.is_head_sent ? "yes" : "no"},
				{"route", state.matched_route == nullptr ? "" : state.matched_route->name},
				{"servers", fmt::format("{}", fmt::join(state.attempted_servers, ","))},
				{"took_ms", milliseconds_text(monotonic_now() - state.started)}});
	}

	asio::awaitable<void> forwarder::fail_request(state_pointer state)
	{
		if (!state->wants_answer())
		{
			this->totals->count_request(routing::to_string(state->matched_route->kind), "caller_gone");
			this->log_event(*state, "request_abandoned",
				{{"route", state->matched_route->name},
					{"servers", fmt::format("{}", fmt::join(state->attempted_servers, ","))}});
			co_return;
		}
		if (state->is_head_sent)
		{
			// The answer has been started and can't be completed: http::server closes the connection to the caller.
			this->totals->count_request(routing::to_string(state->matched_route->kind), "failed");
			std::vector<decide::event_field> fields{{"route", state->matched_route->name},
				{"servers", fmt::format("{}", fmt::join(state->attempted_servers, ","))},
				{"events", std::to_string(state->joiner.events())},
				{"failure", state->failure ? std::string(routing::to_string(*state->failure)) : "no_server"},
				{"not_repeated", std::string(state->no_retry_reason)}};
			std::ranges::move(stream_fields(state->event_versions, state->call), std::back_inserter(fields));
			this->log_event(*state, "request_broken_off", std::move(fields));
			co_return;
		}
		if (state->failure == send_failure::blocked)
		{
			co_await this->refuse_blocked(state);
			co_return;
		}
		if (state->server_failure && !state->is_out_of_time())
		{
			auto const status = state->server_failure->status;
			this->totals->count_request(routing::to_string(state->matched_route->kind), "passed_on_failure");
			this->log_event(*state, "request_failure_passed_on",
				{{"route", state->matched_route->name},
					{"servers", fmt::format("{}", fmt::join(state->attempted_servers, ","))},
					{"status", std::to_string(status)}});
			std::ignore = co_await state->http_exchange->reply(std::move(*state->server_failure));
			co_return;
		}
		if (state->relayed_refusal && !state->may_have_run)
		{
			auto const status = state->relayed_refusal->status;
			this->totals->count_request(routing::to_string(state->matched_route->kind), "refused");
			this->log_event(*state, "request_refused",
				{{"status", std::to_string(status)}, {"reason", "refused by the daemon that served it"},
					{"route", state->matched_route->name},
					{"servers", fmt::format("{}", fmt::join(state->attempted_servers, ","))}});
			std::ignore = co_await state->http_exchange->reply(std::move(*state->relayed_refusal));
			co_return;
		}
		auto const status = routing::status_of_failure(state->may_have_run, state->is_out_of_time());
		auto reason = state->failure ? std::string(routing::to_string(*state->failure)) : "no_server";
		auto const now = monotonic_now();
		auto const bound_to = this->bound_origin(*state, now);
		if (bound_to && !this->has_engines(*state, bound_to, now))
		{
			reason = "no_server_of_version";
		}
		std::optional<duration> retry_delay;
		std::string remedy = "the request may have run: check before repeating it";
		if (status == unavailable)
		{
			if (this->shared->servers.next_limited(state->service, monotonic_now()))
			{
				reason = "server_limits";
				this->totals->count_limited_request("refused");
			}
			retry_delay = this->retry_after_delay(*state);
			remedy = "come back after Retry-After";
		}
		co_await this->refuse(state, status, reason, remedy, retry_delay);
	}

	asio::awaitable<void> forwarder::refuse(state_pointer state, unsigned status, std::string reason,
		std::string remedy, std::optional<duration> retry_delay)
	{
		auto const kind = state->matched_route == nullptr ? "none" : routing::to_string(state->matched_route->kind);
		auto const is_not_run = std::ranges::find(not_run_statuses, status) != not_run_statuses.end();
		this->totals->count_request(kind, is_not_run ? "refused" : "failed");
		auto const now = monotonic_now();
		std::vector<decide::event_field> fields{{"status", std::to_string(status)}, {"reason", reason},
			{"route", state->matched_route == nullptr ? "" : state->matched_route->name},
			{"servers", fmt::format("{}", fmt::join(state->attempted_servers, ","))},
			{"configuration", state->routes ? std::to_string(state->routes->version().count()) : "none"},
			{"took_ms", milliseconds_text(now - state->started)}};
		if (auto const limited = this->shared->servers.next_limited(state->service, now))
		{
			std::ranges::move(limit_fields(*limited, now), std::back_inserter(fields));
		}
		this->log_event(*state, "request_refused", std::move(fields));
		auto answer = http::make_error(status, "refused", reason, remedy);
		if (retry_delay)
		{
			answer.headers.push_back(this->protocol.retry_after(*retry_delay));
		}
		if (state->wants_answer())
		{
			std::ignore = co_await state->http_exchange->reply(std::move(answer));
		}
	}

	duration forwarder::retry_after_delay(request_state const& state)
	{
		auto const objective = state.matched_route == nullptr ? duration{} : state.matched_route->objective;
		auto const now = monotonic_now();
		auto const pause = this->shared->servers.shortest_pause(state.service, now);
		auto const limited = this->shared->servers.next_limited(state.service, now);
		auto const wait = limited ? limited->limit.refused_for(now) : duration{};
		auto const earliest = std::max({pause, wait, state.turn_after});
		return routing::retry_after(state.time_left(), objective, earliest, this->draw());
	}

	void forwarder::log_event(request_state const& state, std::string name, std::vector<decide::event_field> fields)
	{
		this->log(make_event(std::move(name), std::move(fields), state.call.attempt));
	}
}
