#include "slow_prefill_server.hpp"

#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "daemon_group.hpp"

namespace godwittrestle::testing
{
	namespace
	{
		namespace asio = boost::asio;

		constexpr auto token = asio::as_tuple(asio::use_awaitable);
	}

	slow_prefill_server::slow_prefill_server(std::chrono::milliseconds prefill_time)
		: time(prefill_time)
		, listener(this->thread.context().get_executor(), {"127.0.0.1", 0}, {},
			  [this](http::request message, http::exchange& http_exchange)
			  { return this->serve(std::move(message), http_exchange); })
	{
		this->listener.start();
		this->thread.start();
	}

	slow_prefill_server::~slow_prefill_server()
	{
		this->thread.stop();
	}

	routing::registered_server slow_prefill_server::entry() const
	{
		return make_server(
			"prefill", http::to_string({"127.0.0.1", this->listener.port()}), routing::server_role::prefill);
	}

	asio::awaitable<void> slow_prefill_server::serve(http::request message, http::exchange& http_exchange)
	{
		http::response answer;
		if (!message.find_header("Only-Prefill").empty())
		{
			++this->begun;
			asio::steady_timer timer(this->thread.context(), this->time);
			std::ignore = co_await timer.async_wait(token);
			answer.body = "handle";
		}
		std::ignore = co_await http_exchange.reply(std::move(answer));
	}
}
