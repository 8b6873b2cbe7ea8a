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
		// A server that refuses a stream does so within this time. The servers before and after may not run it both for
		// longer than 400 ms.
		constexpr duration longest_overlap = milliseconds(200);
	}

	bool forwarder::may_go_elsewhere(request_state const& state, routing::server_record const& server) const
	{
		auto const is_sent_here = state.sent_to.contains(server.entry.id);
		auto const servers_left_here = state.servers_left() + (is_sent_here ? 1U : 0U);
		auto const others = this->shared->servers.candidates(state.service, server.entry.role, monotonic_now());
		return servers_left_here > 1 && std::ranges::any_of(others,
											[&](routing::server_pointer const& each)
											{
												auto const is_of_version =
													!state.origin || each->entry.version == state.origin->version;
												return each->entry.id != server.entry.id &&
													   !state.excluded.contains(each->entry.id) && is_of_version;
											});
	}

	http::further_wait forwarder::wait_unless_moved(
		state_pointer const& state, routing::server_pointer const& server, silence_limits limits, time_point since)
	{
		return [this, state = std::weak_ptr(state), server, limits, since, is_first = true]() mutable
		{
			auto const waiting = state.lock();
			if (!waiting)
			{
				return duration{};
			}
			auto const now = monotonic_now();
			auto const further = this->decide_further_wait(waiting, *server, limits, since, now);
			if (std::exchange(is_first, false))
			{
				this->log_silence(*waiting, *server, limits, since, further, now);
			}
			return further;
		};
	}

	duration forwarder::decide_further_wait(state_pointer const& state, routing::server_record const& server,
		silence_limits limits, time_point since, time_point now)
	{
		auto const left = std::min(limits.longest - (now - since), state->time_left());
		if (left <= duration{} || state->is_caller_gone)
		{
			return duration{};
		}
		auto const further = std::min(left, silence_check_interval);
		auto const is_stream = state->matched_route->kind == routing::call_kind::streaming;
		auto const is_refused_next = is_stream && this->must_refuse_before_stop(*state);
		auto const may_be_repeated = !state->is_out_of_time() && state->joiner.may_go_on() && !is_refused_next;
		if (!may_be_repeated || !this->may_go_elsewhere(*state, server))
		{
			return further;
		}
		if (is_stream)
		{
			this->begin_search(state, server.entry.id);
			return further;
		}
		// The retry is spent here, since several requests may wait for the last one. One that gets none waits on.
		if (!this->spend_retry(*state))
		{
			return further;
		}
		state->is_retry_spent = true;
		return duration{};
	}

	void forwarder::begin_search(state_pointer const& state, server_id const& silent)
	{
		auto const is_searching = state->search && !state->search->has_ended;
		auto& budget = this->shared->retry_budgets[state->service];
		if (is_searching || !budget.has_left(this->shared->retries, this->shared->daemon_count, monotonic_now()))
		{
			return;
		}
		state->excluded.insert(silent);
		state->search = std::make_shared<place_search>();
		this->run_in_background("place_search", this->search_place(state, state->search, silent));
	}

	asio::awaitable<void> forwarder::search_place(
		state_pointer state, std::shared_ptr<place_search> search, server_id silent)
	{
		co_await this->settle_prompt_version(state);
		auto const is_origin_known = co_await this->settle_origin(state);
		std::optional<reserved_engine> place;
		if (is_origin_known && search->is_wanted)
		{
			place = co_await this->wait_for_reservation(state, search);
		}
		search->has_ended = true;
		// Another daemon is asked for a place only once it has the stream, so one that has begun stays.
		auto const goes_to_daemon = !place && !state->first_event_at && this->should_relay(*state);
		auto const is_found = (place || goes_to_daemon) && search->is_wanted && !state->is_caller_gone;
		// The retry is spent here, since several streams may have found a place for the last one.
		if (!is_found || !this->spend_retry(*state))
		{
			this->release_place(std::move(place));
			co_return;
		}
		state->is_retry_spent = true;
		this->log_event(*state, "stream_moved",
			{{"from", silent.str()}, {"to", place ? place->engine->entry.id.str() : "another daemon"},
				{"last_event", state->joiner.last_event().value_or("")}});
		search->place = std::move(place);
		search->is_reading_ended = true;
		if (!state->connection->interrupt())
		{
			state->connection->close();
		}
	}

	bool forwarder::is_reading_ended(request_state const& state)
	{
		return state.search && state.search->is_reading_ended;
	}

	bool forwarder::may_hand_over(request_state const& state)
	{
		return state.search && state.search->place && state.search->is_answer_kept;
	}

	asio::awaitable<forwarder::handover_outcome> forwarder::hand_over(
		state_pointer state, unread_answer& answer, routing::server_pointer server)
	{
		auto place = take_place(*state);
		sent_call sent_before = *state;
		auto const joiner_before = state->joiner;
		this->record_failure(*state, *server, send_failure::silent);
		state->is_retry_spent = false;
		state->joiner.restart();
		answer.connection.take_back();
		state->kept_connection = answer.connection.get();
		handover_outcome outcome;
		outcome.failure = co_await this->run_at(state, std::move(*place));
		outcome.is_answer_kept = outcome.failure && state->kept_connection && !state->is_caller_gone;
		if (outcome.is_answer_kept)
		{
			state->kept_connection = nullptr;
			static_cast<sent_call&>(*state) = std::move(sent_before);
			state->joiner = joiner_before;
			answer.connection.lend_to(state->connection);
			this->log_event(*state, "stream_kept",
				{{"server", server->entry.id.str()}, {"failure", std::string(routing::to_string(*outcome.failure))},
					{"last_event", state->joiner.last_event().value_or("")}});
		}
		state->close_kept();
		co_return outcome;
	}

	asio::awaitable<void> forwarder::close_kept_in_time(state_pointer state, http::upstream_pointer kept)
	{
		asio::steady_timer timer(this->executor, longest_overlap);
		std::ignore = co_await timer.async_wait(wait_token);
		if (state->kept_connection == kept)
		{
			state->close_kept();
		}
	}

	void forwarder::end_search(request_state& state)
	{
		if (is_reading_ended(state))
		{
			state.connection->cancel_interruption();
		}
		this->release_place(take_place(state));
	}

	std::optional<forwarder::reserved_engine> forwarder::take_place(request_state& state)
	{
		auto const search = std::exchange(state.search, nullptr);
		if (!search)
		{
			return std::nullopt;
		}
		search->is_wanted = false;
		return std::exchange(search->place, std::nullopt);
	}

	void forwarder::release_place(std::optional<reserved_engine> place)
	{
		if (place && place->reservation)
		{
			auto const& engine = place->engine;
			this->release_in_background(
				engine, this->protocol.cancel_reservation(engine->entry.id, *place->reservation));
		}
	}

	void forwarder::log_silence(request_state const& state, routing::server_record const& server, silence_limits limits,
		time_point since, duration further, time_point now)
	{
		auto const due = std::min(limits.before_move, state.time_left() + (now - since));
		this->log_event(state, "request_silent",
			{{"server", server.entry.id.str()}, {"silent_ms", milliseconds_text(now - since)},
				{"late_ms", milliseconds_text(std::max(duration{}, now - since - due))},
				{"unheard_ms", milliseconds_text(this->shared->reach.unheard_for(now))},
				{"last_event", state.joiner.last_event().value_or("")},
				{"elsewhere", this->may_go_elsewhere(state, server) ? "yes" : "no"},
				{"decided", further == duration{} ? "give_up"
							: state.search        ? "search"
												  : "wait"},
				{"left_ms", milliseconds_text(state.time_left())}});
	}
}
