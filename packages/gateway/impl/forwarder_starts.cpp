#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// Time to open a connection for a question outside the pool.
		constexpr duration direct_connect_timeout = milliseconds(200);
		// A question that was given up sooner was not asked: no connection could be had.
		constexpr duration min_asked_time = milliseconds(100);
		// An engine that was asked for its start and gave no answer is asked again after this time.
		constexpr duration start_check_pause = milliseconds(100);
	}

	asio::awaitable<routing::process_evidence> forwarder::ask_start(routing::server_pointer called)
	{
		routing::process_evidence seen;
		if (this->is_watch_needed(*called, monotonic_now()))
		{
			seen = co_await this->ask_watched(called, report_timeout);
			co_return seen;
		}
		auto const known = this->shared->servers.find(called->entry.id);
		if (known && known->entry.started != called->entry.started && known->entry.started != incarnation())
		{
			// Its entry tells that it has started again.
			seen.statement = routing::other_process();
			co_return seen;
		}
		if (!this->can_ask_start(called->entry))
		{
			co_return seen;
		}
		if (called->load.paused_for(monotonic_now()) > duration{})
		{
			seen.statement = routing::pause_wanted();
			co_return seen;
		}
		auto const begun_at = monotonic_now();
		auto const limit = this->connection_limit(called->entry);
		auto const taken = co_await this->pool.acquire(called->entry, limit, max_server_idle, report_timeout);
		if (taken)
		{
			pooled_connection connection(this->pool, called->entry, taken);
			seen = co_await this->ask_start_on(called, connection);
		}
		else
		{
			this->shared->reach.note_failure(called->entry.id);
		}
		if (!seen.has_answered() && monotonic_now() - begun_at < min_asked_time)
		{
			// It was not asked: no connection could be had.
			seen.statement = co_await this->ask_start_directly(called);
		}
		if (!this->shared->view.has_run_since(begun_at, monotonic_now()))
		{
			// This process was stopped meanwhile, and the answer may be as old as that.
			seen.statement = routing::no_statement();
		}
		co_return seen;
	}

	bool forwarder::can_ask_start(routing::registered_server const& entry) const
	{
		auto const& routes = this->shared->routes;
		auto const is_in_service = routes && routes->find_service(entry.service) != nullptr;
		return is_in_service && routing::states_start(routing::as_stream_server(entry));
	}

	asio::awaitable<routing::process_statement> forwarder::ask_start_directly(routing::server_pointer called)
	{
		routing::process_statement stated;
		auto const where = http::parse_endpoint(called->entry.address, called->entry.id.str());
		if (!where)
		{
			co_return stated;
		}
		auto const connection = std::make_shared<http::upstream>(this->executor, *where);
		auto const is_connected = co_await connection->connect(direct_connect_timeout);
		this->totals->count_connection();
		if (!is_connected)
		{
			co_return stated;
		}
		auto const asked_at = monotonic_now();
		auto message = this->protocol.write_report_request(called->entry.id);
		auto const answer = co_await this->exchange_on(called, connection, std::move(message), report_timeout);
		this->totals->count_send("report", answer ? "served" : "failed");
		if (answer)
		{
			stated = this->read_report(called, *answer, asked_at).statement;
		}
		connection->close();
		co_return stated;
	}

	report_answer forwarder::read_report(
		routing::server_pointer const& called, http::response const& answer, time_point asked_at) const
	{
		auto const metadata = this->protocol.read_answer(answer);
		if (metadata.is_misdirected && !metadata.server.empty() && metadata.server != called->entry.id)
		{
			return {routing::other_process()};
		}
		auto const report = answer.status == status_ok ? this->protocol.read_report(answer.body) : std::nullopt;
		if (!report)
		{
			// A server that gives no report may state its start another time.
			return {routing::start_not_stated()};
		}
		auto const attempts = report->running | std::views::transform(&running_stream::attempt);
		auto const running = std::make_shared<std::set<request_id> const>(attempts.begin(), attempts.end());
		auto const present = this->present_record(called);
		present->is_start_unreported = report->started == incarnation();
		this->shared->observed[called->entry.service].has_unreported_starts = present->is_start_unreported;
		if (present->is_start_unreported)
		{
			return {routing::start_not_stated(), running};
		}
		present->note_stated_start(report->started, asked_at, monotonic_now());
		present->last_statement = {report->started, asked_at};
		return {routing::start_stated{report->started, running}, running};
	}

	bool forwarder::is_start_doubtful(request_state const& state, routing::server_record const& engine) const
	{
		auto const has_begun = state.joiner.last_event().has_value();
		auto const is_present = this->shared->servers.find(engine.entry.id).get() == &engine;
		auto const is_new_sign = [&](std::optional<time_point> sign)
		{
			auto const was_asked =
				!has_begun && state.accepted_unstated && state.accepted_unstated->server == engine.entry.id;
			return sign && !(was_asked && *sign <= state.accepted_unstated->asked_at);
		};
		return is_new_sign(engine.start_doubted_at) || (has_begun && (engine.end_sign_at || !is_present));
	}

	bool forwarder::needs_holder(request_state const& state, routing::server_record const& engine, time_point now) const
	{
		auto const has_stated = routing::states_start(routing::as_stream_server(engine.entry)) && engine.last_statement;
		return state.joiner.last_event() && (has_stated || this->may_differ_in_version(engine, now));
	}

	routing::stream_terms forwarder::terms_of(request_state const& state, routing::server_record const& engine) const
	{
		routing::stream_terms terms;
		if (state.joiner.last_event() && state.origin)
		{
			terms.origin = state.origin->version;
		}
		terms.is_holder_needed = this->needs_holder(state, engine, monotonic_now());
		terms.is_start_doubtful = this->is_start_doubtful(state, engine);
		return terms;
	}

	asio::awaitable<forwarder::checked_engine> forwarder::confirm_start(
		state_pointer state, routing::server_pointer engine)
	{
		checked_engine checked;
		if (!this->is_process_needed(*engine, monotonic_now()))
		{
			checked.may_get_stream = true;
			co_return checked;
		}
		engine_connection reached;
		if (!this->has_late_question(engine->entry.id))
		{
			auto const wait = longest_answer_wait(*state, *engine);
			constexpr auto holder_is_needed = true;
			reached = co_await this->connect_to_engine(engine, state->time_left(), wait, holder_is_needed);
		}
		checked.is_silent = reached.is_unreachable || reached.is_late;
		if (reached.is_unreachable || std::holds_alternative<routing::pause_wanted>(reached.seen.statement))
		{
			co_return checked;
		}
		checked.connection = std::move(reached.connection);
		auto const has_begun = state->joiner.last_event().has_value();
		auto const entry = routing::as_stream_server(engine->entry);
		auto const holder = routing::compare_holder(entry, checked.holder(), engine->writer);
		auto const is_later = holder == routing::connection_holder::later;
		auto const is_refuted = is_later ? has_begun || engine->start_doubted_at
										 : routing::is_proved_replaced(entry, reached.seen) && !checked.connection;
		if (is_refuted)
		{
			this->note_start_refuted(*state, *engine, reached.seen);
			co_return checked;
		}
		if (!has_begun && !checked.connection && reached.seen.has_answered())
		{
			// A new stream may begin at any version; where it began is found out after its first event.
			state->accepted_unstated = {entry.id, reached.seen.asked_at};
		}
		checked.may_get_stream = routing::may_send_stream(entry, holder, this->terms_of(*state, *engine));
		if (!checked.may_get_stream)
		{
			this->log_event(*state, "server_start_unknown",
				{{"server", entry.id.str()}, {"entry_start", std::to_string(entry.started.count())},
					{"holder", std::string(routing::to_string(holder))},
					{"answered", reached.seen.has_answered() ? "yes" : "no"}, {"begun", has_begun ? "yes" : "no"}});
		}
		if (!checked.may_get_stream && engine->start_doubted_at && !reached.seen.has_answered())
		{
			engine->load.note_full_until(monotonic_now() + start_check_pause);
		}
		co_return checked;
	}

	void forwarder::note_start_refuted(
		request_state& state, routing::server_record& engine, routing::process_evidence const& seen)
	{
		if (!routing::is_proved_replaced(routing::as_stream_server(engine.entry), seen))
		{
			// Its port is refused, which may change at once.
			if (engine.start_doubted_at)
			{
				engine.load.note_full_until(monotonic_now() + start_check_pause);
			}
			return;
		}
		// While the registry can be read, new streams may begin there: its entry will be written soon.
		engine.is_replaced = engine.is_replaced || engine.start_doubted_at.has_value();
		state.excluded.insert(engine.entry.id);
		this->log(make_event("server_start_differs",
			{{"server", engine.entry.id.str()}, {"entry_start", std::to_string(engine.entry.started.count())},
				{"stated_start", std::to_string(seen.stated().value_or(incarnation()).count())},
				{"entry_version", engine.entry.version.str()}}));
	}
}
