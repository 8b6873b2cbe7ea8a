#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/http/server.hpp>

#include "daemon_group.hpp"
#include "test_protocol.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	namespace asio = boost::asio;
	using daemon::monotonic_now;

	// A backend server that answers each request at once, states a limit in each answer and records the arrivals.
	class limiting_server
	{
	  public:
		explicit limiting_server(double limit)
			: stated_limit(fmt::format("{}", limit))
			, server(this->thread.context().get_executor(), {"127.0.0.1", 0}, {},
				  [this](http::request message, http::exchange& http_exchange)
				  { return this->answer(std::move(message), http_exchange); })
		{
			this->server.start();
			this->thread.start();
		}

		~limiting_server()
		{
			this->thread.stop();
		}

		limiting_server(limiting_server const&) = delete;
		limiting_server& operator=(limiting_server const&) = delete;
		limiting_server(limiting_server&&) = delete;
		limiting_server& operator=(limiting_server&&) = delete;

		[[nodiscard]] std::string address() const
		{
			return http::to_string({"127.0.0.1", this->server.port()});
		}

		[[nodiscard]] std::vector<time_point> arrivals()
		{
			std::scoped_lock const lock(this->mutex);
			return this->times;
		}

	  private:
		asio::awaitable<void> answer(http::request message, http::exchange& http_exchange)
		{
			{
				std::scoped_lock const lock(this->mutex);
				this->times.push_back(monotonic_now());
			}
			http::response reply;
			reply.headers = {{"Attempt", message.find_header("Attempt")}, {"Limit", this->stated_limit}};
			std::ignore = co_await http_exchange.reply(std::move(reply));
		}

		std::string stated_limit;
		std::mutex mutex;
		std::vector<time_point> times;
		godwittrestle::daemon::io_thread thread;
		http::server server;
	};

	// Returns the most arrivals within any window of this length that begins after a time.
	std::size_t most_arrivals(std::vector<time_point> const& times, time_point after, duration window)
	{
		std::size_t most = 0;
		for (auto const& first : times)
		{
			auto const in_window =
				std::ranges::count_if(times, [&](time_point each) { return each >= first && each - first <= window; });
			most = first < after ? most : std::max(most, static_cast<std::size_t>(in_window));
		}
		return most;
	}
}

TEST_CASE("all daemons together send a server no more requests than the limit that it states allows", "[limits]")
{
	constexpr double limit = 5;
	constexpr std::size_t daemon_count = 3;
	constexpr duration window = seconds(4);
	// The users allow half as much again, and 5 requests, in each window from contact-ms after the first statement.
	constexpr double allowed = 1.5 * limit * 4 + 5;
	constexpr duration contact_time = seconds(3);
	constexpr auto request_interval = std::chrono::milliseconds(100);

	limiting_server server(limit);
	daemon_group fleet(daemon_count, make_route(routing::call_kind::idempotent, 1, false),
		{make_server("a", server.address(), routing::server_role::plain)});
	std::atomic<bool> is_over = false;
	std::vector<std::thread> callers;
	for (auto const& address : fleet.addresses())
	{
		callers.emplace_back(
			[&, address]
			{
				for (int number = 0; !is_over; ++number)
				{
					std::ignore =
						send_to_daemon(address, "GET", {{"Attempt", fmt::format("{}-{}", address.port, number)}});
					std::this_thread::sleep_for(request_interval);
				}
			});
	}
	std::this_thread::sleep_for(contact_time + window + seconds(1));
	is_over = true;
	std::ranges::for_each(callers, [](std::thread& each) { each.join(); });

	auto const arrivals = server.arrivals();
	REQUIRE_FALSE(arrivals.empty());
	auto const most = most_arrivals(arrivals, arrivals.front() + contact_time, window);
	REQUIRE(most > 0);
	REQUIRE(static_cast<double>(most) <= allowed);
}
