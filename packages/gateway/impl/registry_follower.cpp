#include <godwittrestle/gateway/registry_follower.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <godwittrestle/daemon/wall_clock.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		// A connection can go silent for good: a watch is kept short enough for that to be found soon.
		constexpr duration watch_wait = milliseconds(1500);
		constexpr duration watch_margin = milliseconds(600);
		constexpr duration list_timeout = milliseconds(900);
		constexpr duration first_pause = milliseconds(100);
		constexpr duration longest_pause = milliseconds(800);
		constexpr std::uint32_t most_doublings = 3;
		// After this many calls without an answer the registry counts as away.
		constexpr std::uint32_t failures_of_outage = 2;

		std::string name_of(registry_part part)
		{
			return part == registry_part::configuration ? "configuration" : "servers";
		}
	}

	registry_follower::registry_follower(
		http::endpoint target, registry_protocol calls, registry_sink take, event_log lines)
		: where(std::move(target))
		, protocol(std::move(calls))
		, sink(std::move(take))
		, log(std::move(lines))
		, client(this->thread.context().get_executor())
	{
	}

	void registry_follower::start()
	{
		auto& loop = this->thread.context();
		asio::co_spawn(loop, this->follow(registry_part::configuration), asio::detached);
		asio::co_spawn(loop, this->follow(registry_part::servers), asio::detached);
		this->thread.start();
	}

	void registry_follower::stop()
	{
		this->thread.stop();
	}

	asio::awaitable<void> registry_follower::follow(registry_part part)
	{
		part_state state;
		state.part = part;
		while (true)
		{
			auto const is_listed = co_await this->list(state);
			while (is_listed && co_await this->watch(state))
			{
			}
		}
	}

	asio::awaitable<bool> registry_follower::list(part_state& state)
	{
		registry_update update;
		update.part = state.part;
		update.is_whole = true;
		std::optional<std::uint64_t> first_revision;
		std::string after;
		while (true)
		{
			auto message = this->protocol.list(state.part, after);
			auto const answer = co_await this->call(state, std::move(message), list_timeout);
			auto reply = answer ? this->protocol.read_list(*answer) : registry_reply{};
			if (answer && reply.status != registry_status::answered)
			{
				this->note_failure(state, "answered with status " + std::to_string(answer->status));
			}
			if (reply.status != registry_status::answered)
			{
				co_await this->pause(state);
				co_return false;
			}
			this->report_faults(reply);
			first_revision = first_revision.value_or(reply.revision);
			std::ranges::move(reply.changes, std::back_inserter(update.changes));
			if (!reply.next_page)
			{
				break;
			}
			after = *reply.next_page;
		}
		state.revision = *first_revision;
		update.is_return = state.failures >= failures_of_outage;
		this->note_answer(state);
		this->sink(std::move(update));
		co_return true;
	}

	asio::awaitable<bool> registry_follower::watch(part_state& state)
	{
		auto message = this->protocol.watch(state.part, state.revision, watch_wait);
		auto const answer = co_await this->call(state, std::move(message), watch_wait + watch_margin);
		if (!answer)
		{
			co_await this->pause(state);
			co_return true;
		}
		auto reply = this->protocol.read_changes(*answer);
		if (reply.status == registry_status::refused || reply.status == registry_status::malformed)
		{
			this->note_failure(state, "answered with status " + std::to_string(answer->status));
			co_await this->pause(state);
			co_return true;
		}
		if (reply.status == registry_status::history_lost)
		{
			co_return false;
		}
		this->report_faults(reply);
		state.revision = std::max(state.revision, reply.revision);
		registry_update update;
		update.part = state.part;
		update.is_return = state.failures >= failures_of_outage;
		update.changes = std::move(reply.changes);
		this->note_answer(state);
		if (!update.changes.empty() || update.is_return)
		{
			this->sink(std::move(update));
		}
		co_return true;
	}

	asio::awaitable<std::optional<http::response>> registry_follower::call(
		part_state& state, http::request message, duration timeout)
	{
		http::call_options options;
		options.timeout = timeout;
		options.fresh_connection = state.failures > 0;
		http::endpoint const target = this->where;
		auto outcome = co_await this->client.call(target, std::move(message), options);
		if (auto* const answer = std::get_if<http::response>(&outcome))
		{
			co_return std::move(*answer);
		}
		this->note_failure(state, "no answer");
		co_return std::nullopt;
	}

	asio::awaitable<void> registry_follower::pause(part_state& state)
	{
		auto const doublings = std::min(state.failures, most_doublings);
		asio::steady_timer timer(this->thread.context(), std::min(longest_pause, first_pause * (1U << doublings)));
		std::ignore = co_await timer.async_wait(token);
	}

	void registry_follower::note_answer(part_state& state)
	{
		if (state.failures == 0)
		{
			return;
		}
		decide::record_event line;
		line.timestamp = daemon::wall_clock_us();
		line.name = "registry_regained";
		line.fields = {{"part", name_of(state.part)}, {"failed_calls", std::to_string(state.failures)}};
		this->log(std::move(line));
		state.failures = 0;
	}

	void registry_follower::note_failure(part_state& state, std::string reason)
	{
		++state.failures;
		if (state.failures == failures_of_outage)
		{
			registry_update update;
			update.part = state.part;
			update.is_lost = true;
			this->sink(std::move(update));
		}
		if (state.failures > 1)
		{
			return;
		}
		decide::record_event line;
		line.timestamp = daemon::wall_clock_us();
		line.name = "registry_lost";
		line.fields = {
			{"part", name_of(state.part)}, {"reason", std::move(reason)}, {"revision", std::to_string(state.revision)}};
		this->log(std::move(line));
	}

	void registry_follower::report_faults(registry_reply const& reply)
	{
		for (auto const& fault : reply.faults)
		{
			decide::record_event line;
			line.timestamp = daemon::wall_clock_us();
			line.name = "registry_entry_unreadable";
			line.detail = fault;
			this->log(std::move(line));
		}
	}
}
