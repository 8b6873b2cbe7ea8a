#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <exception>
#include <tuple>
#include <utility>

#include <godwittrestle/base/exception.hpp>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// A call on a connection that the server has just closed is lost. A non-idempotent call can't be retried, so it
		// only reuses a connection that was in use within this time.
		constexpr duration max_idle_non_repeatable = seconds(2);
		constexpr duration drain_body_timeout = milliseconds(100);
		// Number of answers to earlier requests after which a connection is given up.
		constexpr int max_stray_answers = 3;
		constexpr duration release_timeout = milliseconds(500);
		// Number of servers whose limits may refuse a request before it goes to servers without a limit only.
		constexpr int max_refused_permits = 3;
	}

	forwarder::forwarder(asio::any_io_executor io_executor, shared_state& state, forwarder_exchanges exchanges,
		call_protocol calls, counters& metrics, event_log event_sink)
		: executor(io_executor)
		, shared(&state)
		, permits(exchanges.permits)
		, origins(exchanges.origins)
		, quotas(exchanges.quotas)
		, protocol(std::move(calls))
		, totals(&metrics)
		, log(std::move(event_sink))
		, pool(
			  io_executor,
			  [this](server_id const& server, bool is_connected)
			  {
				  this->totals->count_connection();
				  this->shared->reach.note_connect(server, is_connected, monotonic_now());
				  if (!is_connected)
				  {
					  this->shared->servers.note_end_sign(server, monotonic_now());
				  }
			  },
			  [this](server_id const& server) { this->shared->servers.note_end_sign(server, monotonic_now()); })
		, peer_pool(
			  io_executor, [](server_id const& /*daemon*/, bool /*is_connected*/) {},
			  [](server_id const& /*daemon*/) {})
		, end_check(io_executor, this->log,
			  [this](routing::server_pointer called) { return this->ask_start(std::move(called)); })
		, watches(io_executor, state,
			  {[this](routing::server_pointer server, http::upstream_pointer connection)
				  { return this->ask_report(std::move(server), std::move(connection)); },
				  [this](routing::server_record const& server) { this->note_writer_known(server); },
				  [this](std::string_view part, asio::awaitable<void> work)
				  {
					  this->run_in_background(part, std::move(work));
				  }})
		, random(std::random_device{}())
		, started(monotonic_now())
	{
	}

	asio::awaitable<void> forwarder::serve(http::request message, http::exchange& http_exchange)
	{
		auto const state = std::make_shared<request_state>();
		this->requests.insert(state);
		state->started = monotonic_now();
		state->message = std::move(message);
		state->http_exchange = &http_exchange;
		std::exception_ptr thrown;
		try
		{
			co_await this->serve_request(state);
			this->record_end(*state);
		}
		catch (...)
		{
			thrown = std::current_exception();
			this->record_exception(*state);
		}
		this->end_search(*state);
		this->return_quota(*state);
		http_exchange.on_close(nullptr);
		state->http_exchange = nullptr;
		this->requests.erase(state);
		if (thrown)
		{
			// http::server answers with 500, or breaks an answer off that has begun.
			std::rethrow_exception(thrown);
		}
	}

	void forwarder::end_requests()
	{
		auto const now = monotonic_now();
		for (auto const& state : this->requests)
		{
			state->deadline = std::min(state->deadline, now);
			state->close_connections();
		}
	}

	asio::awaitable<void> forwarder::forward_plain(state_pointer state)
	{
		int refused_permits = 0;
		while (true)
		{
			if (this->should_relay(*state))
			{
				co_await this->relay(state);
				co_return;
			}
			routing::placement_request request;
			request.service = state->service;
			request.data_centre = this->shared->data_centre;
			request.excluded = state->excluded;
			request.may_use_limited = refused_permits < max_refused_permits;
			auto const draw_number = [this]
			{
				return this->draw();
			};
			auto const server = routing::place_call(this->shared->servers, request, draw_number, monotonic_now());
			if (!server && this->lacks_connections(*state))
			{
				co_await this->relay(state);
				co_return;
			}
			if (!server || state->is_out_of_time())
			{
				break;
			}
			load_guard const guard(server, token_count{}, token_count{});
			// While a timeout could not lead to another attempt (a non-idempotent call, or no further try), the server
			// may use the whole remaining time, up to default_timeout.
			auto const before_move = state->matched_route->is_repeatable()
										 ? routing::response_timeout(*state->matched_route)
										 : default_timeout;
			silence_limits const max_silence{before_move, default_timeout};
			send_options options;
			auto outcome = co_await this->send(state, server, std::move(options), max_silence, send_grant());
			std::optional<send_failure> failure;
			if (auto* const answer = std::get_if<unread_answer>(&outcome))
			{
				failure = co_await this->forward_answer(state, *answer, server);
				if (!failure)
				{
					this->record_success(*state, *server, *answer);
					co_return;
				}
			}
			else
			{
				failure = std::get<send_failure>(outcome);
			}
			refused_permits += *failure == send_failure::not_permitted ? 1 : 0;
			this->record_failure(*state, *server, *failure);
			if (!this->authorize_retry(*state, *failure))
			{
				break;
			}
		}
		co_await this->fail_request(state);
	}

	asio::awaitable<forwarder::send_outcome> forwarder::send(state_pointer state, routing::server_pointer server,
		send_options options, silence_limits max_silence, send_grant grant)
	{
		state->connection->clear();
		// The server's entry may have been read anew since it was chosen.
		server = this->present_record(server);
		auto const& entry = server->entry;
		auto const max_idle_for_call = state->matched_route->is_repeatable() || options.part == call_part::prefill
										   ? max_server_idle
										   : max_idle_non_repeatable;
		if (this->is_blocked(*state, monotonic_now()))
		{
			co_return send_failure::blocked;
		}
		auto const had_limit = server->limit.rate().has_value();
		if (!grant.has_permit)
		{
			auto const is_permitted = co_await this->obtain_permit(state, server);
			if (!is_permitted)
			{
				co_return send_failure::not_permitted;
			}
		}
		state->attempted_servers.push_back(entry.id.str());
		auto const is_stream = state->matched_route->kind == routing::call_kind::streaming &&
							   options.part == call_part::whole && this->is_process_needed(*server, monotonic_now());
		engine_connection reached;
		auto const granted_on = grant.connection ? grant.connection->get() : nullptr;
		if (is_stream)
		{
			reached.connection = std::move(grant.connection);
			if (reached.connection && is_held_by_ended_process(*server, *reached.connection))
			{
				// A later process was heard of since.
				(*reached.connection)->close();
				reached.connection.reset();
			}
			if (reached.connection && !(*reached.connection)->is_open_without_data())
			{
				reached.connection.reset();
				this->shared->servers.note_end_sign(entry.id, monotonic_now());
			}
			if (!reached.connection || !(*reached.connection)->is_reusable())
			{
				auto const holder_is_needed = grant.reserved_at || this->needs_holder(*state, *server, monotonic_now());
				auto const wait = longest_answer_wait(*state, *server);
				reached = co_await this->connect_to_engine(server, state->time_left(), wait, holder_is_needed);
			}
		}
		else
		{
			auto const time_to_connect = std::min(connect_timeout, state->time_left());
			auto const limit = this->connection_limit(entry);
			auto const taken = co_await this->pool.acquire(entry, limit, max_idle_for_call, time_to_connect);
			if (taken)
			{
				reached.connection.emplace(this->pool, entry, taken);
			}
			else
			{
				this->shared->reach.note_failure(entry.id);
			}
		}
		if (!reached.connection)
		{
			co_return send_failure::not_sent;
		}
		auto& pooled = *reached.connection;
		auto const connection = pooled.get();
		if (!grant.has_permit && !had_limit)
		{
			// The server may have stated a limit while the connection was opened.
			auto const is_permitted = co_await this->obtain_permit(state, server);
			if (!is_permitted)
			{
				co_return send_failure::not_permitted;
			}
		}
		// A sign that the engine has ended, or a new entry, may have come while the connection was opened.
		auto const present = this->present_record(server);
		auto const listed = this->shared->servers.find(entry.id);
		auto const is_leaving = server->is_leaving() || (listed && listed->is_leaving());
		auto const holder = routing::compare_holder(routing::as_stream_server(entry), pooled.holder(), server->writer);
		// Another stream with the same prompt may have been sent meanwhile. The version of a later process than the
		// entry's is not known.
		auto const wanted = this->wanted_origin(*state, monotonic_now());
		auto const is_wanted =
			!wanted || (holder != routing::connection_holder::later && entry.version == wanted->version);
		auto const may_be_sent =
			!is_stream || (is_wanted && routing::may_send_stream(entry, holder, this->terms_of(*state, *server)));
		if (state->is_caller_gone || state->is_out_of_time() || !may_be_sent || is_leaving ||
			server->load.paused_for(monotonic_now()) > duration{})
		{
			connection->close();
			co_return send_failure::not_sent;
		}
		auto const is_on_granted = granted_on && connection == granted_on;
		auto const is_of_granter = grant.reserved_at ? pooled.holder() == grant.reserved_at : is_on_granted;
		if (is_stream && options.reservation && !is_of_granter)
		{
			this->log_event(*state, "stream_reservation_dropped",
				{{"server", entry.id.str()},
					{"reserved_at", grant.reserved_at ? std::to_string(grant.reserved_at->count()) : "unknown"},
					{"holder", std::string(routing::to_string(holder))}});
			this->release_in_background(server, this->protocol.cancel_reservation(entry.id, *options.reservation));
			options.reservation.reset();
		}
		state->is_reservation_sent = options.reservation.has_value();
		if (!this->begin_send(*state, monotonic_now()))
		{
			co_return send_failure::blocked;
		}
		options.time_left = state->time_left();
		options.server = entry.id;
		options.identity = state->identity_to_send();
		options.rank = state->rank_to_send();
		auto const outgoing = this->protocol.write_call(state->message, options);
		pooled.lend_to(state->connection);
		state->sent_to.insert(entry.id);
		auto const sent_at = monotonic_now();
		state->sent_at = sent_at;
		state->events_before_send = state->joiner.events();
		if (options.part == call_part::whole)
		{
			++state->sends;
			state->connected_at = pooled.opened_at();
			state->is_holder_known = is_stream && pooled.holder();
			state->sent_to_process = state->is_holder_known ? routing::server_process{entry.id, *pooled.holder()}
															: present->newest_process();
			if (state->matched_route->kind == routing::call_kind::streaming)
			{
				this->log_stream_sent(*state, *present, pooled);
				this->note_prompt_version(*state, *present, sent_at);
			}
		}
		if (server->limit.rate())
		{
			this->totals->count_limited_send();
		}
		connection->send(outgoing);
		if (state->kept_connection)
		{
			this->run_in_background("handover", this->close_kept_in_time(state, state->kept_connection));
		}
		auto const may_be_sent_again_here = options.source.has_value();
		auto const wait = std::min(max_silence.before_move, state->time_left());
		auto wait_on = this->wait_unless_moved(state, server, max_silence, sent_at);
		auto head = co_await this->read_own_head(connection, state->call.attempt, wait, std::move(wait_on));
		if (auto const* const failure = std::get_if<http::upstream_failure>(&head))
		{
			connection->close();
			this->shared->reach.note_failure(entry.id);
			co_return is_reading_ended(*state) ? send_failure::silent : to_send_failure(*failure);
		}
		this->end_search(*state);
		auto& answer = std::get<http::response>(head);
		auto const metadata = this->protocol.read_answer(answer);
		this->record_server_state(*server, metadata);
		this->record_limit(*server, metadata, answer.status, sent_at);
		if (metadata.is_misdirected || metadata.is_not_run)
		{
			std::ignore = co_await connection->read_rest(drain_body_timeout, max_small_body_bytes);
			if (may_be_sent_again_here)
			{
				// A second copy of this refusal would pass for the answer to the same call without a KV source.
				connection->close();
			}
			// If the server's id matches, only its role differs: it did not run the call and was not replaced.
			auto const is_other = metadata.is_misdirected && metadata.server != entry.id;
			co_return is_other ? send_failure::wrong_server : send_failure::not_run;
		}
		if (answer.status == status_ok)
		{
			state->close_kept();
		}
		co_return unread_answer{std::move(answer), std::move(pooled)};
	}

	void forwarder::log_stream_sent(
		request_state const& state, routing::server_record const& server, pooled_connection const& connection)
	{
		auto const& stated = server.last_statement;
		auto const now = monotonic_now();
		auto const is_watched = this->is_watch_needed(server, now);
		auto const is_by_entry = !connection.holder() && !this->is_process_needed(server, now);
		std::string_view const process = connection.holder() ? (is_watched ? "watched" : "stated")
										 : is_by_entry       ? "by_entry"
															 : "unknown";
		this->totals->count_stream_sent(process, state.joiner.last_event().has_value());
		this->log_event(state, "stream_sent",
			{{"server", server.entry.id.str()}, {"entry_start", std::to_string(server.entry.started.count())},
				{"entry_version", server.entry.version.str()},
				{"stated_start", stated ? std::to_string(stated->start.count()) : "none"},
				{"stated_ms", stated ? milliseconds_text(monotonic_now() - stated->asked_at) : "none"},
				{"holder", connection.holder() ? std::to_string(connection.holder()->count()) : "unknown"},
				{"process", std::string(process)}, {"port", std::to_string(connection->local_port())},
				{"last_event", state.joiner.last_event().value_or("")}});
	}

	asio::awaitable<std::variant<http::response, http::upstream_failure>> forwarder::read_own_head(
		http::upstream_pointer connection, request_id attempt, duration wait, http::further_wait wait_on)
	{
		for (int stray = 0; stray < max_stray_answers; ++stray)
		{
			auto head = co_await connection->read_head(wait, wait_on);
			auto const* const answer = std::get_if<http::response>(&head);
			if (answer == nullptr)
			{
				co_return head;
			}
			auto const answered = this->protocol.read_answer(*answer).attempt;
			if (answered.empty() || answered == attempt)
			{
				co_return head;
			}
			auto const skipped = co_await connection->read_rest(wait, max_buffered_answer_bytes);
			if (std::holds_alternative<http::upstream_failure>(skipped))
			{
				break;
			}
		}
		co_return http::upstream_failure::broken;
	}

	bool forwarder::authorize_retry(request_state& state, send_failure failure)
	{
		if (failure == send_failure::blocked)
		{
			state.no_retry_reason = "blocked";
			return false;
		}
		if (state.is_caller_gone || state.is_out_of_time() || !routing::may_retry(*state.matched_route, failure))
		{
			state.no_retry_reason = "must_not_be_repeated";
			return false;
		}
		if (state.is_plain_answer_begun)
		{
			state.no_retry_reason = "answer_begun";
			return false;
		}
		if (!state.joiner.may_go_on())
		{
			state.no_retry_reason = "no_event_id";
			return false;
		}
		if (state.servers_left() == 0)
		{
			state.no_retry_reason = "most_servers_tried";
			return false;
		}
		if (!routing::has_reached_server(failure))
		{
			return true;
		}
		auto const is_granted = std::exchange(state.is_retry_spent, false) || this->spend_retry(state);
		state.no_retry_reason = is_granted ? "no_room" : "retry_budget_spent";
		return is_granted;
	}

	bool forwarder::spend_retry(request_state const& state)
	{
		auto& budget = this->shared->retry_budgets[state.service];
		return budget.try_spend(this->shared->retries, this->shared->daemon_count, monotonic_now());
	}

	asio::awaitable<std::optional<std::string>> forwarder::fetch(
		routing::server_pointer server, http::request message, duration timeout)
	{
		auto answer = co_await this->call_server(server, std::move(message), timeout);
		if (!answer || answer->status != status_ok)
		{
			co_return std::nullopt;
		}
		co_return std::move(answer->body);
	}

	asio::awaitable<void> forwarder::send_release(routing::server_pointer server, http::request message)
	{
		auto const timeout = std::max(release_timeout, server->answers.timeout(report_timeout));
		auto const answer = co_await this->call_server(server, std::move(message), timeout);
		this->totals->count_send("give_back", answer ? "served" : "broken");
	}

	void forwarder::release_in_background(routing::server_pointer const& server, http::request message)
	{
		this->run_in_background("release", this->send_release(server, std::move(message)));
	}

	void forwarder::close_connections()
	{
		this->watches.close();
		this->pool.close();
		this->peer_pool.close();
	}

	void forwarder::close_expired_connections(time_point now)
	{
		this->pool.close_expired(now);
		this->peer_pool.close_expired(now);
	}

	void forwarder::forget_server(server_id const& server)
	{
		this->pool.remove_server(server);
		this->late_questions.erase(server);
	}

	std::size_t forwarder::idle_connections() const
	{
		return this->pool.idle_connections() + this->peer_pool.idle_connections();
	}

	routing::server_pointer forwarder::present_record(routing::server_pointer const& server) const
	{
		auto const present = this->shared->servers.find(server->entry.id);
		auto const is_same = present && present->entry.address == server->entry.address &&
							 present->entry.service == server->entry.service &&
							 present->entry.role == server->entry.role;
		return is_same ? present : server;
	}

	double forwarder::draw()
	{
		return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
	}

	std::size_t forwarder::connection_limit(routing::registered_server const& server) const
	{
		auto const* const terms = this->shared->routes ? this->shared->routes->find_service(server.service) : nullptr;
		auto const share =
			routing::connection_share(terms == nullptr ? 0 : terms->max_connections, this->shared->daemon_count);
		// A watch has a connection of its own.
		constexpr std::size_t least_share = 2;
		auto const is_shared = this->watches.is_watched(server.id) && share > least_share;
		return is_shared ? share - 1 : share;
	}
}
