#include "pausing_engine.hpp"

#include <memory>
#include <string_view>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>

namespace godwittrestle::testing
{
	namespace
	{
		namespace asio = boost::asio;

		constexpr auto token = asio::as_tuple(asio::use_awaitable);
		constexpr unsigned not_found = 404;
		constexpr unsigned unavailable = 503;
		constexpr std::string_view stream_path = "/x/y";
		std::string const reserve_path = "/reserve/";
		std::string const reserved_path = "/reserved/";
	}

	pausing_engine::pausing_engine(asio::io_context& event_loop, engine_plan engine_plan)
		: loop(&event_loop)
		, plan(engine_plan)
		, listener(event_loop.get_executor(), {"127.0.0.1", 0}, {},
			  [this](http::request message, http::exchange& http_exchange)
			  { return this->serve(std::move(message), http_exchange); })
	{
		this->listener.start();
	}

	std::string pausing_engine::address() const
	{
		return http::to_string({"127.0.0.1", this->listener.port()});
	}

	asio::awaitable<void> pausing_engine::wait(duration time)
	{
		asio::steady_timer timer(*this->loop, time);
		std::ignore = co_await timer.async_wait(token);
	}

	asio::awaitable<void> pausing_engine::serve(http::request message, http::exchange& http_exchange)
	{
		if (message.target.starts_with(reserve_path))
		{
			co_await this->reserve(http_exchange);
			co_return;
		}
		if (message.target.starts_with(reserved_path))
		{
			this->held.erase(message.target.substr(reserved_path.size()));
			std::ignore = co_await http_exchange.reply(http::response());
			co_return;
		}
		if (message.path() != stream_path)
		{
			http::response unknown;
			unknown.status = not_found;
			std::ignore = co_await http_exchange.reply(std::move(unknown));
			co_return;
		}
		++this->begun;
		if (this->stream_hook)
		{
			this->stream_hook();
		}
		// The stream that is sent takes its reservation.
		this->held.clear();
		if (this->plan.refuses_streams)
		{
			http::response refusal;
			refusal.status = unavailable;
			refusal.headers = {{"Attempt", message.find_header("Attempt")}, {"Not-Run", "1"}};
			std::ignore = co_await http_exchange.reply(std::move(refusal));
		}
		else
		{
			co_await this->stream(message, http_exchange);
		}
	}

	asio::awaitable<void> pausing_engine::reserve(http::exchange& http_exchange)
	{
		++this->unanswered;
		co_await this->wait(this->plan.reservation_time);
		--this->unanswered;
		http::response answer;
		if (this->has_room)
		{
			answer.body = fmt::format("h{}", ++this->grants);
			this->held.insert(answer.body);
		}
		else
		{
			answer.status = unavailable;
		}
		std::ignore = co_await http_exchange.reply(std::move(answer));
	}

	asio::awaitable<void> pausing_engine::stream(http::request const& message, http::exchange& http_exchange)
	{
		auto const is_gone = std::make_shared<bool>(false);
		http_exchange.on_close(
			[this, is_gone]
			{
				*is_gone = true;
				++this->left;
			});
		auto const last = parse_number(message.find_header("Last-Event-Id")).value_or(0);
		auto const first = static_cast<int>(last) + 1;
		auto const silent_before = this->plan.last_before_silence + 1;
		if (silent_before == 1 && first == 1)
		{
			co_await this->wait(this->plan.silence);
		}
		http::response head;
		head.headers = {{"Content-Type", "text/event-stream"}, {"Attempt", message.find_header("Attempt")}};
		auto is_open = co_await http_exchange.begin_stream(std::move(head));
		for (auto number = first; is_open && !*is_gone && number <= this->plan.events; ++number)
		{
			if (number == silent_before && number > 1)
			{
				co_await this->wait(this->plan.silence);
			}
			is_open = co_await http_exchange.write(fmt::format("id: {}\ndata: x\n\n", number));
		}
		if (is_open && !*is_gone)
		{
			std::ignore = co_await http_exchange.end_stream();
		}
	}
}
