#include <godwittrestle/gateway/server_end_check.hpp>

#include <memory>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/exception.hpp>
#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/http/port_probe.hpp>

namespace godwittrestle::gateway
{
	using routing::process_evidence;
	using routing::registered_server;

	namespace
	{
		namespace asio = boost::asio;

		constexpr duration probe_timeout = milliseconds(250);
		// An answer is used for this long after it has arrived.
		constexpr duration recent_time = milliseconds(250);
		constexpr auto token = asio::as_tuple(asio::use_awaitable);

		routing::port_evidence to_evidence(http::port_state port)
		{
			switch (port)
			{
				case http::port_state::refused:
					return routing::port_evidence::refused;
				case http::port_state::open:
					return routing::port_evidence::accepted;
				case http::port_state::unknown:
					break;
			}
			return routing::port_evidence::none;
		}

		std::string_view to_string(process_evidence const& seen)
		{
			switch (seen.port)
			{
				case routing::port_evidence::refused:
					return "refused";
				case routing::port_evidence::accepted:
					return "open";
				case routing::port_evidence::none:
					break;
			}
			return seen.has_answered() ? "open" : "unknown";
		}

		// A caller of ask_start() that waits for the answer.
		struct waiting_caller
		{
			explicit waiting_caller(asio::any_io_executor const& executor)
				: answered(executor, asio::steady_timer::time_point::max())
			{
			}

			// Cancelled when the answer is there.
			asio::steady_timer answered;
			bool is_answered = false;
			process_evidence seen;
		};
	}

	server_end_check::server_end_check(
		asio::any_io_executor io_executor, event_log event_sink, start_question asks_for_start)
		: executor(std::move(io_executor))
		, log(std::move(event_sink))
		, question(std::move(asks_for_start))
	{
	}

	void server_end_check::check_port(registered_server const& server, result_callback callback)
	{
		this->start(server, nullptr, std::move(callback));
	}

	asio::awaitable<process_evidence> server_end_check::ask_start(
		routing::server_pointer server, time_point since, duration longest_wait)
	{
		auto const begun_at = daemon::monotonic_now();
		if (auto const known = this->find_recent(server->entry, since, begun_at))
		{
			co_return *known;
		}
		auto const caller = std::make_shared<waiting_caller>(this->executor);
		// The first answer may be that to an earlier question; the next question is asked after it.
		do
		{
			caller->is_answered = false;
			this->start(server->entry, server,
				[caller](process_evidence const& seen)
				{
					caller->seen = seen;
					caller->is_answered = true;
					caller->answered.cancel();
				});
			if (!caller->is_answered)
			{
				if (longest_wait != duration::max())
				{
					caller->answered.expires_after(begun_at + longest_wait - daemon::monotonic_now());
				}
				std::ignore = co_await caller->answered.async_wait(token);
			}
			if (!caller->is_answered)
			{
				co_return process_evidence();
			}
		} while (caller->seen.asked_at < since);
		co_return caller->seen;
	}

	std::optional<process_evidence> server_end_check::find_recent(
		registered_server const& server, time_point since, time_point now) const
	{
		auto const found = this->recent.find({server.id, server.address, server.started, question_kind::start});
		auto const is_usable = found != this->recent.end() && found->second.seen.asked_at >= since &&
							   now - found->second.answered_at <= recent_time;
		return is_usable ? std::optional(found->second.seen) : std::nullopt;
	}

	void server_end_check::start(
		registered_server const& server, routing::server_pointer const& asked, result_callback callback)
	{
		auto const kind = asked ? question_kind::start : question_kind::port;
		auto& callbacks = this->waiting[{server.id, server.address, server.started, kind}];
		callbacks.push_back(std::move(callback));
		if (callbacks.size() == 1)
		{
			try
			{
				asio::co_spawn(this->executor, this->run(server, asked), asio::detached);
			}
			catch (...)
			{
				this->waiting.erase({server.id, server.address, server.started, kind});
				throw;
			}
		}
	}

	asio::awaitable<void> server_end_check::run(registered_server server, routing::server_pointer asked)
	{
		auto const kind = asked ? question_kind::start : question_kind::port;
		auto const asked_at = daemon::monotonic_now();
		process_evidence seen;
		try
		{
			seen = co_await this->collect(server, asked);
		}
		catch (...)
		{
			// Those that wait get an answer that says nothing.
			this->log_exception(server);
		}
		seen.asked_at = asked_at;
		if (kind == question_kind::start)
		{
			auto const now = daemon::monotonic_now();
			std::erase_if(
				this->recent, [now](auto const& item) { return now - item.second.answered_at > recent_time; });
			this->recent[{server.id, server.address, server.started, kind}] = {seen, now};
		}
		auto waiters = this->waiting.extract({server.id, server.address, server.started, kind});
		auto const callbacks = std::move(waiters.mapped());
		this->log_check(server, seen, callbacks.size());
		for (auto const& each : callbacks)
		{
			try
			{
				each(seen);
			}
			catch (...)
			{
				this->log_exception(server);
			}
		}
	}

	asio::awaitable<process_evidence> server_end_check::collect(registered_server server, routing::server_pointer asked)
	{
		process_evidence seen;
		if (asked)
		{
			seen = co_await this->question(asked);
		}
		auto const where = http::parse_endpoint(server.address, server.id.str());
		if (!seen.has_answered() && where)
		{
			seen.port = to_evidence(co_await http::probe_port(this->executor, *where, probe_timeout));
		}
		co_return seen;
	}

	void server_end_check::log_exception(registered_server const& server) const
	{
		this->log(make_event("internal_error",
			{{"part", "server_end_check"}, {"server", server.id.str()}, {"error", describe_current_exception()}}));
	}

	void server_end_check::log_check(
		registered_server const& server, process_evidence const& seen, std::size_t waiting_calls) const
	{
		this->log(make_event("server_end_checked",
			{{"server", server.id.str()}, {"address", server.address}, {"port", std::string(to_string(seen))},
				{"entry_start", std::to_string(server.started.count())},
				{"answered", seen.has_answered() ? "yes" : "no"},
				{"stated_start", std::to_string(seen.stated().value_or(incarnation()).count())},
				{"process", std::string(routing::to_string(routing::judge_process(server, seen)))},
				{"broken_calls", std::to_string(waiting_calls)}}));
	}
}
