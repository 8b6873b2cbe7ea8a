#include <godwittrestle/gateway/registry_follower.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <godwittrestle/daemon/core_loop.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		constexpr duration watch_margin = milliseconds(600);
		// Watch time after a failure. It is short, so that the follower soon learns whether the registry answers again.
		constexpr duration watch_wait_after_failure = milliseconds(300);
		// Changes that come close together, as when many servers start, are fetched with one call: each answer with
		// changes that directly follows another one with changes lengthens the delay before the next call by this step.
		constexpr duration batching_step = milliseconds(200);
		constexpr duration list_timeout = milliseconds(900);
		constexpr duration min_backoff = milliseconds(100);
		constexpr duration max_backoff = milliseconds(800);
		constexpr std::uint32_t max_doublings = 3;
		// Number of failed calls in a row after which the registry counts as lost.
		constexpr std::uint32_t failures_until_lost = 2;
	}

	registry_follower::registry_follower(
		http::endpoint target, registry_timing given, registry_protocol calls, registry_sink take, event_log event_sink)
		: address(std::move(target))
		, timing(given)
		, protocol(std::move(calls))
		, sink(std::move(take))
		, log(std::move(event_sink))
		, client(this->thread.context().get_executor())
	{
	}

	void registry_follower::start()
	{
		asio::co_spawn(this->thread.context(), this->follow(), asio::detached);
		this->thread.start();
	}

	void registry_follower::stop()
	{
		this->thread.stop();
	}

	asio::awaitable<void> registry_follower::follow()
	{
		while (true)
		{
			auto const is_listed = co_await this->list();
			while (is_listed && co_await this->watch())
			{
			}
		}
	}

	asio::awaitable<bool> registry_follower::list()
	{
		registry_update update;
		update.is_complete_list = true;
		std::optional<std::uint64_t> first_revision;
		std::string after;
		while (true)
		{
			auto message = this->protocol.list(after);
			auto const answer = co_await this->call(std::move(message), list_timeout);
			auto reply = answer ? this->protocol.read_list(*answer) : registry_reply{};
			if (answer && reply.status != registry_status::answered)
			{
				this->note_failure("answered with status " + std::to_string(answer->status));
			}
			if (reply.status != registry_status::answered)
			{
				co_await this->back_off();
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
		this->revision = *first_revision;
		update.is_recovery = this->had_outage();
		update.unobserved = daemon::monotonic_now() - this->last_answer_at;
		this->note_answer();
		this->sink(std::move(update));
		co_return true;
	}

	asio::awaitable<bool> registry_follower::watch()
	{
		auto const wait =
			this->failures > 0 ? std::min(watch_wait_after_failure, this->timing.wait) : this->timing.wait;
		auto message = this->protocol.watch(this->revision, wait);
		auto const answer = co_await this->call(std::move(message), wait + watch_margin);
		if (!answer)
		{
			co_await this->back_off();
			co_return true;
		}
		auto reply = this->protocol.read_changes(*answer);
		if (reply.status == registry_status::refused || reply.status == registry_status::malformed)
		{
			this->note_failure("answered with status " + std::to_string(answer->status));
			co_await this->back_off();
			co_return true;
		}
		if (reply.status == registry_status::history_lost)
		{
			co_return false;
		}
		this->report_faults(reply);
		this->revision = std::max(this->revision, reply.revision);
		registry_update update;
		update.is_recovery = this->had_outage();
		update.changes = std::move(reply.changes);
		this->note_answer();
		auto const has_changes = !update.changes.empty();
		if (has_changes || update.is_recovery)
		{
			this->sink(std::move(update));
		}
		this->batching_delay =
			has_changes ? std::min(this->batching_delay + batching_step, this->timing.max_batching_delay) : duration{};
		if (has_changes)
		{
			co_await this->sleep(this->batching_delay);
		}
		co_return true;
	}

	asio::awaitable<std::optional<http::response>> registry_follower::call(http::request message, duration timeout)
	{
		http::call_options options;
		options.timeout = timeout;
		options.fresh_connection = this->failures > 0;
		http::endpoint const target = this->address;
		auto outcome = co_await this->client.call(target, std::move(message), options);
		if (auto* const answer = std::get_if<http::response>(&outcome))
		{
			co_return std::move(*answer);
		}
		this->note_failure("no answer");
		co_return std::nullopt;
	}

	asio::awaitable<void> registry_follower::back_off()
	{
		auto const doublings = std::min(this->failures, max_doublings);
		co_await this->sleep(std::min(max_backoff, min_backoff * (1U << doublings)));
	}

	asio::awaitable<void> registry_follower::sleep(duration time)
	{
		asio::steady_timer timer(this->thread.context(), time);
		std::ignore = co_await timer.async_wait(token);
	}

	bool registry_follower::had_outage() const
	{
		auto const longest_silence = this->timing.wait + watch_margin;
		auto const silence = daemon::monotonic_now() - this->last_answer_at;
		return this->failures >= failures_until_lost || (this->failures > 0 && silence >= longest_silence);
	}

	void registry_follower::note_answer()
	{
		this->last_answer_at = daemon::monotonic_now();
		if (this->failures == 0)
		{
			return;
		}
		this->log(make_event("registry_regained", {{"failed_calls", std::to_string(this->failures)}}));
		this->failures = 0;
	}

	void registry_follower::note_failure(std::string reason)
	{
		++this->failures;
		if (this->failures == failures_until_lost)
		{
			registry_update update;
			update.is_lost = true;
			this->sink(std::move(update));
		}
		if (this->failures > 1)
		{
			return;
		}
		this->log(
			make_event("registry_lost", {{"reason", std::move(reason)}, {"revision", std::to_string(this->revision)}}));
	}

	void registry_follower::report_faults(registry_reply const& reply)
	{
		for (auto const& fault : reply.faults)
		{
			this->log(make_event("registry_entry_unreadable", {{"reason", fault}}));
		}
	}
}
