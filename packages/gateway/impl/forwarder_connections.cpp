#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <utility>

#include "background_work.hpp"
#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// A process that answered without its start is asked again on the same connection after this time.
		constexpr duration holder_question_pause = milliseconds(100);
		// Connections to one engine that are opened for one stream, when answers close them.
		constexpr int max_connections_tried = 3;
	}

	// The question, on a connection, for the start of the process that holds it. It goes on when nobody waits for the
	// answer any more; the connection then returns to its pool with what was stated.
	struct forwarder::holder_question
	{
		holder_question(asio::any_io_executor const& executor, pooled_connection asked)
			: connection(std::move(asked))
			, work(executor)
		{
		}

		pooled_connection connection;
		background_work work;
		routing::process_evidence seen;
	};

	asio::awaitable<forwarder::engine_connection> forwarder::connect_to_engine(
		routing::server_pointer server, duration time_left, duration answer_wait, bool holder_is_needed)
	{
		engine_connection reached;
		auto const& entry = server->entry;
		if (server->load.paused_for(monotonic_now()) > duration{})
		{
			reached.seen.statement = routing::pause_wanted();
			co_return reached;
		}
		auto const is_watched = this->is_watch_needed(*server, monotonic_now());
		if (is_watched)
		{
			this->watches.begin(*server);
		}
		auto const limit = this->connection_limit(entry);
		auto const ends_at = monotonic_now() + time_left;
		for (int tried = 1; tried <= max_connections_tried; ++tried)
		{
			auto const time_to_connect = std::min(connect_timeout, std::max(duration{}, ends_at - monotonic_now()));
			auto const taken = co_await this->pool.acquire(
				entry, limit, max_server_idle, time_to_connect, connection_preference::known_holder);
			if (!taken)
			{
				this->shared->reach.note_failure(entry.id);
				reached.is_unreachable = true;
				co_return reached;
			}
			pooled_connection connection(this->pool, entry, taken);
			if (is_held_by_ended_process(*server, connection))
			{
				connection->close();
				continue;
			}
			if (!is_watched && connection.holder() && server_watches::is_name(*connection.holder()))
			{
				// Its process is compared by starts from now on.
				connection->close();
				continue;
			}
			if (is_watched)
			{
				auto const is_usable = co_await this->find_holder(server, connection, answer_wait, holder_is_needed);
				if (!is_usable)
				{
					connection->close();
					continue;
				}
				if (connection.holder() || !holder_is_needed)
				{
					reached.connection.emplace(std::move(connection));
				}
				co_return reached;
			}
			auto const now = monotonic_now();
			auto const answered_at = connection.answered_at();
			auto const is_known = connection.holder() || !this->is_process_needed(*server, now);
			auto const answered_without = !is_known && answered_at && now - *answered_at < holder_question_pause;
			if (connection.holder())
			{
				reached.seen.asked_at = connection.asked_at().value_or(time_point());
				reached.seen.statement = routing::start_stated{*connection.holder()};
			}
			else if (answered_without)
			{
				reached.seen.asked_at = connection.asked_at().value_or(time_point());
				reached.seen.statement = routing::start_not_stated();
			}
			auto const is_last = tried == max_connections_tried || now >= ends_at;
			auto const goes_unasked = !holder_is_needed && (is_last || this->has_late_question(entry.id));
			if (is_known || answered_without || goes_unasked)
			{
				if (is_known || !holder_is_needed)
				{
					reached.connection.emplace(std::move(connection));
				}
				co_return reached;
			}
			auto const question = std::make_shared<holder_question>(this->executor, std::move(connection));
			this->run_in_background("holder_question", this->ask_holder(server, question));
			auto const wait = std::min(answer_wait, std::chrono::duration_cast<duration>(ends_at - now));
			auto const is_answered = co_await question->work.wait(wait);
			if (!is_answered)
			{
				server->answers.note_silence(now, monotonic_now());
				this->late_questions[entry.id] = question;
				reached.is_late = true;
				if (holder_is_needed)
				{
					co_return reached;
				}
				continue;
			}
			reached.seen = question->seen;
			auto& asked = question->connection;
			if (std::holds_alternative<routing::other_process>(reached.seen.statement))
			{
				asked->close();
				co_return reached;
			}
			if (asked->is_reusable())
			{
				if (asked.holder() || !holder_is_needed)
				{
					reached.connection.emplace(std::move(asked));
				}
				co_return reached;
			}
		}
		co_return reached;
	}

	asio::awaitable<void> forwarder::ask_holder(
		routing::server_pointer server, std::shared_ptr<holder_question> question)
	{
		question->seen = co_await this->ask_start_on(server, question->connection);
		if (question->work.is_abandoned() && question->seen.has_answered())
		{
			// It was slow, not silent.
			server->health.note(routing::call_outcome::served, monotonic_now());
		}
		question->work.end();
	}

	asio::awaitable<routing::process_evidence> forwarder::ask_start_on(
		routing::server_pointer server, pooled_connection& connection)
	{
		routing::process_evidence seen;
		seen.asked_at = monotonic_now();
		auto const port = connection->local_port();
		auto message = this->protocol.write_report_request(server->entry.id);
		auto const answer = co_await this->call_on(server, connection, std::move(message), report_timeout);
		this->totals->count_send("report", answer ? "served" : "failed");
		if (answer)
		{
			server->answers.note_answer(monotonic_now() - seen.asked_at);
			seen.statement = this->read_report(server, *answer, seen.asked_at).statement;
			connection.note_statement(seen.stated(), seen.asked_at, monotonic_now());
		}
		if (seen.stated() == server->entry.started)
		{
			routing::directory::note_start_confirmed(*server, seen.asked_at);
		}
		this->log(make_event("server_connection_holder",
			{{"server", server->entry.id.str()}, {"entry_start", std::to_string(server->entry.started.count())},
				{"stated_start", std::to_string(seen.stated().value_or(incarnation()).count())},
				{"answered", answer ? "yes" : "no"}, {"port", std::to_string(port)},
				{"took_ms", milliseconds_text(monotonic_now() - seen.asked_at)}}));
		co_return seen;
	}

	bool forwarder::has_late_question(server_id const& server)
	{
		auto const found = this->late_questions.find(server);
		if (found != this->late_questions.end() && found->second.expired())
		{
			this->late_questions.erase(found);
			return false;
		}
		return found != this->late_questions.end();
	}

	asio::awaitable<std::optional<http::response>> forwarder::call_on(
		routing::server_pointer server, pooled_connection& pooled, http::request message, duration timeout)
	{
		auto const& connection = pooled.get();
		auto answer = co_await this->exchange_on(server, connection, std::move(message), timeout);
		if (answer)
		{
			co_return answer;
		}
		this->shared->reach.note_failure(server->entry.id);
		if (connection->was_closed_by_peer())
		{
			this->shared->servers.note_end_sign(server->entry.id, monotonic_now());
		}
		connection->close();
		co_return std::nullopt;
	}

	asio::awaitable<std::optional<http::response>> forwarder::exchange_on(
		routing::server_pointer server, http::upstream_pointer connection, http::request message, duration timeout)
	{
		message.headers.push_back({"Host", server->entry.address});
		connection->send(message);
		auto const no_attempt = request_id();
		auto head = co_await this->read_own_head(connection, no_attempt, timeout);
		auto* const answer = std::get_if<http::response>(&head);
		if (answer == nullptr)
		{
			co_return std::nullopt;
		}
		auto const metadata = this->protocol.read_answer(*answer);
		this->record_server_state(*server, metadata);
		this->record_limit(*server, metadata, answer->status, std::nullopt);
		auto body = co_await connection->read_rest(timeout, max_small_body_bytes);
		auto* const text = std::get_if<std::string>(&body);
		if (text == nullptr)
		{
			co_return std::nullopt;
		}
		answer->body = std::move(*text);
		co_return std::move(*answer);
	}

	asio::awaitable<std::optional<http::response>> forwarder::call_server(
		routing::server_pointer server, http::request message, duration timeout)
	{
		if (server->load.paused_for(monotonic_now()) > duration{})
		{
			co_return std::nullopt;
		}
		auto const limit = this->connection_limit(server->entry);
		auto const connection = co_await this->pool.acquire(server->entry, limit, max_server_idle, timeout);
		if (!connection)
		{
			this->shared->reach.note_failure(server->entry.id);
			co_return std::nullopt;
		}
		pooled_connection pooled(this->pool, server->entry, connection);
		co_return co_await this->call_on(server, pooled, std::move(message), timeout);
	}
}
