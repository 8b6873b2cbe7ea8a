#include <godwittrestle/daemon/platform_link.hpp>

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <godwittrestle/daemon/settings.hpp>

namespace godwittrestle::daemon
{
	namespace
	{
		// Time for which the platform may hold a watch. A silent connection to the platform is detected after this time
		// and the time that is allowed for an answer to arrive.
		constexpr duration watch_wait = milliseconds(1000);
		constexpr duration failure_retry_interval = milliseconds(250);
		constexpr duration push_retry_interval = milliseconds(1);

		asio::awaitable<void> sleep_for(duration span)
		{
			asio::steady_timer timer(co_await asio::this_coro::executor, span);
			co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
		}
	}

	platform_link::platform_link(core_loop& given_core, daemon_settings const& settings)
		: core(&given_core)
		, poll_interval(settings.config_poll_interval)
		, client(this->thread.context().get_executor())
		, platform(make_http_platform(this->client, settings.platform_address))
	{
	}

	void platform_link::start()
	{
		asio::co_spawn(this->thread.context(), this->follow_policy(), asio::detached);
		asio::co_spawn(this->thread.context(), this->follow_instances(), asio::detached);
		this->thread.start();
	}

	void platform_link::stop()
	{
		this->thread.stop();
	}

	void platform_link::set_watching(bool is_watching) noexcept
	{
		this->watching = is_watching;
	}

	asio::awaitable<void> platform_link::follow_policy()
	{
		platform_version known_version;
		for (;;)
		{
			auto answer = co_await this->platform.policy(known_version, watch_wait);
			if (answer.value)
			{
				known_version = answer.value->version;
				decide::event event(std::move(*answer.value));
				co_await this->deliver(std::move(event));
			}
			co_await this->finish_read(answer.is_answered);
		}
	}

	asio::awaitable<void> platform_link::follow_instances()
	{
		platform_version known_version;
		for (;;)
		{
			auto answer = co_await this->platform.instances(known_version, watch_wait);
			if (answer.value)
			{
				known_version = answer.value->list.version;
				decide::event event(std::move(*answer.value));
				co_await this->deliver(std::move(event));
			}
			co_await this->finish_read(answer.is_answered);
		}
	}

	asio::awaitable<void> platform_link::finish_read(bool was_answered)
	{
		this->answering = was_answered;
		if (was_answered)
		{
			decide::event confirmed = decide::platform_confirmed{};
			co_await this->deliver(std::move(confirmed));
		}
		if (!this->watching)
		{
			co_await sleep_for(this->poll_interval);
		}
		else if (!was_answered)
		{
			co_await sleep_for(failure_retry_interval);
		}
	}

	asio::awaitable<void> platform_link::deliver(decide::event event)
	{
		core_input input(std::move(event));
		while (!this->core->try_push(input))
		{
			co_await sleep_for(push_retry_interval);
		}
	}
}
