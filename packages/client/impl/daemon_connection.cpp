#include <godwittrestle/client/daemon_connection.hpp>

#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <godwittrestle/http/client.hpp>

namespace godwittrestle::client
{
	namespace
	{
		constexpr duration call_timeout = seconds(5);
		constexpr unsigned status_ok = 200;

		// Runs the call on an event loop of its own until it ends.
		http::call_result call_blocking(http::endpoint const& where, http::request message)
		{
			boost::asio::io_context loop{1};
			http::client client(loop.get_executor());
			http::call_result outcome = http::client_failure::not_connected;
			auto run = [&]() -> boost::asio::awaitable<void>
			{
				http::call_options options;
				options.timeout = call_timeout;
				outcome = co_await client.call(where, std::move(message), options);
			};
			boost::asio::co_spawn(loop, run(), boost::asio::detached);
			loop.run();
			return outcome;
		}
	}

	result<boost::json::value> call_daemon(daemon_connection const& daemon, std::string_view method, std::string target)
	{
		auto const name = http::to_string(daemon.where);
		http::request message{std::string(method), std::move(target), {}, {}};
		if (!daemon.token.empty())
		{
			message.headers.push_back({"Authorization", "Bearer " + daemon.token});
		}
		auto const outcome = call_blocking(daemon.where, std::move(message));
		auto const* const answer = std::get_if<http::response>(&outcome);
		if (answer == nullptr)
		{
			return fail(error_kind::unavailable, name, "the daemon does not answer",
				"check the address and whether the daemon is running");
		}
		boost::system::error_code error;
		auto value = boost::json::parse(answer->body, error);
		if (error || answer->status != status_ok)
		{
			return fail(error_kind::unavailable, name, fmt::format("the daemon refused the request: {}", answer->body),
				"see the daemon's message");
		}
		return value;
	}
}
