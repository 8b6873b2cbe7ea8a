#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr unsigned status_ok = 200;
		constexpr duration reservation_timeout = milliseconds(200);
		// Streams that wait for room look again after this.
		constexpr duration line_poll = milliseconds(25);
		// Callers leave a stream that has not begun soon after this.
		constexpr duration longest_wait = milliseconds(2800);
		// What may come between the end of the wait and the first event, besides the prefill.
		constexpr duration in_time_margin = milliseconds(150);
		// A prefill engine that rejects is most likely changing its role.
		constexpr duration rejected_prefill_pause = milliseconds(1000);
		// After its start a daemon takes others to be there before it has heard them, and uses a part of the engines
		// only.
		constexpr duration time_to_hear_others = seconds(3);
		constexpr std::uint32_t unheard_daemons = 4;
		constexpr std::size_t most_engines_asked = 4;
		// Streams of one engine do not all reach their end at once: when one is at its longest, others have ended.
		constexpr double part_to_come_at_once = 0.6;
		constexpr auto wait_token = asio::as_tuple(asio::use_awaitable);
		constexpr duration first_event_margin = milliseconds(700);
		constexpr duration prefill_margin = milliseconds(500);
		// Part of the objective up to which prefill engines are waited for.
		constexpr int split_part_of_objective = 2;
		// A decode engine that only has to fetch a KV cache begins soon.
		constexpr duration fetched_event_patience = milliseconds(600);
	}

	asio::awaitable<void> forwarder::forward_stream(state_pointer state)
	{
		auto const* const terms = state->routes->find_service(state->service);
		state->tokens_per_event = terms != nullptr && terms->engine ? terms->engine->tokens_per_event : 0;
		auto& outputs = this->shared->outputs[state->service];
		outputs.note_hint(state->call.expected_output);
		this->shared->demand[state->service].note_stream(
			state->call.prompt, outputs.predict(state->call.expected_output, state->call.most_output));
		routing::engine_speed const speed;
		auto const draw_number = [this]
		{
			return this->draw();
		};
		while (true)
		{
			auto room = co_await this->reserve_room(state);
			if (!room)
			{
				break;
			}
			auto request = this->placement_for(*state);
			request.may_split = !state->is_split_barred && !state->joiner.last_event();
			request.split_limit =
				this->is_new() ? state->chosen->timeout : state->chosen->objective / split_part_of_objective;
			auto placement = routing::place_prefill(
				this->shared->servers, request, room->engine, speed, draw_number, monotonic_now());
			auto const is_split = placement.prefill != nullptr;
			this->record_placement(*state, placement, room->reservation.has_value());
			auto const failure = co_await this->run_stream(state, std::move(placement), room->reservation);
			if (!failure)
			{
				co_return;
			}
			// An engine that could not fetch the KV cache may be asked to prefill by itself.
			if (is_split && *failure == send_failure::not_run)
			{
				state->is_split_barred = true;
				state->excluded.erase(room->engine->entry.id);
				state->sent_to.erase(room->engine->entry.id);
			}
			if (!this->may_repeat(*state, *failure))
			{
				break;
			}
		}
		co_await this->give_up(state);
	}

	void forwarder::record_placement(
		request_state const& state, routing::stream_placement const& placement, bool is_reserved)
	{
		auto const now = monotonic_now();
		auto const all = placement.decode->load.total(now);
		this->record(state, "request_placed",
			{{"decode", placement.decode->entry.id.str()},
				{"prefill", placement.prefill ? placement.prefill->entry.id.str() : ""},
				{"reserved", is_reserved ? "yes" : "no"},
				{"needed_tokens", std::to_string(this->needed_tokens(state).count())},
				{"committed_tokens", std::to_string(all.committed)},
				{"own_committed_tokens", std::to_string(placement.decode->load.own().committed)},
				{"running", std::to_string(all.running)}, {"waited_ms", milliseconds_text(now - state.started)},
				{"predicted_ms", milliseconds_text(placement.first_event)}});
	}

	token_count forwarder::needed_tokens(request_state const& state) const
	{
		auto const& call = state.call;
		auto const& outputs = this->shared->outputs[state.service];
		auto const made = state.made_tokens();
		auto const to_come = outputs.predict(call.expected_output, call.most_output, made) - made;
		return call.prompt + made + token_count(static_cast<std::uint32_t>(to_come.count() * part_to_come_at_once));
	}

	routing::placement_request forwarder::placement_for(request_state const& state) const
	{
		routing::placement_request request;
		request.service = state.service;
		request.data_centre = this->shared->data_centre;
		request.excluded = state.excluded;
		request.prompt = state.call.prompt;
		request.needed = this->needed_tokens(state);
		auto const* const terms = state.routes->find_service(state.service);
		request.capacity = terms != nullptr && terms->engine ? terms->engine->kv_capacity : token_count{};
		if (this->is_new())
		{
			request.own_capacity = token_count(request.capacity.count() / unheard_daemons);
		}
		return request;
	}

	bool forwarder::is_new() const
	{
		return monotonic_now() - this->started < time_to_hear_others;
	}

	asio::awaitable<std::optional<forwarder::decode_room>> forwarder::reserve_room(state_pointer state)
	{
		routing::engine_speed const speed;
		auto const prefill_ms = static_cast<double>(state->call.prompt.count()) / speed.prefill_tokens_per_ms;
		auto const prefill_time = duration(static_cast<duration::rep>(prefill_ms * 1000));
		routing::waiting_stream waiting;
		waiting.arrived = state->started;
		waiting.in_time_until = state->started + state->chosen->objective - prefill_time - in_time_margin;
		waiting.priority = state->chosen->priority;
		waiting.has_begun = state->first_event_at.has_value();
		auto const silent_since = waiting.has_begun ? state->last_event_at : state->started;
		auto const gives_up_at = silent_since + std::min(longest_wait, state->chosen->timeout / 2);
		auto const draw_number = [this]
		{
			return this->draw();
		};
		auto& line = this->shared->line;
		auto const ticket = line.enter(waiting);
		std::optional<decode_room> room;
		auto has_waited = false;
		asio::steady_timer pause(this->executor);
		while (!state->is_caller_gone && !state->is_out_of_time())
		{
			auto const now = monotonic_now();
			if (line.is_next(ticket, now))
			{
				auto engines =
					routing::rank_decode_engines(this->shared->servers, this->placement_for(*state), draw_number, now);
				room = co_await this->try_reserve(state, std::move(engines));
			}
			if (room && has_waited)
			{
				line.note_grant(monotonic_now());
			}
			auto const has_engines =
				!this->shared->servers.candidates(state->service, routing::server_role::decode, now).empty();
			if (room || !has_engines || line.is_hopeless(ticket, gives_up_at, now))
			{
				break;
			}
			has_waited = true;
			pause.expires_after(line_poll);
			std::ignore = co_await pause.async_wait(wait_token);
		}
		line.leave(ticket);
		if (line.size() == 0)
		{
			line.note_idle();
		}
		co_return room;
	}

	asio::awaitable<std::optional<forwarder::decode_room>> forwarder::try_reserve(
		state_pointer state, std::vector<routing::server_pointer> engines)
	{
		auto const limit = this->longest_reservation(state->service);
		if (!limit)
		{
			co_return engines.empty() ? std::nullopt : std::optional<decode_room>({engines.front(), std::nullopt});
		}
		auto const tokens = this->needed_tokens(*state);
		for (auto const& engine : engines | std::views::take(most_engines_asked))
		{
			auto message = this->protocol.reserve(engine->entry.id, tokens, *limit);
			auto const answer = co_await this->call_server(engine, std::move(message), reservation_timeout);
			auto const now = monotonic_now();
			if (!answer)
			{
				engine->health.note(routing::call_outcome::silent, now);
				this->totals->count_send("reserve", "silent");
				continue;
			}
			auto reservation =
				answer->status == status_ok ? this->protocol.read_reservation(answer->body) : std::nullopt;
			this->totals->count_send("reserve", reservation ? "served" : "rejected");
			if (!reservation)
			{
				engine->load.note_full(now);
				continue;
			}
			if (state->is_caller_gone)
			{
				this->release_later(engine, this->protocol.give_up_reservation(engine->entry.id, *reservation));
				co_return std::nullopt;
			}
			co_return decode_room{engine, std::move(reservation)};
		}
		co_return std::nullopt;
	}

	std::optional<duration> forwarder::longest_reservation(service_id const& service) const
	{
		auto const* const terms = this->shared->routes->find_service(service);
		return terms == nullptr || !terms->engine ? std::nullopt : terms->engine->longest_reservation;
	}

	asio::awaitable<std::optional<send_failure>> forwarder::run_stream(
		state_pointer state, routing::stream_placement placement, std::optional<std::string> reservation)
	{
		send_terms terms;
		terms.reservation = reservation;
		// The engine's memory is committed from here on, so that the prompt is not read for nothing.
		auto const own_tokens = placement.prefill ? token_count{} : state->call.prompt;
		load_guard const guard(placement.decode, own_tokens, this->needed_tokens(*state));
		state->is_split = placement.prefill != nullptr;
		state->predicted_first_event = placement.first_event;
		if (placement.prefill)
		{
			auto const patience = 2 * placement.first_event + prefill_margin;
			auto source = co_await this->prefill(state, placement.prefill, patience);
			if (auto const* const failure = std::get_if<send_failure>(&source))
			{
				state->is_split_barred = true;
				this->note_outcome(*state, *placement.prefill, *failure);
				if (*failure == send_failure::not_run)
				{
					placement.prefill->load.note_full_until(monotonic_now() + rejected_prefill_pause);
				}
				placement.prefill = nullptr;
			}
			else
			{
				terms.source = std::move(std::get<kv_source>(source));
				state->prompt_kept_at = placement.prefill->entry.address;
			}
		}
		if (!terms.source)
		{
			terms.fetch_from = state->prompt_kept_at;
		}
		auto const prefilled_by = placement.prefill;
		auto const source = terms.source;
		auto const give_back_all = [&]
		{
			if (source)
			{
				this->release_later(prefilled_by, this->protocol.release(prefilled_by->entry.id, source->handle));
			}
			if (reservation)
			{
				this->release_later(
					placement.decode, this->protocol.give_up_reservation(placement.decode->entry.id, *reservation));
			}
		};
		if (state->is_caller_gone || state->is_out_of_time())
		{
			give_back_all();
			co_return send_failure::not_sent;
		}
		terms.last_event = state->joiner.last_event();
		auto const first_patience = source ? fetched_event_patience : 2 * placement.first_event + first_event_margin;
		auto const patience =
			state->chosen->is_repeatable() && state->sent_to.empty() ? first_patience : default_patience;
		auto outcome = co_await this->send(state, placement.decode, std::move(terms), patience);
		std::optional<send_failure> failure;
		if (auto* const answer = std::get_if<answer_begun>(&outcome))
		{
			// Two statements: GCC 12 runs the wrong branch of a conditional expression that awaits.
			if (answer->head.status == status_ok)
			{
				failure = co_await this->pass_events(state, *answer, placement.decode, guard.id());
			}
			else
			{
				failure = co_await this->pass_whole(state, *answer);
			}
			if (!failure)
			{
				this->note_served(*state, *placement.decode, *answer);
				co_return std::nullopt;
			}
		}
		else
		{
			failure = std::get<send_failure>(outcome);
			if (routing::is_proved_not_run(*failure))
			{
				give_back_all();
			}
		}
		this->note_outcome(*state, *placement.decode, *failure);
		co_return failure;
	}

	asio::awaitable<std::variant<kv_source, send_failure>> forwarder::prefill(
		state_pointer state, routing::server_pointer server, duration patience)
	{
		load_guard const guard(server, state->call.prompt, token_count{});
		send_terms terms;
		terms.part = call_part::prefill;
		auto const sent_before = state->sent_to;
		auto outcome = co_await this->send(state, server, std::move(terms), patience);
		// The prefill that a server accepts is not counted as sending the call there.
		state->sent_to = sent_before;
		if (auto const* const failure = std::get_if<send_failure>(&outcome))
		{
			co_return *failure;
		}
		auto& answer = std::get<answer_begun>(outcome);
		auto const body = co_await answer.connection->read_rest(state->time_left(), small_body_bytes);
		if (auto const* const failure = std::get_if<http::upstream_failure>(&body))
		{
			co_return to_send_failure(*failure);
		}
		auto handle = this->protocol.read_handle(std::get<std::string>(body));
		if (answer.head.status != status_ok || !handle)
		{
			co_return send_failure::server_error;
		}
		server->health.note(routing::call_outcome::served, monotonic_now());
		this->totals->count_send("prefill", "served");
		co_return kv_source{server->entry.address, std::move(*handle)};
	}

	asio::awaitable<std::optional<send_failure>> forwarder::pass_events(
		state_pointer state, answer_begun& answer, routing::server_pointer server, call_id call)
	{
		auto const is_repeatable = state->chosen->is_repeatable();
		auto patience = default_patience;
		while (true)
		{
			auto const wait = std::min(patience, state->time_left());
			auto piece = co_await answer.connection->read_piece(wait);
			if (auto const* const failure = std::get_if<http::upstream_failure>(&piece))
			{
				answer.connection->close();
				state->joiner.restart();
				co_return *failure == http::upstream_failure::silent ? send_failure::silent : send_failure::broken;
			}
			auto const& received = std::get<std::string>(piece);
			auto const is_end = received.empty();
			auto text = is_end ? state->joiner.finish() : state->joiner.feed(received);
			if (text.empty() && !is_end)
			{
				continue;
			}
			server->load.note_prefilled(call);
			server->load.set_committed(call, this->needed_tokens(*state));
			state->note_event(monotonic_now());
			if (is_repeatable)
			{
				patience = routing::event_patience(*state->chosen);
			}
			auto is_taken = !state->is_caller_gone;
			if (is_taken && !std::exchange(state->is_head_sent, true))
			{
				this->totals->observe_first_byte(
					routing::to_string(state->chosen->kind), monotonic_now() - state->started);
				http::response head;
				head.status = answer.head.status;
				head.headers = http::end_to_end_headers(answer.head.headers);
				is_taken = co_await state->talk->begin_stream(std::move(head));
			}
			if (is_taken && !text.empty())
			{
				is_taken = co_await state->talk->write(std::move(text));
			}
			if (is_taken && is_end)
			{
				is_taken = co_await state->talk->end_stream();
			}
			if (!is_taken)
			{
				state->is_caller_gone = true;
				answer.connection->close();
				co_return std::nullopt;
			}
			if (is_end)
			{
				co_return std::nullopt;
			}
		}
	}
}
