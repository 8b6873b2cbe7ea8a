#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <array>
#include <ranges>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/gateway/wall_clock.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		using daemon::monotonic_now;
		using routing::send_failure;

		constexpr unsigned status_ok = 200;
		constexpr unsigned first_server_error = 500;
		constexpr unsigned not_found = 404;
		constexpr unsigned unavailable = 503;
		// Statuses that promise that a request did not run.
		constexpr std::array<unsigned, 4> promising_statuses{408, 421, 429, 503};
		constexpr duration connect_timeout = milliseconds(250);
		// A call that must not be repeated is lost when its connection was closed meanwhile, so it takes only a
		// connection that was used a moment ago.
		constexpr duration longest_idle_unsafe = seconds(2);
		constexpr duration longest_idle = seconds(30);
		// With less time than this left, nothing is sent any more.
		constexpr duration least_time = milliseconds(25);
		constexpr duration drain_body_timeout = milliseconds(100);
		constexpr std::size_t small_body_bytes = 65'536;
		// Larger answers are passed on piece by piece instead of being held until they are whole.
		constexpr std::size_t held_answer_bytes = 262'144;
		// Answers to earlier requests that are passed over on one connection.
		constexpr int most_stray_answers = 3;
		constexpr duration release_timeout = milliseconds(500);
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
		constexpr duration rejected_decode_pause = milliseconds(300);
		constexpr std::size_t most_engines_asked = 4;
		// Part of the expected output that is reserved besides the prompt: streams end at different times.
		constexpr double reserved_part_of_output = 1.0;
		// Part of the expected output that a stream is taken to make at least after what it has made.
		constexpr double least_part_to_come = 0.2;
		constexpr auto wait_token = asio::as_tuple(asio::use_awaitable);
		constexpr duration default_patience = seconds(60);
		constexpr duration first_event_margin = milliseconds(700);
		constexpr duration prefill_margin = milliseconds(500);
		// Part of the objective up to which prefill engines are waited for.
		constexpr int split_part_of_objective = 2;
		// A decode engine that only has to fetch a KV cache begins soon.
		constexpr duration fetched_event_patience = milliseconds(600);

		// Keeps a call in a server's load until it ends.
		class load_guard
		{
		  public:
			load_guard(routing::server_pointer target, token_count tokens, token_count committed)
				: server(std::move(target))
				, call(this->server->load.begin(tokens, committed, monotonic_now()))
			{
			}

			~load_guard()
			{
				this->server->load.end(this->call);
			}

			load_guard(load_guard const&) = delete;
			load_guard& operator=(load_guard const&) = delete;
			load_guard(load_guard&&) = delete;
			load_guard& operator=(load_guard&&) = delete;

			[[nodiscard]] call_id id() const noexcept
			{
				return this->call;
			}

		  private:
			routing::server_pointer server;
			call_id call;
		};

		// A connection that goes back to its pool, or is closed when it can't be used again.
		class pooled_connection
		{
		  public:
			pooled_connection(connection_pool& owner, routing::registered_server target, http::upstream_pointer opened)
				: pool(&owner)
				, server(std::move(target))
				, connection(std::move(opened))
			{
			}

			~pooled_connection()
			{
				if (this->connection)
				{
					this->pool->release(this->server, this->connection);
				}
			}

			pooled_connection(pooled_connection const&) = delete;
			pooled_connection& operator=(pooled_connection const&) = delete;
			pooled_connection(pooled_connection&& other) noexcept = default;
			pooled_connection& operator=(pooled_connection&&) = delete;

			[[nodiscard]] http::upstream& operator*() const noexcept
			{
				return *this->connection;
			}

			[[nodiscard]] http::upstream* operator->() const noexcept
			{
				return this->connection.get();
			}

			[[nodiscard]] http::upstream_pointer const& get() const noexcept
			{
				return this->connection;
			}

		  private:
			connection_pool* pool;
			routing::registered_server server;
			http::upstream_pointer connection;
		};

		send_failure to_send_failure(http::upstream_failure failure) noexcept
		{
			switch (failure)
			{
				case http::upstream_failure::not_sent:
					return send_failure::not_sent;
				case http::upstream_failure::broken:
					return send_failure::broken;
				case http::upstream_failure::silent:
					return send_failure::silent;
			}
			return send_failure::broken;
		}

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
				case send_failure::wrong_server:
				case send_failure::broken:
					return routing::call_outcome::broken;
			}
			return routing::call_outcome::broken;
		}

		std::string_view without_port(std::string_view host)
		{
			return host.substr(0, host.rfind(':'));
		}

		std::string milliseconds_text(duration span)
		{
			return fmt::format("{:.1f}", to_milliseconds(span));
		}
	}

	struct forwarder::request_state
	{
		http::request message;
		http::exchange* talk = nullptr;
		caller_call call;
		std::shared_ptr<routing::route_table const> routes;
		routing::route const* chosen = nullptr;
		service_id service;
		time_point started;
		time_point ends_at;
		// Servers that may have got the call. Prefills that a server accepted do not count.
		std::set<server_id> sent_to;
		// Servers that are not asked again.
		std::set<server_id> excluded;
		std::vector<std::string> path;
		std::optional<send_failure> failure;
		// A failure that a server answered itself, to be passed on when nothing better comes.
		std::optional<http::response> server_failure;
		stream_joiner joiner{std::nullopt};
		http::upstream_pointer connection;
		// When the first event of a stream was passed on, and the longest pause between two since.
		std::optional<time_point> first_event_at;
		time_point last_event_at;
		duration longest_gap{};
		// How the last placement had the prompt prefilled, and what it predicted.
		bool is_split = false;
		std::uint64_t tokens_per_event = 0;
		duration predicted_first_event{};
		bool may_have_run = false;
		bool is_caller_gone = false;
		bool is_head_sent = false;
		// Prefilling apart has failed once.
		bool is_split_barred = false;

		[[nodiscard]] duration time_left() const
		{
			return std::max(duration{}, std::chrono::duration_cast<duration>(this->ends_at - monotonic_now()));
		}

		[[nodiscard]] bool is_out_of_time() const
		{
			return this->time_left() < least_time;
		}

		// Tokens of an engine's memory that the stream is expected to need.
		[[nodiscard]] token_count needed_tokens() const
		{
			auto const expected = static_cast<double>(this->call.expected_output.count()) * reserved_part_of_output;
			auto const made = static_cast<double>(this->joiner.events() * this->tokens_per_event);
			auto const output = std::max(expected, made + expected * least_part_to_come);
			return this->call.prompt + token_count(static_cast<std::uint32_t>(output));
		}

		void note_event(time_point now)
		{
			if (this->first_event_at)
			{
				this->longest_gap = std::max(this->longest_gap, now - this->last_event_at);
			}
			this->first_event_at = this->first_event_at.value_or(now);
			this->last_event_at = now;
		}

		// Stops the server's work for a caller that is gone. A call that must not be repeated runs to its end.
		void abandon()
		{
			this->is_caller_gone = true;
			auto const runs_on = this->chosen != nullptr && this->chosen->kind == routing::call_kind::non_idempotent;
			if (this->connection && !runs_on)
			{
				this->connection->close();
			}
		}
	};

	struct forwarder::answer_begun
	{
		http::response head;
		pooled_connection connection;
	};

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
			co_await this->refuse(
				state, unavailable, "no configuration is known yet", "come back after Retry-After", true);
		}
		else
		{
			state->chosen =
				state->routes->find(without_port(state->message.find_header("Host")), state->message.path());
			if (state->chosen == nullptr)
			{
				co_await this->refuse(state, not_found, "no route matches host and path",
					"ask for a path of the configuration in force", false);
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
			auto const patience =
				state->chosen->is_repeatable() ? routing::answer_patience(*state->chosen) : default_patience;
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

	asio::awaitable<void> forwarder::forward_stream(state_pointer state)
	{
		auto const* const terms = state->routes->find_service(state->service);
		state->tokens_per_event = terms != nullptr && terms->engine ? terms->engine->tokens_per_event : 0;
		this->shared->demand[state->service].note_stream(state->call.prompt, state->call.expected_output);
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

	routing::placement_request forwarder::placement_for(request_state const& state) const
	{
		routing::placement_request request;
		request.service = state.service;
		request.data_centre = this->shared->data_centre;
		request.excluded = state.excluded;
		request.prompt = state.call.prompt;
		request.needed = state.needed_tokens();
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
		auto const gives_up_at = state->started + std::min(longest_wait, state->chosen->timeout / 2);
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
		auto const tokens = state->needed_tokens();
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

	asio::awaitable<std::optional<send_failure>> forwarder::run_stream(
		state_pointer state, routing::stream_placement placement, std::optional<std::string> reservation)
	{
		send_terms terms;
		terms.reservation = reservation;
		// The engine's memory is committed from here on, so that the prompt is not read for nothing.
		auto const own_tokens = placement.prefill ? token_count{} : state->call.prompt;
		load_guard const guard(placement.decode, own_tokens, state->needed_tokens());
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
			}
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
		if (state->is_caller_gone || state->is_out_of_time() || server->entry.leaving)
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
				// An answer to an earlier request that came late; this request's own follows.
				auto const skipped = co_await connection->read_rest(wait, held_answer_bytes);
				if (std::holds_alternative<http::upstream_failure>(skipped))
				{
					connection->close();
					co_return send_failure::broken;
				}
				continue;
			}
			if (facts.is_wrong_server || facts.is_not_run)
			{
				std::ignore = co_await connection->read_rest(drain_body_timeout, small_body_bytes);
				co_return facts.is_wrong_server ? send_failure::wrong_server : send_failure::not_run;
			}
			co_return answer_begun{std::move(answer), std::move(pooled)};
		}
		connection->close();
		co_return send_failure::broken;
	}

	asio::awaitable<std::optional<send_failure>> forwarder::pass_whole(state_pointer state, answer_begun& answer)
	{
		if (state->is_head_sent)
		{
			// A stream is to go on, and its caller has the head of another server: no further answer fits.
			answer.connection->close();
			co_return send_failure::server_error;
		}
		auto const head_at = monotonic_now();
		std::string body;
		while (true)
		{
			auto piece = co_await answer.connection->read_piece(state->time_left());
			if (auto const* const failure = std::get_if<http::upstream_failure>(&piece))
			{
				answer.connection->close();
				co_return *failure == http::upstream_failure::silent ? send_failure::silent : send_failure::broken;
			}
			auto& text = std::get<std::string>(piece);
			auto const is_end = text.empty();
			body += text;
			if (is_end && !state->is_head_sent)
			{
				break;
			}
			if (body.size() > held_answer_bytes || (is_end && state->is_head_sent))
			{
				auto is_taken = true;
				if (!std::exchange(state->is_head_sent, true))
				{
					http::response head;
					head.status = answer.head.status;
					head.headers = http::end_to_end_headers(answer.head.headers);
					is_taken = co_await state->talk->begin_stream(std::move(head));
				}
				if (is_taken && !body.empty())
				{
					is_taken = co_await state->talk->write(std::exchange(body, {}));
				}
				if (is_taken && is_end)
				{
					is_taken = co_await state->talk->end_stream();
				}
				if (is_end || !is_taken)
				{
					co_return std::nullopt;
				}
			}
		}
		http::response whole;
		whole.status = answer.head.status;
		whole.headers = http::end_to_end_headers(answer.head.headers);
		whole.body = std::move(body);
		auto const is_promise = std::ranges::find(promising_statuses, whole.status) != promising_statuses.end();
		if (whole.status >= first_server_error || is_promise)
		{
			if (!is_promise)
			{
				state->server_failure = std::move(whole);
			}
			co_return send_failure::server_error;
		}
		this->totals->observe_first_byte(routing::to_string(state->chosen->kind), head_at - state->started);
		if (!state->is_caller_gone)
		{
			std::ignore = co_await state->talk->reply(std::move(whole));
		}
		co_return std::nullopt;
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
			server->load.set_committed(call, state->needed_tokens());
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

	bool forwarder::may_repeat(request_state& state, send_failure failure)
	{
		if (state.is_caller_gone || state.is_out_of_time() || !routing::may_send_again(*state.chosen, failure))
		{
			return false;
		}
		if (state.sent_to.size() >= state.chosen->max_servers)
		{
			return false;
		}
		if (failure == send_failure::not_sent)
		{
			return true;
		}
		auto& budget = this->shared->budgets[state.service];
		return budget.try_spend(this->shared->retries, this->shared->daemons, monotonic_now());
	}

	void forwarder::note_outcome(request_state& state, routing::server_record& server, send_failure failure)
	{
		state.connection = nullptr;
		state.failure = failure;
		state.excluded.insert(server.entry.id);
		if (failure == send_failure::not_sent)
		{
			state.sent_to.erase(server.entry.id);
		}
		if (state.is_caller_gone)
		{
			return;
		}
		if (failure == send_failure::wrong_server)
		{
			server.is_replaced = true;
		}
		if (failure == send_failure::not_run && server.entry.role == routing::server_role::decode)
		{
			// It kept room and rejects all the same: most likely it is changing its role, or has no handle.
			server.load.note_full_until(monotonic_now() + rejected_decode_pause);
		}
		state.may_have_run = state.may_have_run || !routing::is_proved_not_run(failure);
		server.health.note(to_call_outcome(failure), monotonic_now());
		this->totals->count_send(routing::to_string(server.entry.role), routing::to_string(failure));
		this->record(state, "request_send_failed",
			{{"server", server.entry.id.str()}, {"failure", std::string(routing::to_string(failure))},
				{"servers_tried", std::to_string(state.path.size())},
				{"left_ms", milliseconds_text(state.time_left())}});
	}

	void forwarder::note_served(request_state& state, routing::server_record& server, answer_begun& answer)
	{
		state.connection = nullptr;
		auto const now = monotonic_now();
		server.health.note(routing::call_outcome::served, now);
		auto const outcome = state.is_caller_gone ? "caller_gone" : "served";
		this->totals->count_send(routing::to_string(server.entry.role), "served");
		this->totals->count_request(routing::to_string(state.chosen->kind), outcome);
		std::vector<decide::event_field> fields{{"route", state.chosen->name},
			{"servers", fmt::format("{}", fmt::join(state.path, ","))}, {"status", std::to_string(answer.head.status)},
			{"took_ms", milliseconds_text(now - state.started)}};
		if (state.first_event_at)
		{
			// What was held up says nothing about what a stream needs.
			if (state.longest_gap <= state.chosen->longest_gap && !state.failure)
			{
				this->shared->demand[state.service].note_duration(
					state.call.expected_output, now - *state.first_event_at);
			}
			fields.push_back({"prompt_tokens", std::to_string(state.call.prompt.count())});
			fields.push_back({"prefilled_apart", state.is_split ? "yes" : "no"});
			fields.push_back({"predicted_ms", milliseconds_text(state.predicted_first_event)});
			fields.push_back({"first_event_ms", milliseconds_text(*state.first_event_at - state.started)});
			fields.push_back({"longest_gap_ms", milliseconds_text(state.longest_gap)});
		}
		this->record(state, state.is_caller_gone ? "request_abandoned" : "request_served", std::move(fields));
	}

	asio::awaitable<void> forwarder::give_up(state_pointer state)
	{
		if (state->is_caller_gone)
		{
			this->totals->count_request(routing::to_string(state->chosen->kind), "caller_gone");
			this->record(*state, "request_abandoned",
				{{"route", state->chosen->name}, {"servers", fmt::format("{}", fmt::join(state->path, ","))}});
			co_return;
		}
		if (state->is_head_sent)
		{
			// The answer is begun and can't be made whole: the connection is broken off.
			this->totals->count_request(routing::to_string(state->chosen->kind), "failed");
			this->record(*state, "request_broken_off",
				{{"route", state->chosen->name}, {"servers", fmt::format("{}", fmt::join(state->path, ","))},
					{"events", std::to_string(state->joiner.events())}});
			co_return;
		}
		if (state->server_failure && !state->is_out_of_time())
		{
			auto const status = state->server_failure->status;
			this->totals->count_request(routing::to_string(state->chosen->kind), "passed_on_failure");
			this->record(*state, "request_failure_passed_on",
				{{"route", state->chosen->name}, {"servers", fmt::format("{}", fmt::join(state->path, ","))},
					{"status", std::to_string(status)}});
			std::ignore = co_await state->talk->reply(std::move(*state->server_failure));
			co_return;
		}
		auto const status = routing::status_of_failure(state->may_have_run, state->is_out_of_time());
		auto const reason = state->failure ? std::string(routing::to_string(*state->failure)) : "no_server";
		co_await this->refuse(state, status, reason,
			status == unavailable ? "come back after Retry-After"
								  : "the request may have run: check before repeating it",
			status == unavailable);
	}

	asio::awaitable<void> forwarder::refuse(
		state_pointer state, unsigned status, std::string reason, std::string remedy, bool come_back)
	{
		auto const kind = state->chosen == nullptr ? "none" : routing::to_string(state->chosen->kind);
		this->totals->count_request(kind, status == unavailable ? "refused" : "failed");
		this->record(*state, "request_refused",
			{{"status", std::to_string(status)}, {"reason", reason},
				{"route", state->chosen == nullptr ? "" : state->chosen->name},
				{"servers", fmt::format("{}", fmt::join(state->path, ","))},
				{"configuration", state->routes ? std::to_string(state->routes->version().count()) : "none"},
				{"took_ms", milliseconds_text(monotonic_now() - state->started)}});
		auto answer = http::make_error(status, "refused", reason, remedy);
		if (come_back)
		{
			answer.headers.push_back(
				this->protocol.retry_after(routing::retry_after(state->time_left(), this->draw())));
		}
		if (!state->is_caller_gone)
		{
			std::ignore = co_await state->talk->reply(std::move(answer));
		}
	}

	asio::awaitable<std::optional<http::response>> forwarder::call_server(
		routing::server_pointer server, http::request message, duration timeout)
	{
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

	std::optional<duration> forwarder::longest_reservation(service_id const& service) const
	{
		auto const* const terms = this->shared->routes->find_service(service);
		return terms == nullptr || !terms->engine ? std::nullopt : terms->engine->longest_reservation;
	}

	void forwarder::record(request_state const& state, std::string name, std::vector<decide::event_field> fields)
	{
		decide::record_event line;
		line.timestamp = wall_clock_us();
		line.name = std::move(name);
		line.request = state.call.attempt;
		line.fields = std::move(fields);
		this->log(std::move(line));
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
