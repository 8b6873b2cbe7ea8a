#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "background_work.hpp"
#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// The margin of an engine that takes longer to answer is asked for at the same time as the reservation.
		constexpr duration slow_answer_time = milliseconds(50);
		// Lifetime of the reservation that only checks for spare memory. It expires even when the request that cancels
		// it is lost.
		constexpr duration probe_lifetime = milliseconds(100);
		// Interval at which a waiting stream tries to reserve memory again.
		constexpr duration queue_poll_interval = milliseconds(25);
		// Fraction of the caller's patience that a stream may wait for memory. The first event needs the rest.
		constexpr double max_wait_fraction = 0.78;
		// During discovery_time after its start, a daemon may not have heard from all others yet. It then assumes that
		// there are assumed_daemons daemons and uses only its part of each engine's memory.
		constexpr duration discovery_time = seconds(3);
		constexpr std::uint32_t assumed_daemons = 4;
		constexpr std::size_t max_engines_tried = 4;
	}

	// A request for a reservation. It goes on when nobody waits for the answer any more; the connection then returns to
	// its pool.
	struct forwarder::reservation_question
	{
		reservation_question(
			asio::any_io_executor const& executor, routing::server_pointer asked, pooled_connection used)
			: engine(std::move(asked))
			, connection(std::move(used))
			, work(executor)
		{
		}

		routing::server_pointer engine;
		pooled_connection connection;
		background_work work;
		bool has_answer = false;
		std::optional<std::string> granted;
	};

	// The question whether an engine has memory free beyond a reservation.
	struct forwarder::margin_probe
	{
		margin_probe(asio::any_io_executor const& executor, std::optional<incarnation> process, token_count wanted,
			duration kept_for)
			: holder(process)
			, margin(wanted)
			, lifetime(kept_for)
			, work(executor)
		{
		}

		// Start of the only process that is asked; nothing when any may be.
		std::optional<incarnation> holder;
		token_count margin;
		duration lifetime;
		background_work work;
		bool has_margin = false;
	};

	token_count forwarder::needed_tokens(request_state const& state) const
	{
		auto const& call = state.call;
		auto const& outputs = this->shared->observed[state.service].outputs;
		auto const generated = state.generated_tokens();
		auto const predicted = outputs.predict(call.expected_output, call.max_output, generated);
		return routing::memory_to_reserve(call.prompt, generated, predicted);
	}

	routing::placement_request forwarder::placement_for(request_state const& state) const
	{
		routing::placement_request request;
		request.service = state.service;
		request.data_centre = this->shared->data_centre;
		request.excluded = state.excluded;
		if (auto const wanted = this->wanted_origin(state, monotonic_now()))
		{
			request.version = wanted->version;
		}
		else
		{
			request.reserved_versions = this->shared->stream_queue.awaited_versions(state.service);
		}
		request.prompt = state.call.prompt;
		request.needed = this->needed_tokens(state);
		auto const* const terms = state.routes->find_service(state.service);
		request.capacity = terms != nullptr && terms->engine ? terms->engine->kv_capacity : token_count{};
		if (this->is_recently_started())
		{
			request.own_capacity = token_count(request.capacity.count() / assumed_daemons);
		}
		return request;
	}

	routing::engine_speed forwarder::engine_speed(request_state const& state) const
	{
		return this->shared->observed[state.service].speed.speed(state.call.prompt, state.matched_route->objective);
	}

	bool forwarder::is_recently_started() const
	{
		return monotonic_now() - this->started < discovery_time;
	}

	asio::awaitable<std::optional<forwarder::reserved_engine>> forwarder::wait_for_reservation(
		state_pointer state, std::shared_ptr<place_search> search)
	{
		auto const speed = this->engine_speed(*state);
		auto const time_to_first_event = speed.prefill_time(state->call.prompt.count()) + speed.decode_start;
		routing::waiting_stream waiting;
		waiting.arrived = state->started;
		waiting.start_deadline = state->first_event_deadline() - time_to_first_event;
		waiting.priority = state->priority();
		waiting.has_begun = state->first_event_at.has_value();
		waiting.needed = this->needed_tokens(*state);
		waiting.account = state->account == nullptr ? account_id() : state->account->id;
		auto const silent_since = waiting.has_begun ? state->last_event_at : state->started;
		auto const longest_wait =
			std::chrono::duration_cast<duration>(state->matched_route->caller_patience * max_wait_fraction);
		auto const gives_up_at = silent_since + std::min(longest_wait, state->matched_route->timeout / 2);
		state->gives_up_at = gives_up_at;
		auto const draw_number = [this]
		{
			return this->draw();
		};
		auto& stream_queue = this->shared->stream_queue;
		queue_place const place(stream_queue, waiting);
		auto const ticket = place.ticket();
		std::optional<reserved_engine> granted;
		auto has_waited = false;
		asio::steady_timer pause(this->executor);
		while (!state->is_caller_gone && !state->is_out_of_time() && (!search || search->is_wanted))
		{
			auto const now = monotonic_now();
			if (this->is_blocked(*state, now))
			{
				state->failure = routing::send_failure::blocked;
				break;
			}
			auto const bound_to = this->bound_origin(*state, now);
			stream_queue.bind(ticket, bound_to);
			if (stream_queue.may_reserve(ticket, now))
			{
				auto engines =
					routing::rank_decode_engines(this->shared->servers, this->placement_for(*state), draw_number, now);
				auto const is_late = !waiting.has_begun && now > waiting.start_deadline;
				this->put_known_first(engines, now);
				stream_queue.note_try(ticket, now);
				granted = co_await this->try_reserve(state, std::move(engines), is_late);
				stream_queue.note_try_end(ticket);
			}
			if (granted)
			{
				stream_queue.note_served(ticket);
			}
			if (granted && has_waited)
			{
				stream_queue.note_grant(monotonic_now());
			}
			auto const is_turn_too_late = !granted && stream_queue.should_refuse(ticket, gives_up_at, now);
			if (is_turn_too_late && state->account != nullptr)
			{
				state->turn_after = stream_queue.expected_wait(ticket, now);
				this->log_event(*state, "stream_turn_too_late",
					{{"account", state->account->id.str()}, {"turn_ms", milliseconds_text(state->turn_after)},
						{"waiting", std::to_string(stream_queue.size())}});
			}
			auto const is_over = this->is_beyond_limits(*state, waiting, gives_up_at, now) || is_turn_too_late ||
								 this->must_refuse_before_stop(*state);
			auto const is_elsewhere = this->should_relay(*state) || this->lacks_connections(*state);
			if (granted || is_over || is_elsewhere || !this->has_engines(*state, bound_to, now))
			{
				break;
			}
			has_waited = true;
			pause.expires_after(queue_poll_interval);
			std::ignore = co_await pause.async_wait(wait_token);
		}
		state->gives_up_at.reset();
		co_return granted;
	}

	bool forwarder::is_beyond_limits(request_state const& state, routing::waiting_stream const& waiting,
		time_point gives_up_at, time_point now) const
	{
		auto const limited = this->shared->servers.next_limited(state.service, now);
		auto const is_late = waiting.has_begun || now > waiting.start_deadline;
		auto const must_start_by = is_late ? gives_up_at : std::min(waiting.start_deadline, gives_up_at);
		return limited && now + limited->limit.refused_for(now) > must_start_by;
	}

	asio::awaitable<std::optional<forwarder::reserved_engine>> forwarder::try_reserve(
		state_pointer state, std::vector<routing::server_pointer> engines, bool is_late)
	{
		auto const longest = this->longest_reservation(*state);
		// Servers without a stage grant no reservations.
		auto const are_plain = !engines.empty() && engines.front()->entry.role == routing::server_role::plain;
		if (!longest || are_plain)
		{
			for (auto const& engine : engines)
			{
				auto checked = co_await this->confirm_start(state, engine);
				if (checked.may_get_stream)
				{
					checked.may_get_stream = co_await this->obtain_permit(state, engine);
				}
				if (checked.may_get_stream)
				{
					auto const holder = checked.holder();
					co_return reserved_engine{engine, std::nullopt, holder, std::move(checked.connection)};
				}
			}
			co_return std::nullopt;
		}
		auto const speed = this->engine_speed(*state);
		auto const time_to_first_event = speed.prefill_time(state->call.prompt.count()) + speed.decode_start;
		auto const needed = this->needed_tokens(*state);
		auto const margin = routing::memory_margin(this->shared->observed[state->service].demand.output(), is_late);
		for (auto const& engine : engines | std::views::take(max_engines_tried))
		{
			auto checked = co_await this->confirm_start(state, engine);
			if (checked.is_silent)
			{
				engine->health.note(routing::call_outcome::silent, monotonic_now());
				this->totals->count_send("reserve", "silent");
			}
			if (checked.is_silent || !checked.may_get_stream)
			{
				continue;
			}
			// The engine counts the lifetime from before its answer.
			auto const answer_time = engine->answers.expected();
			auto const lifetime = routing::reservation_lifetime(time_to_first_event + answer_time, *longest);
			auto const probe = std::make_shared<margin_probe>(
				this->executor, checked.holder(), margin, std::min(*longest, probe_lifetime));
			auto const is_probed_beside = answer_time >= slow_answer_time;
			if (is_probed_beside)
			{
				this->run_in_background("margin_probe", this->probe_margin_beside(state, engine, probe));
			}
			auto reservation = co_await this->request_reservation(state, engine, checked, needed, lifetime);
			if (!reservation)
			{
				continue;
			}
			auto const granted_on = checked.connection ? checked.connection->get() : nullptr;
			if (!is_probed_beside)
			{
				co_await this->probe_margin(state, engine, checked, probe);
			}
			auto const margin_wait = longest_answer_wait(*state, *engine);
			std::ignore = co_await probe->work.wait(margin_wait);
			auto const is_wanted = probe->has_margin && !state->is_caller_gone;
			// Asked for last: a permit that is not used is lost for all daemons.
			auto is_permitted = false;
			if (is_wanted)
			{
				is_permitted = co_await this->obtain_permit(state, engine);
			}
			if (!is_permitted)
			{
				this->release_in_background(engine, this->protocol.cancel_reservation(engine->entry.id, *reservation));
			}
			if (state->is_caller_gone)
			{
				co_return std::nullopt;
			}
			if (!is_permitted)
			{
				continue;
			}
			auto const holder = checked.holder();
			if (!holder && checked.connection && checked.connection->get() != granted_on)
			{
				// That may be another process than the one that granted the reservation.
				checked.connection.reset();
			}
			co_return reserved_engine{engine, std::move(reservation), holder, std::move(checked.connection)};
		}
		co_return std::nullopt;
	}

	duration forwarder::longest_answer_wait(request_state const& state, routing::server_record const& engine)
	{
		auto const until_given_up = state.gives_up_at
										? std::chrono::duration_cast<duration>(*state.gives_up_at - monotonic_now())
										: report_timeout;
		auto const wait = engine.answers.timeout(std::min(report_timeout, until_given_up));
		return std::min(wait, state.time_left());
	}

	asio::awaitable<std::optional<std::string>> forwarder::request_reservation(state_pointer state,
		routing::server_pointer engine, checked_engine& checked, token_count tokens, duration lifetime)
	{
		if (engine->load.paused_for(monotonic_now()) > duration{})
		{
			co_return std::nullopt;
		}
		auto const holder = checked.holder();
		auto is_unreachable = false;
		if (!checked.connection || !(*checked.connection)->is_reusable())
		{
			// The answer before has closed it, or no connection whose process is known could be had.
			auto const holder_is_needed = holder.has_value();
			auto const wait = longest_answer_wait(*state, *engine);
			auto reached = co_await this->connect_to_engine(engine, state->time_left(), wait, holder_is_needed);
			checked.connection = std::move(reached.connection);
			is_unreachable = reached.is_unreachable;
		}
		if (!checked.connection || (holder && checked.holder() != holder))
		{
			// If it was not asked, that says nothing about the engine.
			if (is_unreachable)
			{
				engine->health.note(routing::call_outcome::silent, monotonic_now());
				this->totals->count_send("reserve", "silent");
			}
			co_return std::nullopt;
		}
		auto const question =
			std::make_shared<reservation_question>(this->executor, engine, std::move(*checked.connection));
		checked.connection.reset();
		auto const asked_at = monotonic_now();
		auto message = this->protocol.reserve(engine->entry.id, tokens, lifetime);
		this->run_in_background("reservation", this->ask_reservation(question, std::move(message)));
		auto const wait = longest_answer_wait(*state, *engine);
		auto const is_over = co_await question->work.wait(wait);
		auto const now = monotonic_now();
		if (is_over)
		{
			checked.connection.emplace(std::move(question->connection));
		}
		else
		{
			engine->answers.note_silence(asked_at, now);
		}
		if (!question->has_answer)
		{
			engine->health.note(routing::call_outcome::silent, now);
			this->totals->count_send("reserve", "silent");
			co_return std::nullopt;
		}
		this->totals->count_send("reserve", question->granted ? "served" : "rejected");
		if (!question->granted)
		{
			engine->load.note_full(now);
		}
		co_return question->granted;
	}

	asio::awaitable<void> forwarder::ask_reservation(
		std::shared_ptr<reservation_question> question, http::request message)
	{
		auto const engine = question->engine;
		auto const asked_at = monotonic_now();
		auto const answer = co_await this->call_on(engine, question->connection, std::move(message), report_timeout);
		auto const now = monotonic_now();
		question->has_answer = answer.has_value();
		if (answer)
		{
			engine->answers.note_answer(now - asked_at);
		}
		if (answer && answer->status == status_ok)
		{
			question->granted = this->protocol.read_reservation(answer->body);
		}
		if (question->work.is_abandoned())
		{
			question->connection.release();
		}
		if (question->work.is_abandoned() && answer)
		{
			// It was slow, not silent.
			engine->health.note(routing::call_outcome::served, now);
			this->totals->count_send("late_reserve", question->granted ? "served" : "rejected");
		}
		if (question->work.is_abandoned() && question->granted)
		{
			this->release_in_background(
				engine, this->protocol.cancel_reservation(engine->entry.id, *question->granted));
		}
		question->work.end();
	}

	asio::awaitable<void> forwarder::probe_margin(state_pointer state, routing::server_pointer engine,
		checked_engine& checked, std::shared_ptr<margin_probe> probe)
	{
		auto const granted = co_await this->request_reservation(state, engine, checked, probe->margin, probe->lifetime);
		if (granted)
		{
			this->release_in_background(engine, this->protocol.cancel_reservation(engine->entry.id, *granted));
		}
		probe->has_margin = granted.has_value();
		probe->work.end();
	}

	asio::awaitable<void> forwarder::probe_margin_beside(
		state_pointer state, routing::server_pointer engine, std::shared_ptr<margin_probe> probe)
	{
		checked_engine checked;
		if (probe->holder)
		{
			auto const wait = longest_answer_wait(*state, *engine);
			constexpr auto holder_is_needed = true;
			auto reached = co_await this->connect_to_engine(engine, state->time_left(), wait, holder_is_needed);
			checked.connection = std::move(reached.connection);
		}
		if (checked.holder() == probe->holder)
		{
			co_await this->probe_margin(state, engine, checked, probe);
		}
		probe->work.end();
	}

	std::optional<duration> forwarder::longest_reservation(request_state const& state) const
	{
		auto const* const in_force = this->shared->routes->find_service(state.service);
		auto const* const terms = in_force != nullptr ? in_force : state.routes->find_service(state.service);
		return terms == nullptr || !terms->engine ? std::nullopt : terms->engine->longest_reservation;
	}
}
