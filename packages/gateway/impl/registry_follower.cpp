#include <godwittrestle/gateway/registry_follower.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <godwittrestle/base/exception.hpp>
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
		// Time for an answer that holds nothing back.
		constexpr duration read_timeout = milliseconds(500);
		// A watch that brings nothing for this time after the time limit of such an answer has missed its changes.
		constexpr duration answer_margin = milliseconds(100);
		// A connection that was not used for longer may have gone silent unnoticed.
		constexpr duration max_reader_idle = seconds(1);
		constexpr duration min_backoff = milliseconds(100);
		constexpr duration max_backoff = milliseconds(800);
		constexpr std::uint32_t max_doublings = 3;
		// Number of failed calls in a row after which the registry counts as lost.
		constexpr std::uint32_t failures_until_lost = 2;

		// Returns a status as the counter of calls names it.
		std::string_view to_outcome(registry_status status) noexcept
		{
			switch (status)
			{
				case registry_status::answered:
					return "answered";
				case registry_status::history_lost:
					return "history_lost";
				case registry_status::refused:
					return "refused";
				case registry_status::malformed:
					break;
			}
			return "malformed";
		}
	}

	registry_follower::registry_follower(
		http::endpoint target, registry_timing given, registry_protocol calls, registry_hooks callbacks)
		: address(std::move(target))
		, timing(given)
		, protocol(std::move(calls))
		, hooks(std::move(callbacks))
		, thread([this](std::string error)
			  { this->hooks.log(make_event("internal_error", {{"part", "registry"}, {"error", std::move(error)}})); })
		, client(this->thread.context().get_executor())
		, reader(this->thread.context().get_executor())
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

	void registry_follower::read_soon(duration least_interval)
	{
		asio::post(this->thread.context(),
			[this, least_interval]
			{
				this->is_read_wanted = true;
				if (!std::exchange(this->is_reading, true))
				{
					asio::co_spawn(this->thread.context(), this->read_while_wanted(least_interval), asio::detached);
				}
			});
	}

	asio::awaitable<void> registry_follower::read_while_wanted(duration least_interval)
	{
		while (std::exchange(this->is_read_wanted, false))
		{
			auto const asked_at = daemon::monotonic_now();
			try
			{
				auto const has_read = co_await this->read_changes();
				if (!has_read)
				{
					registry_update update;
					update.is_unanswered = true;
					update.asked_at = asked_at;
					this->hooks.sink(std::move(update));
				}
			}
			catch (...)
			{
				this->hooks.log(
					make_event("internal_error", {{"part", "registry_read"}, {"error", describe_current_exception()}}));
			}
			co_await this->sleep(least_interval);
		}
		this->is_reading = false;
	}

	asio::awaitable<bool> registry_follower::read_changes()
	{
		// The watch may have brought changes meanwhile; then the question is asked again after those.
		constexpr int most_questions = 3;
		for (int number = 0; number < most_questions && !this->is_listing; ++number)
		{
			auto const from = this->cursor.position();
			auto const after = this->position_asked_at;
			auto const asked_at = daemon::monotonic_now();
			http::call_options options;
			options.timeout = read_timeout;
			options.fresh_connection = asked_at - this->read_at > max_reader_idle;
			http::endpoint const target = this->address;
			auto message = this->protocol.watch(from.revision, duration{});
			auto outcome = co_await this->reader.call(target, std::move(message), options);
			auto const* const answer = std::get_if<http::response>(&outcome);
			if (answer == nullptr)
			{
				this->hooks.count_call("no_answer");
				co_return false;
			}
			auto reply = this->protocol.read_changes(*answer);
			auto const is_of_same_era = reply.position.era == from.era && !(reply.position < from);
			if (reply.status != registry_status::answered || !is_of_same_era)
			{
				// The watch finds out by itself that everything has to be listed again.
				this->hooks.count_call(to_outcome(reply.status));
				co_return false;
			}
			if (this->cursor.position() == from && !this->is_listing)
			{
				std::ignore = this->cursor.note_changes(reply.position);
				this->report_faults(reply);
				this->hooks.count_call("read");
				this->read_at = daemon::monotonic_now();
				this->has_missed_changes = this->has_missed_changes || !reply.changes.empty();
				this->apply(std::move(reply), asked_at, after);
				co_return true;
			}
			this->hooks.count_call("overtaken");
		}
		co_return false;
	}

	void registry_follower::apply(registry_reply reply, time_point asked_at, time_point after)
	{
		registry_update update;
		update.position = this->cursor.position();
		update.is_recovery = this->had_outage();
		update.asked_at = asked_at;
		update.written_after = after;
		update.changes = std::move(reply.changes);
		this->position_asked_at = asked_at;
		this->note_answer();
		this->hooks.sink(std::move(update));
	}

	asio::awaitable<void> registry_follower::follow()
	{
		while (true)
		{
			auto has_failed = false;
			try
			{
				co_await this->list_and_watch();
			}
			catch (...)
			{
				has_failed = true;
				this->note_failure("failed_internally", describe_current_exception());
			}
			if (has_failed)
			{
				co_await this->back_off();
			}
		}
	}

	asio::awaitable<void> registry_follower::list_and_watch()
	{
		// One awaited call a statement: as compiled by GCC 12, `is_listed && co_await watch()` also made the second
		// call after a list that had failed.
		auto is_followed = co_await this->list();
		while (is_followed)
		{
			is_followed = co_await this->watch();
		}
	}

	asio::awaitable<bool> registry_follower::list()
	{
		registry_update update;
		update.is_complete_list = true;
		update.asked_at = daemon::monotonic_now();
		this->is_listing = true;
		this->cursor.begin_list();
		std::string after;
		while (true)
		{
			auto const page = co_await this->list_page(after);
			if (page.use == answer_use::list_again)
			{
				co_await this->back_off();
				co_return false;
			}
			if (page.use == answer_use::ignore)
			{
				// Only this page is read again: when many daemons list at once, the registry refuses some calls.
				co_await this->back_off();
				continue;
			}
			std::ranges::copy(page.reply.changes, std::back_inserter(update.changes));
			if (!page.reply.next_page)
			{
				break;
			}
			after = *page.reply.next_page;
		}
		update.restore = this->cursor.end_list();
		this->is_listing = false;
		update.position = this->cursor.position();
		update.is_recovery = this->had_outage();
		update.unobserved = daemon::monotonic_now() - this->last_answer_at;
		this->position_asked_at = update.asked_at;
		this->note_answer();
		this->hooks.sink(std::move(update));
		co_return true;
	}

	asio::awaitable<registry_follower::listed_page> registry_follower::list_page(std::string const& after)
	{
		auto message = this->protocol.list(after);
		auto const answer = co_await this->call(std::move(message), list_timeout);
		listed_page page;
		if (!answer)
		{
			co_return page;
		}
		page.reply = this->protocol.read_list(*answer);
		this->report_faults(page.reply);
		if (page.reply.status == registry_status::answered)
		{
			page.use = this->cursor.note_page(page.reply.position);
			this->note_use(page.use, page.reply.position);
		}
		else
		{
			this->note_failure(to_outcome(page.reply.status), "answered with status " + std::to_string(answer->status));
		}
		co_return page;
	}

	asio::awaitable<bool> registry_follower::watch()
	{
		auto const wait =
			this->failures > 0 ? std::min(watch_wait_after_failure, this->timing.wait) : this->timing.wait;
		auto const from = this->cursor.position();
		auto const after = this->position_asked_at;
		auto message = this->protocol.watch(from.revision, wait);
		auto const asked_at = daemon::monotonic_now();
		auto const answer = co_await this->call_with_checks(std::move(message), wait + watch_margin);
		if (this->is_silent)
		{
			co_return true;
		}
		if (!answer)
		{
			co_await this->back_off();
			co_return true;
		}
		auto reply = this->protocol.read_changes(*answer);
		this->report_faults(reply);
		if (reply.status == registry_status::refused || reply.status == registry_status::malformed)
		{
			this->note_failure(to_outcome(reply.status), "answered with status " + std::to_string(answer->status));
			co_await this->back_off();
			co_return true;
		}
		if (reply.status == registry_status::history_lost)
		{
			this->hooks.count_call(to_outcome(reply.status));
			co_return false;
		}
		if (this->cursor.position() != from && reply.position.era == from.era)
		{
			// Another question has brought the first of these changes; the next watch brings the others.
			this->hooks.count_call("overtaken");
			co_return true;
		}
		auto const use = this->cursor.note_changes(reply.position);
		this->note_use(use, reply.position);
		if (use != answer_use::apply)
		{
			co_await this->back_off();
			co_return use == answer_use::ignore;
		}
		auto const has_changes = !reply.changes.empty();
		this->apply(std::move(reply), asked_at, after);
		this->batching_delay =
			has_changes ? std::min(this->batching_delay + batching_step, this->timing.max_batching_delay) : duration{};
		if (has_changes)
		{
			co_await this->sleep(this->batching_delay);
		}
		co_return true;
	}

	struct registry_follower::watch_call
	{
		explicit watch_call(asio::io_context& context)
			: ended(context)
		{
		}

		// Set at the end of the call.
		std::optional<http::call_result> outcome;
		// Cancelled at the end of the call.
		asio::steady_timer ended;
	};

	asio::awaitable<void> registry_follower::make_watch_call(
		std::shared_ptr<watch_call> pending, http::request message, http::call_options options)
	{
		http::endpoint const target = this->address;
		try
		{
			pending->outcome = co_await this->client.call(target, std::move(message), options);
		}
		catch (...)
		{
			this->hooks.log(
				make_event("internal_error", {{"part", "registry_watch"}, {"error", describe_current_exception()}}));
			pending->outcome = http::client_failure::lost;
		}
		pending->ended.cancel();
	}

	asio::awaitable<std::optional<http::response>> registry_follower::call_with_checks(
		http::request message, duration timeout)
	{
		auto const pending = std::make_shared<watch_call>(this->thread.context());
		http::call_options options;
		options.timeout = timeout;
		options.fresh_connection = this->failures > 0 || std::exchange(this->is_silent, false);
		this->has_missed_changes = false;
		asio::co_spawn(
			this->thread.context(), this->make_watch_call(pending, std::move(message), options), asio::detached);
		auto quiet_time = this->timing.quiet;
		while (!pending->outcome)
		{
			pending->ended.expires_after(quiet_time);
			std::ignore = co_await pending->ended.async_wait(token);
			if (pending->outcome)
			{
				break;
			}
			auto const asked_at = daemon::monotonic_now();
			this->read_soon(duration{});
			// The watch may be about to bring the same changes.
			pending->ended.expires_after(read_timeout + answer_margin);
			std::ignore = co_await pending->ended.async_wait(token);
			if (!pending->outcome && this->has_missed_changes)
			{
				this->is_silent = true;
				this->hooks.count_call("silent");
				this->hooks.log(
					make_event("registry_watch_silent", {{"position", to_string(this->cursor.position())}}));
				co_return std::nullopt;
			}
			auto const is_read = this->read_at >= asked_at;
			quiet_time = is_read ? this->timing.quiet : this->timing.quiet / 4;
		}
		co_return this->take_answer(std::move(*pending->outcome));
	}

	asio::awaitable<std::optional<http::response>> registry_follower::call(http::request message, duration timeout)
	{
		http::call_options options;
		options.timeout = timeout;
		options.fresh_connection = this->failures > 0;
		http::endpoint const target = this->address;
		co_return this->take_answer(co_await this->client.call(target, std::move(message), options));
	}

	std::optional<http::response> registry_follower::take_answer(http::call_result outcome)
	{
		if (auto* const answer = std::get_if<http::response>(&outcome))
		{
			return std::move(*answer);
		}
		this->note_failure("no_answer", "no answer");
		return std::nullopt;
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
		this->hooks.log(make_event("registry_regained",
			{{"failed_calls", std::to_string(this->failures)}, {"position", to_string(this->cursor.position())}}));
		this->failures = 0;
	}

	void registry_follower::note_use(answer_use use, registry_position at)
	{
		if (use == answer_use::ignore)
		{
			this->note_failure("outdated", "answered from the older position " + to_string(at));
			return;
		}
		this->hooks.count_call(use == answer_use::apply ? "applied" : "restored");
	}

	void registry_follower::note_failure(std::string_view outcome, std::string reason)
	{
		this->hooks.count_call(outcome);
		++this->failures;
		if (this->failures == failures_until_lost)
		{
			registry_update update;
			update.is_lost = true;
			update.position = this->cursor.position();
			this->hooks.sink(std::move(update));
		}
		if (this->failures > 1)
		{
			return;
		}
		this->hooks.log(make_event(
			"registry_lost", {{"reason", std::move(reason)}, {"position", to_string(this->cursor.position())}}));
	}

	void registry_follower::report_faults(registry_reply const& reply)
	{
		for (auto const& fault : reply.faults)
		{
			this->hooks.log(make_event("registry_entry_unreadable", {{"reason", fault}}));
		}
	}
}
