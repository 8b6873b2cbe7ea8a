#include "slow_engine.hpp"

#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace godwittrestle::testing
{
	namespace
	{
		namespace asio = boost::asio;

		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		std::string const reserve_path = "/reserve/";
		std::string const reserved_path = "/reserved/";
	}

	slow_engine::slow_engine(std::chrono::milliseconds reservation_time)
		: time(reservation_time)
		, listener(this->thread.context().get_executor(), {"127.0.0.1", 0}, {},
			  [this](http::request message, http::exchange& http_exchange)
			  { return this->serve(std::move(message), http_exchange); })
	{
		this->listener.start();
		this->thread.start();
	}

	slow_engine::~slow_engine()
	{
		this->thread.stop();
	}

	std::string slow_engine::address() const
	{
		return http::to_string({"127.0.0.1", this->listener.port()});
	}

	std::size_t slow_engine::granted() const
	{
		std::scoped_lock const lock(this->mutex);
		return this->grants;
	}

	std::size_t slow_engine::kept() const
	{
		std::scoped_lock const lock(this->mutex);
		return this->held.size();
	}

	asio::awaitable<void> slow_engine::serve(http::request message, http::exchange& http_exchange)
	{
		http::response answer;
		if (message.target.starts_with(reserve_path))
		{
			asio::steady_timer timer(this->thread.context(), this->time);
			std::ignore = co_await timer.async_wait(token);
			std::scoped_lock const lock(this->mutex);
			answer.body = fmt::format("h{}", ++this->grants);
			this->held.insert(answer.body);
		}
		else if (message.target.starts_with(reserved_path))
		{
			std::scoped_lock const lock(this->mutex);
			this->held.erase(message.target.substr(reserved_path.size()));
		}
		else
		{
			++this->begun;
			answer.headers = {{"Content-Type", "text/event-stream"}, {"Attempt", message.find_header("Attempt")}};
			answer.body = "id: 1\ndata: x\n\n";
		}
		std::ignore = co_await http_exchange.reply(std::move(answer));
	}
}
