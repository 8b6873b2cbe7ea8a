#include <godwittrestle/gateway/forwarder.hpp>

#include <tuple>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr unsigned not_found = 404;
		constexpr duration connect_timeout = milliseconds(250);
		// A call on a connection that the server has just closed is lost. A non-idempotent call can't be retried, so it
		// only reuses a connection that was in use within this time.
		constexpr duration longest_idle_unsafe = seconds(2);
		constexpr duration longest_idle = seconds(30);
		constexpr duration drain_body_timeout = milliseconds(100);
		// Answers to earlier requests that are skipped on one connection before it is given up.
		constexpr int most_stray_answers = 3;
		constexpr duration release_timeout = milliseconds(500);

		std::string_view without_port(std::string_view host)
		{
			return host.substr(0, host.rfind(':'));
		}
	}

	forwarder::forwarder(
		asio::any_io_executor on, shared_state& state, call_protocol calls, counters& figures, event_log lines)
		: executor(on)
		, shared(&state)
		, protocol(std::move(calls))
		, totals(&figures)
		, log(std::move(lines))
		, pool(on, [this] { this->totals->count_connection(); })
		, random(std::random_device{}())
		, started(monotonic_now())
	{
	}

	asio::awaitable<void> forwarder::serve(http::request message, http::exchange& talk)
	{
		++this->in_progress;
		auto const state = std::make_shared<request_state>();
		state->started = monotonic_now();
		state->message = std::move(message);
		state->talk = &talk;
		state->call = this->protocol.read_call(state->message);
		state->joiner = stream_joiner(state->call.last_event);
		state->routes = this->shared->routes;
		state->ends_at = state->started + state->call.time_left.value_or(default_patience);
		talk.on_close([state] { state->abandon(); });
		if (!state->routes)
		{
			co_await this->refuse(state, unavailable, "no configuration is known yet", "come back after Retry-After",
				this->return_time(*state));
		}
		else
		{
			state->chosen =
				state->routes->find(without_port(state->message.find_header("Host")), state->message.path());
			if (state->chosen == nullptr)
			{
				co_await this->refuse(
					state, not_found, "no route matches host and path", "ask for a path of the configuration in force");
			}
			else
			{
				state->service = routing::choose_service(*state->chosen, this->draw());
				state->ends_at = std::min(state->ends_at, state->started + state->chosen->timeout);
				this->shared->budgets[state->service].note_request(state->started);
				if (state->chosen->kind == routing::call_kind::streaming)
				{
					co_await this->forward_stream(state);
				}
				else
				{
					co_await this->forward_plain(state);
				}
			}
		}
		talk.on_close(nullptr);
		state->talk = nullptr;
		--this->in_progress;
	}

	asio::awaitable<void> forwarder::forward_plain(state_pointer state)
	{
		while (true)
		{
			routing::placement_request request;
			request.service = state->service;
			request.data_centre = this->shared->data_centre;
			request.excluded = state->excluded;
			auto const draw_number = [this]
			{
				return this->draw();
			};
			auto const server = routing::place_call(this->shared->servers, request, draw_number, monotonic_now());
			if (!server || state->is_out_of_time())
			{
				break;
			}
			load_guard const guard(server, token_count{}, token_count{});
			// The last server that may be tried gets the whole remaining time: a timeout could not lead to another
			// attempt.
			auto const is_last = state->sent_to.size() + 1 >= state->chosen->max_servers;
			auto const patience = state->chosen->is_repeatable() && !is_last ? routing::answer_patience(*state->chosen)
																			 : default_patience;
			send_terms terms;
			auto outcome = co_await this->send(state, server, std::move(terms), patience);
			std::optional<send_failure> failure;
			if (auto* const answer = std::get_if<answer_begun>(&outcome))
			{
				failure = co_await this->pass_whole(state, *answer);
				if (!failure)
				{
					this->note_served(*state, *server, *answer);
					co_return;
				}
			}
			else
			{
				failure = std::get<send_failure>(outcome);
			}
			this->note_outcome(*state, *server, *failure);
			if (!this->may_repeat(*state, *failure))
			{
				break;
			}
		}
		co_await this->give_up(state);
	}

	asio::awaitable<forwarder::send_outcome> forwarder::send(
		state_pointer state, routing::server_pointer server, send_terms terms, duration patience)
	{
		auto const& entry = server->entry;
		auto const oldest_idle =
			state->chosen->is_repeatable() || terms.part == call_part::prefill ? longest_idle : longest_idle_unsafe;
		auto const time_to_connect = std::min(connect_timeout, state->time_left());
		auto const limit = this->connection_limit(entry);
		state->path.push_back(entry.id.str());
		auto connection = co_await this->pool.acquire(entry, limit, oldest_idle, time_to_connect);
		if (!connection)
		{
			co_return send_failure::not_sent;
		}
		pooled_connection pooled(this->pool, entry, connection);
		if (state->is_caller_gone || state->is_out_of_time() || server->is_leaving() ||
			server->load.paused_for(monotonic_now()) > duration{})
		{
			connection->close();
			co_return send_failure::not_sent;
		}
		terms.time_left = state->time_left();
		terms.server = entry.id;
		auto const outgoing = this->protocol.write_call(state->message, terms);
		state->connection = connection;
		state->sent_to.insert(entry.id);
		connection->send(outgoing);
		for (int stray = 0; stray < most_stray_answers; ++stray)
		{
			auto const wait = std::min(patience, state->time_left());
			auto head = co_await connection->read_head(wait);
			if (auto const* const failure = std::get_if<http::upstream_failure>(&head))
			{
				connection->close();
				co_return to_send_failure(*failure);
			}
			auto& answer = std::get<http::response>(head);
			auto const facts = this->protocol.read_answer(answer);
			auto const is_stray = !facts.attempt.empty() && facts.attempt != state->call.attempt;
			if (is_stray)
			{
				// A late answer to an earlier request. The answer to this request follows it.
				auto const skipped = co_await connection->read_rest(wait, held_answer_bytes);
				if (std::holds_alternative<http::upstream_failure>(skipped))
				{
					connection->close();
					co_return send_failure::broken;
				}
				continue;
			}
			this->note_facts(*server, facts);
			if (facts.is_misdirected || facts.is_not_run)
			{
				std::ignore = co_await connection->read_rest(drain_body_timeout, small_body_bytes);
				// The intended server in another role only did not run the call; it has not been replaced.
				auto const is_other = facts.is_misdirected && facts.server != entry.id;
				co_return is_other ? send_failure::wrong_server : send_failure::not_run;
			}
			co_return answer_begun{std::move(answer), std::move(pooled)};
		}
		connection->close();
		co_return send_failure::broken;
	}

	bool forwarder::may_repeat(request_state& state, send_failure failure)
	{
		if (state.is_caller_gone || state.is_out_of_time() || !routing::may_send_again(*state.chosen, failure))
		{
			state.not_repeated = "must_not_be_repeated";
			return false;
		}
		if (state.sent_to.size() >= state.chosen->max_servers)
		{
			state.not_repeated = "most_servers_tried";
			return false;
		}
		if (failure == send_failure::not_sent)
		{
			return true;
		}
		auto& budget = this->shared->budgets[state.service];
		auto const is_granted = budget.try_spend(this->shared->retries, this->shared->daemons, monotonic_now());
		state.not_repeated = is_granted ? "no_room" : "retry_budget_spent";
		return is_granted;
	}

	asio::awaitable<std::optional<http::response>> forwarder::call_server(
		routing::server_pointer server, http::request message, duration timeout)
	{
		if (server->load.paused_for(monotonic_now()) > duration{})
		{
			co_return std::nullopt;
		}
		auto const limit = this->connection_limit(server->entry);
		auto const connection = co_await this->pool.acquire(server->entry, limit, longest_idle, timeout);
		if (!connection)
		{
			co_return std::nullopt;
		}
		pooled_connection const pooled(this->pool, server->entry, connection);
		message.headers.push_back({"Host", server->entry.address});
		connection->send(message);
		auto head = co_await connection->read_head(timeout);
		if (auto* const answer = std::get_if<http::response>(&head))
		{
			this->note_facts(*server, this->protocol.read_answer(*answer));
			auto body = co_await connection->read_rest(timeout, small_body_bytes);
			if (auto* const text = std::get_if<std::string>(&body))
			{
				answer->body = std::move(*text);
				co_return std::move(*answer);
			}
		}
		connection->close();
		co_return std::nullopt;
	}

	asio::awaitable<void> forwarder::give_back(routing::server_pointer server, http::request message)
	{
		auto const answer = co_await this->call_server(server, std::move(message), release_timeout);
		this->totals->count_send("give_back", answer ? "served" : "broken");
	}

	void forwarder::release_later(routing::server_pointer const& server, http::request message)
	{
		asio::co_spawn(this->executor, this->give_back(server, std::move(message)), asio::detached);
	}

	double forwarder::draw()
	{
		return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
	}

	std::size_t forwarder::connection_limit(routing::registered_server const& server) const
	{
		constexpr std::size_t least = 2;
		constexpr std::size_t usual = 64;
		auto const* const terms = this->shared->routes ? this->shared->routes->find_service(server.service) : nullptr;
		if (terms == nullptr || terms->max_connections == 0)
		{
			return usual;
		}
		return std::max<std::size_t>(least, terms->max_connections / std::max(1U, this->shared->daemons));
	}
}
