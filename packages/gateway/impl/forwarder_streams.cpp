#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <utility>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// A prefill engine that rejects a call is most likely changing its role, so it gets no calls for this long.
		constexpr duration rejected_prefill_pause = milliseconds(1000);
		constexpr duration first_event_margin = milliseconds(700);
		// A decode engine that granted a reservation and then rejected the stream is assumed to be changing its role
		// for this long.
		constexpr duration assumed_role_change_time = seconds(3);
		// Retry-After for callers that another daemon can serve at once.
		constexpr duration retry_elsewhere_delay = milliseconds(20);
		constexpr duration prefill_margin = milliseconds(500);
		// The objective divided by this number is the idle_split_limit, unless this daemon was started recently.
		constexpr int prefill_wait_divisor = 2;
		// Timeout for the first event of a decode engine that only has to fetch a KV cache.
		constexpr duration fetched_first_event_timeout = milliseconds(600);
		// Number of events after which the rate of a stream is recorded, long before its end.
		constexpr std::uint64_t min_events_for_rate = 10;
	}

	asio::awaitable<void> forwarder::forward_stream(state_pointer state)
	{
		if (this->should_relay(*state))
		{
			co_await this->relay(state);
			co_return;
		}
		if (!co_await this->find_origin(state))
		{
			co_return;
		}
		auto const* const terms = state->routes->find_service(state->service);
		state->tokens_per_event = terms != nullptr && terms->engine ? terms->engine->tokens_per_event : 0;
		auto& observed = this->shared->observed[state->service];
		observed.outputs.note_hint(state->call.expected_output);
		observed.demand.note_stream(
			state->call.prompt, observed.outputs.predict(state->call.expected_output, state->call.max_output));
		while (!this->must_refuse_before_stop(*state))
		{
			auto granted = take_place(*state);
			if (!granted)
			{
				co_await this->settle_prompt_version(state);
				std::shared_ptr<place_search> const no_search;
				granted = co_await this->wait_for_reservation(state, no_search);
			}
			if (!granted)
			{
				if (this->should_relay(*state) || this->lacks_connections(*state) ||
					this->lacks_version(*state, monotonic_now()))
				{
					co_await this->relay(state);
					co_return;
				}
				break;
			}
			auto const failure = co_await this->run_at(state, std::move(*granted));
			if (!failure)
			{
				co_return;
			}
			auto const is_origin_known = co_await this->settle_origin(state);
			if (!is_origin_known)
			{
				break;
			}
			if (!this->authorize_retry(*state, *failure))
			{
				break;
			}
			auto const has_place = state->search && state->search->place;
			if (!has_place && this->should_relay(*state))
			{
				co_await this->relay(state);
				co_return;
			}
		}
		if (this->must_refuse_before_stop(*state) && !state->may_have_run && !state->is_caller_gone)
		{
			co_await this->refuse(state, unavailable, "this instance stops before the stream would be whole",
				"send it again at once: other instances take it", retry_elsewhere_delay);
			co_return;
		}
		co_await this->fail_request(state);
	}

	asio::awaitable<std::optional<send_failure>> forwarder::run_at(state_pointer state, reserved_engine granted)
	{
		if (this->shared->crashes.find_block(state->identity) != nullptr)
		{
			// A trial uses one server only.
			state->is_separate_prefill_disabled = true;
		}
		auto request = this->placement_for(*state);
		request.may_use_prefill_engine = !state->is_separate_prefill_disabled && !state->joiner.last_event();
		request.idle_split_limit = this->is_recently_started() ? state->matched_route->timeout
															   : state->matched_route->objective / prefill_wait_divisor;
		auto const now = monotonic_now();
		request.first_event_limit = state->first_event_deadline() - now;
		auto const draw_number = [this]
		{
			return this->draw();
		};
		auto placement = routing::place_prefill(
			this->shared->servers, request, granted.engine, this->engine_speed(*state), draw_number, now);
		auto const has_separate_prefill = placement.prefill != nullptr;
		auto const engine = granted.engine->entry.id;
		this->record_placement(*state, placement, granted.reservation.has_value());
		auto const failure = co_await this->run_stream(state, std::move(placement), std::move(granted));
		// An engine that could not fetch the KV cache may still prefill the prompt itself.
		if (has_separate_prefill && failure == send_failure::not_run)
		{
			state->is_separate_prefill_disabled = true;
			state->excluded.erase(engine);
			state->sent_to.erase(engine);
		}
		co_return failure;
	}

	bool forwarder::must_refuse_before_stop(request_state const& state) const
	{
		auto const others_live = this->shared->daemon_count > 1;
		auto const has_begun = state.first_event_at.has_value();
		if (!this->shared->shutdown_deadline || !others_live || has_begun)
		{
			return false;
		}
		// Assumes that the first event arrives as late as the objective allows.
		auto const& observed = this->shared->observed[state.service];
		auto const output = observed.outputs.predict(state.call.expected_output, state.call.max_output);
		auto const expected_end =
			monotonic_now() + state.matched_route->objective + observed.demand.expected_duration(output);
		return expected_end > *this->shared->shutdown_deadline;
	}

	void forwarder::record_placement(
		request_state const& state, routing::stream_placement const& placement, bool is_reserved)
	{
		auto const now = monotonic_now();
		auto const all = placement.decode->load.total(now);
		this->log_event(state, "request_placed",
			{{"decode", placement.decode->entry.id.str()}, {"decode_version", placement.decode->entry.version.str()},
				{"decode_start", std::to_string(placement.decode->entry.started.count())},
				{"last_event", state.joiner.last_event().value_or("")}, {"resumes", state.call.resumes.str()},
				{"prefill", placement.prefill ? placement.prefill->entry.id.str() : ""},
				{"reserved", is_reserved ? "yes" : "no"},
				{"needed_tokens", std::to_string(this->needed_tokens(state).count())},
				{"committed_tokens", std::to_string(all.committed)},
				{"own_committed_tokens", std::to_string(placement.decode->load.own().committed)},
				{"running", std::to_string(all.running)}, {"waited_ms", milliseconds_text(now - state.started)},
				{"predicted_ms", milliseconds_text(placement.first_event)}});
	}

	asio::awaitable<std::optional<send_failure>> forwarder::run_stream(
		state_pointer state, routing::stream_placement placement, reserved_engine granted)
	{
		send_options options;
		auto reservation = std::move(granted.reservation);
		options.reservation = reservation;
		// Count the memory as committed before the prefill starts. Otherwise other streams could use it up meanwhile
		// and the prefill would be wasted.
		auto const own_tokens = placement.prefill ? token_count{} : state->call.prompt;
		auto const silence = 2 * placement.first_event + routing::event_timeout(*state->matched_route);
		std::optional<load_guard> guard(
			std::in_place, placement.decode, own_tokens, this->needed_tokens(*state), silence);
		state->has_separate_prefill = placement.prefill != nullptr;
		state->predicted_first_event = placement.first_event;
		auto const source = co_await this->prefill_separately(state, placement);
		options.source = source;
		if (!state->joiner.last_event())
		{
			// The engine's entry may have been read anew during the prefill. A stream that has begun needs the process
			// that has stated its start.
			auto const present = this->present_record(placement.decode);
			if (present != placement.decode)
			{
				auto const is_of_present =
					granted.holder == present->entry.started || (granted.holder && granted.holder == present->writer);
				if (!is_of_present)
				{
					// The process before granted the reservation.
					reservation.reset();
					options.reservation.reset();
					granted.holder.reset();
				}
				placement.decode = present;
				guard.emplace(present, own_tokens, this->needed_tokens(*state), silence);
			}
		}
		if (!source)
		{
			options.fetch_from = state->prompt_cache_address;
		}
		// A sign that the engine has ended may have come since.
		auto const is_doubtful = !granted.holder && this->is_start_doubtful(*state, *placement.decode);
		if (state->is_caller_gone || state->is_out_of_time() || is_doubtful)
		{
			this->release_unused(placement, source, reservation);
			co_return send_failure::not_sent;
		}
		options.last_event = state->joiner.last_event();
		auto const first_event_timeout =
			source ? fetched_first_event_timeout : 2 * placement.first_event + first_event_margin;
		auto const is_first_try = state->matched_route->is_repeatable() && state->sent_to.empty();
		silence_limits const max_silence{is_first_try ? first_event_timeout : default_timeout, default_timeout};
		auto const sent_at = monotonic_now();
		auto const is_first = !state->first_event_at;
		send_grant grant{true, granted.holder, std::move(granted.connection)};
		auto outcome = co_await this->send(state, placement.decode, std::move(options), max_silence, std::move(grant));
		std::optional<send_failure> failure;
		auto const* const rejected = std::get_if<send_failure>(&outcome);
		if (state->is_reservation_sent && !source && rejected != nullptr && *rejected == send_failure::not_run)
		{
			// The engine had granted a reservation and needed no KV cache from elsewhere. So it most likely rejects
			// the stream because of a role change that this daemon has not heard of.
			placement.decode->note_pending_role_change(
				{routing::server_role::prefill, monotonic_now() + assumed_role_change_time});
		}
		if (auto* const answer = std::get_if<unread_answer>(&outcome))
		{
			// Two statements, because GCC 12 runs the wrong branch of a conditional expression that contains co_await.
			if (answer->head.status == status_ok)
			{
				silence_limits const first_silence{default_timeout, default_timeout};
				failure = co_await this->forward_events(state, *answer, placement.decode, guard->id(), first_silence);
				while (may_hand_over(*state))
				{
					auto const outcome = co_await this->hand_over(state, *answer, placement.decode);
					if (!outcome.is_answer_kept)
					{
						co_return outcome.failure;
					}
					silence_limits const later_silence{routing::event_timeout(*state->matched_route), default_timeout};
					failure =
						co_await this->forward_events(state, *answer, placement.decode, guard->id(), later_silence);
				}
			}
			else
			{
				failure = co_await this->forward_answer(state, *answer, placement.decode);
			}
			if (source && is_first && state->first_event_at)
			{
				this->shared->observed[state->service].speed.note_decode_start(*state->first_event_at - sent_at);
			}
			if (!failure)
			{
				this->record_success(*state, *placement.decode, *answer);
				co_return std::nullopt;
			}
		}
		else
		{
			failure = std::get<send_failure>(outcome);
			if (routing::is_proved_not_run(*failure))
			{
				this->release_unused(placement, source, reservation);
			}
		}
		this->record_failure(*state, *placement.decode, *failure);
		co_return failure;
	}

	bool forwarder::authorize_prefill(request_state const& state)
	{
		if (state.was_prefilled)
		{
			return this->spend_retry(state);
		}
		auto& budget = this->shared->retry_budgets[state.service];
		return budget.has_left(this->shared->retries, this->shared->daemon_count, monotonic_now());
	}

	asio::awaitable<std::optional<kv_source>> forwarder::prefill_separately(
		state_pointer state, routing::stream_placement const& placement)
	{
		auto const server = placement.prefill;
		if (!server || !this->authorize_prefill(*state))
		{
			co_return std::nullopt;
		}
		auto const max_silence = 2 * placement.first_event + prefill_margin;
		auto source = co_await this->prefill(state, server, max_silence);
		auto const* const failed = std::get_if<send_failure>(&source);
		auto const was_accepted = failed == nullptr || !routing::is_proved_not_run(*failed);
		if (!was_accepted && !state->was_prefilled && routing::has_reached_server(*failed))
		{
			this->shared->retry_budgets[state->service].charge(monotonic_now());
		}
		state->was_prefilled = state->was_prefilled || was_accepted;
		if (auto* const kept = std::get_if<kv_source>(&source))
		{
			state->prompt_cache_address = server->entry.address;
			co_return std::move(*kept);
		}
		auto const failure = std::get<send_failure>(source);
		state->is_separate_prefill_disabled = true;
		this->record_failure(*state, *server, failure);
		if (failure == send_failure::not_run)
		{
			server->load.note_full_until(monotonic_now() + rejected_prefill_pause);
		}
		co_return std::nullopt;
	}

	void forwarder::release_unused(routing::stream_placement const& placement, std::optional<kv_source> const& source,
		std::optional<std::string> const& reservation)
	{
		if (source)
		{
			this->release_in_background(
				placement.prefill, this->protocol.release(placement.prefill->entry.id, source->handle));
		}
		if (reservation)
		{
			this->release_in_background(
				placement.decode, this->protocol.cancel_reservation(placement.decode->entry.id, *reservation));
		}
	}

	asio::awaitable<std::variant<kv_source, send_failure>> forwarder::prefill(
		state_pointer state, routing::server_pointer server, duration max_silence)
	{
		auto const is_idle = server->load.total(monotonic_now()).to_prefill == 0;
		auto const sent_at = monotonic_now();
		load_guard const guard(server, state->call.prompt, token_count{});
		send_options options;
		options.part = call_part::prefill;
		auto const sent_before = state->sent_to;
		silence_limits const limits{max_silence, max_silence};
		auto outcome = co_await this->send(state, server, std::move(options), limits, send_grant());
		// A prefill does not count as sending the call to the server, whether or not it succeeds.
		state->sent_to = sent_before;
		if (auto const* const failure = std::get_if<send_failure>(&outcome))
		{
			co_return *failure;
		}
		auto& answer = std::get<unread_answer>(outcome);
		auto const body = co_await answer.connection->read_rest(state->time_left(), max_small_body_bytes);
		if (auto const* const failure = std::get_if<http::upstream_failure>(&body))
		{
			co_return to_send_failure(*failure);
		}
		auto handle = this->protocol.read_handle(std::get<std::string>(body));
		if (answer.head.status != status_ok || !handle)
		{
			co_return send_failure::server_error;
		}
		if (is_idle)
		{
			this->shared->observed[state->service].speed.note_prefill(state->call.prompt, monotonic_now() - sent_at);
		}
		server->health.note(routing::call_outcome::served, monotonic_now());
		this->totals->count_send("prefill", "served");
		co_return kv_source{server->entry.address, std::move(*handle)};
	}

	asio::awaitable<std::optional<send_failure>> forwarder::forward_events(state_pointer state, unread_answer& answer,
		routing::server_pointer server, call_id call, silence_limits max_silence)
	{
		auto const is_repeatable = state->matched_route->is_repeatable();
		auto const connection = answer.connection.get();
		if (connection->ends_with_connection() && !state->is_relayed_on)
		{
			this->expect_end_with_connection(*server);
		}
		// Only complete events count as progress of the stream.
		auto progress_at = monotonic_now();
		while (true)
		{
			if (state->joiner.is_out_of_order())
			{
				this->log_event(*state, "stream_out_of_order",
					{{"server", server->entry.id.str()}, {"last_event", state->joiner.last_event().value_or("")}});
				connection->close();
				state->joiner.restart();
				co_return send_failure::broken;
			}
			auto const before_wait = monotonic_now();
			co_await state->http_exchange->wait_for_room(state->joiner.held_bytes());
			// The server is not silent while nothing is read from it.
			progress_at += monotonic_now() - before_wait;
			auto const left = std::max(duration{}, max_silence.before_move - (monotonic_now() - progress_at));
			auto const wait = std::min(left, state->time_left());
			auto wait_on = this->wait_unless_moved(state, server, max_silence, progress_at);
			auto const waits_since = monotonic_now();
			auto piece = co_await connection->read_piece(wait, std::move(wait_on));
			state->end_delay = monotonic_now() - waits_since;
			if (auto const* const failure = std::get_if<http::upstream_failure>(&piece))
			{
				auto const is_interrupted = *failure == http::upstream_failure::interrupted;
				if (is_interrupted && !is_reading_ended(*state))
				{
					// The server was heard before the interruption.
					continue;
				}
				if (is_interrupted && state->search->place)
				{
					state->search->is_answer_kept = true;
					co_return send_failure::silent;
				}
				connection->close();
				auto const is_silent = is_reading_ended(*state) || *failure == http::upstream_failure::silent;
				if (!is_silent && *failure == http::upstream_failure::broken)
				{
					this->note_answer_broken(*state, *server, monotonic_now());
				}
				this->note_unheard(*state, server->entry.id);
				state->joiner.restart();
				co_return is_silent ? send_failure::silent : send_failure::broken;
			}
			this->note_heard(*state, monotonic_now());
			auto const& received = std::get<std::string>(piece);
			auto const is_end = received.empty();
			auto const events_before = state->joiner.events();
			auto passed_on = is_end ? state->joiner.finish() : state->joiner.feed(received);
			// Of a stream that goes on, nothing may have been left.
			auto const goes_on = state->matched_route->resumable && state->joiner.last_event();
			auto const is_empty_without_length =
				is_end && !goes_on && events_before == state->events_before_send && connection->ends_with_connection();
			auto is_broken = !passed_on || is_empty_without_length || state->joiner.is_overlong();
			if (is_end || is_broken || state->joiner.events() > events_before)
			{
				this->end_search(*state);
			}
			if (is_broken)
			{
				this->note_answer_broken(*state, *server, monotonic_now());
			}
			else if (is_end)
			{
				this->note_end_habit(*state);
				// Line ends that are still to be passed on belong before what follows.
				auto const asked_call = passed_on->empty() ? std::optional(call) : std::nullopt;
				auto const end = co_await this->settle_end(state, answer, server, asked_call);
				if (end.has_gone_on)
				{
					co_return end.failure;
				}
				is_broken = !end.is_whole;
			}
			if (is_broken)
			{
				connection->close();
				state->joiner.restart();
				co_return send_failure::broken;
			}
			auto text = std::move(*passed_on);
			if (text.empty() && !is_end)
			{
				continue;
			}
			if (state->joiner.events() > events_before)
			{
				progress_at = monotonic_now();
				server->load.note_progress(call, progress_at);
				server->load.set_committed(call, this->needed_tokens(*state));
				state->note_event(progress_at);
				if (!state->is_relayed_on)
				{
					this->note_event_server(state, server, progress_at);
				}
				auto const begun_at = state->events_before_send + min_events_of_answer;
				if (events_before < begun_at && state->joiner.events() >= begun_at)
				{
					this->record_answer_begun(*state, progress_at);
				}
				if (state->joiner.events() >= min_events_for_rate && events_before < min_events_for_rate)
				{
					this->record_duration(*state, progress_at);
				}
				if (is_repeatable)
				{
					// Another daemon needs time to find another server.
					auto const of_daemon = routing::relayed_event_timeout(*state->matched_route);
					max_silence = state->is_relayed_on
									  ? silence_limits{of_daemon, of_daemon}
									  : silence_limits{routing::event_timeout(*state->matched_route), default_timeout};
				}
			}
			auto is_accepted = !state->is_caller_gone;
			if (is_accepted && !std::exchange(state->is_head_sent, true))
			{
				this->totals->observe_first_byte(
					routing::to_string(state->matched_route->kind), monotonic_now() - state->started);
				http::response head;
				head.status = answer.head.status;
				head.headers = http::end_to_end_headers(answer.head.headers);
				is_accepted = co_await state->http_exchange->begin_stream(std::move(head));
			}
			if (is_accepted && !text.empty())
			{
				is_accepted = co_await state->http_exchange->write(std::move(text));
			}
			if (is_accepted && is_end)
			{
				is_accepted = co_await state->http_exchange->end_stream();
			}
			if (!is_accepted)
			{
				state->is_caller_gone = true;
				connection->close();
				co_return std::nullopt;
			}
			if (is_end)
			{
				co_return std::nullopt;
			}
		}
	}
}
