#include <godwittrestle/gateway/server_watches.hpp>

#include <algorithm>
#include <cstdint>
#include <random>
#include <ranges>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <godwittrestle/daemon/core_loop.hpp>

namespace godwittrestle::gateway
{
	using daemon::monotonic_now;

	namespace
	{
		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		constexpr duration connect_timeout = milliseconds(250);
		constexpr duration pause_after_failure = milliseconds(100);
		// Well below the time within which no server starts twice; see routing::server_watch_settings.
		constexpr duration question_interval = milliseconds(400);
		// Interval at which the connection is looked at between two questions.
		constexpr duration look_interval = milliseconds(50);

		// The times of an entry that the registry does not list at present, so it proves nothing.
		constexpr routing::entry_times not_listed{time_point::max(), time_point(), time_point::max()};

		// Names of processes are above every start in milliseconds.
		constexpr std::uint64_t above_all_starts = std::uint64_t{1} << 63U;

		// Returns a name that no other daemon gives.
		incarnation first_name()
		{
			constexpr unsigned names_per_daemon_bits = 31;
			return incarnation(above_all_starts + (std::uint64_t{std::random_device{}()} << names_per_daemon_bits));
		}
	}

	struct server_watches::watched_server
	{
		watched_server(asio::any_io_executor const& io_executor, server_id name, routing::server_watch_settings terms)
			: server(std::move(name))
			, watch(terms)
			, due(io_executor)
		{
		}

		server_id server;
		std::string address;
		routing::server_watch watch;
		http::upstream_pointer connection;
		std::shared_ptr<std::set<request_id> const> running;
		std::optional<time_point> first_opened_at;
		bool is_wanted = true;
		bool is_question_due = false;
		// Expires when the next question is due.
		asio::steady_timer due;
		// The timers of those that wait for an answer. They are cancelled after each question, answered or not, and
		// when the connection has ended.
		std::set<asio::steady_timer*> waiting;
	};

	server_watches::server_watches(asio::any_io_executor io_executor, shared_state& state, server_watch_hooks callbacks)
		: executor(std::move(io_executor))
		, shared(&state)
		, hooks(std::move(callbacks))
		, last_name(first_name())
	{
	}

	void server_watches::begin(routing::server_record const& server)
	{
		auto const& id = server.entry.id;
		if (this->servers.contains(id))
		{
			return;
		}
		routing::server_watch_settings terms;
		terms.entry_lifetime = this->shared->servers.settings().entry_lifetime;
		auto const added = std::make_shared<watched_server>(this->executor, id, terms);
		this->servers.emplace(id, added);
		this->hooks.run_in_background("server_watch", this->run(added));
	}

	void server_watches::keep_only(std::set<server_id> const& wanted)
	{
		std::erase_if(this->servers,
			[&](auto const& item)
			{
				auto const is_wanted = wanted.contains(item.first);
				if (!is_wanted)
				{
					item.second->is_wanted = false;
					item.second->due.cancel();
					this->end_connection(*item.second);
				}
				return !is_wanted;
			});
	}

	void server_watches::close()
	{
		this->keep_only({});
	}

	void server_watches::ask_undecided()
	{
		for (auto const& [id, watched] : this->servers)
		{
			auto const server = this->shared->servers.find(id);
			if (server && !watched->watch.has_written(server->times.changed_at))
			{
				watched->is_question_due = true;
				watched->due.cancel();
			}
		}
	}

	asio::awaitable<std::optional<watched_process>> server_watches::ask(
		server_id server, time_point since, duration longest_wait)
	{
		auto const found = this->servers.find(server);
		if (found == this->servers.end())
		{
			co_return std::nullopt;
		}
		auto const watched = found->second;
		auto const deadline = monotonic_now() + longest_wait;
		auto const is_answered = [&]
		{
			return watched->watch.answered_at() && *watched->watch.answered_at() >= since;
		};
		while (!is_answered() && watched->is_wanted && monotonic_now() < deadline)
		{
			watched->is_question_due = true;
			watched->due.cancel();
			asio::steady_timer answered(this->executor, deadline - monotonic_now());
			watched->waiting.insert(&answered);
			std::ignore = co_await answered.async_wait(token);
			watched->waiting.erase(&answered);
		}
		auto const process = watched->watch.holder();
		if (!is_answered() || !process)
		{
			co_return std::nullopt;
		}
		co_return watched_process{
			*process, *watched->watch.opened_at(), watched->first_opened_at.value_or(time_point()), watched->running};
	}

	std::optional<incarnation> server_watches::holder(server_id const& server) const
	{
		auto const found = this->servers.find(server);
		return found == this->servers.end() ? std::nullopt : found->second->watch.holder();
	}

	bool server_watches::is_watched(server_id const& server) const
	{
		return this->servers.contains(server);
	}

	bool server_watches::is_name(incarnation process) noexcept
	{
		return process.count() >= above_all_starts;
	}

	asio::awaitable<void> server_watches::run(watched_pointer watched)
	{
		asio::steady_timer pause(this->executor);
		while (watched->is_wanted)
		{
			auto const server = this->shared->servers.find(watched->server);
			auto const may_be_asked = server && server->load.paused_for(monotonic_now()) == duration{};
			auto is_open = false;
			if (may_be_asked)
			{
				is_open = co_await this->connect(watched, server);
			}
			if (is_open && watched->is_wanted)
			{
				co_await this->ask_once(watched, server);
			}
			notify_waiting(*watched);
			if (!is_open || !watched->connection)
			{
				// Nothing wakes this pause, so that a server that can't be asked is not tried again at once.
				watched->is_question_due = false;
				pause.expires_after(is_open ? look_interval : pause_after_failure);
				std::ignore = co_await pause.async_wait(token);
				continue;
			}
			co_await this->wait(watched);
		}
	}

	asio::awaitable<bool> server_watches::connect(watched_pointer watched, routing::server_pointer server)
	{
		if (watched->connection && watched->address != server->entry.address)
		{
			this->end_connection(*watched);
		}
		if (watched->connection)
		{
			co_return true;
		}
		watched->address = server->entry.address;
		auto const where = http::parse_endpoint(watched->address, watched->server.str());
		if (!where)
		{
			co_return false;
		}
		auto const connection = std::make_shared<http::upstream>(this->executor, *where);
		auto const is_connected = co_await connection->connect(connect_timeout);
		if (!is_connected || !watched->is_wanted)
		{
			connection->close();
			co_return false;
		}
		watched->connection = connection;
		auto const now = monotonic_now();
		watched->watch.note_opened(this->next_name(), now);
		watched->first_opened_at = watched->first_opened_at.value_or(now);
		co_return true;
	}

	asio::awaitable<void> server_watches::ask_once(watched_pointer watched, routing::server_pointer server)
	{
		auto const connection = watched->connection;
		watched->is_question_due = false;
		auto const asked_at = monotonic_now();
		auto const answer = co_await this->hooks.ask(server, connection);
		auto const is_other = answer && std::holds_alternative<routing::other_process>(answer->statement);
		if (watched->connection != connection)
		{
			co_return;
		}
		if (!answer || is_other)
		{
			this->end_connection(*watched);
			co_return;
		}
		auto const present = this->shared->servers.find(watched->server);
		if (auto const* const stated = std::get_if<routing::start_stated>(&answer->statement);
			stated != nullptr && !watched->watch.holder() && present && present->entry.started == incarnation())
		{
			watched->watch.note_stated(stated->start);
		}
		watched->running = answer->running;
		if (present)
		{
			auto const is_listed = !present->missing_until && !present->awaited_until && !present->doubted;
			auto const entry = is_listed ? present->times : not_listed;
			watched->watch.note_answer(asked_at, entry, this->shared->view.read_until());
			auto const holder = watched->watch.holder();
			if (watched->watch.has_written(present->times.changed_at) && present->writer != holder)
			{
				this->shared->servers.note_writer(*present, *holder);
				this->hooks.on_writer_known(*present);
			}
		}
		if (!connection->is_reusable())
		{
			this->end_connection(*watched);
		}
	}

	asio::awaitable<void> server_watches::wait(watched_pointer watched)
	{
		auto const due_at = monotonic_now() + question_interval;
		while (watched->is_wanted && !watched->is_question_due && monotonic_now() < due_at)
		{
			watched->due.expires_after(look_interval);
			std::ignore = co_await watched->due.async_wait(token);
			if (watched->connection && !watched->connection->is_open_without_data())
			{
				this->end_connection(*watched);
				co_return;
			}
		}
	}

	void server_watches::end_connection(watched_server& watched)
	{
		if (watched.connection)
		{
			watched.connection->close();
		}
		watched.connection = nullptr;
		watched.running = nullptr;
		watched.watch.note_ended();
		notify_waiting(watched);
	}

	void server_watches::notify_waiting(watched_server& watched)
	{
		std::ranges::for_each(watched.waiting, [](asio::steady_timer* each) { each->cancel(); });
	}

	incarnation server_watches::next_name()
	{
		this->last_name = incarnation(this->last_name.count() + 1);
		return this->last_name;
	}
}
