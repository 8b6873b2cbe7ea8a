#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <tuple>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <godwittrestle/http/server.hpp>

using namespace godwittrestle;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	constexpr duration time_limit = milliseconds(50);
	constexpr duration beyond_time_limit = milliseconds(80);
	constexpr std::string_view large_request_head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n";

	// A server whose loop runs only while the test lets it, so that the end of a time limit and bytes of the caller are
	// found in one turn of the loop. It never answers.
	class stalled_server
	{
	  public:
		explicit stalled_server(http::server_limits const& limits)
			: server(this->loop.get_executor(), http::endpoint{"127.0.0.1", 0}, limits,
				  [this](http::request, http::exchange& http_exchange) { return this->serve(http_exchange); })
		{
			this->server.start();
		}

		[[nodiscard]] tcp::socket connect()
		{
			tcp::socket socket(this->callers);
			socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), this->server.port()));
			return socket;
		}

		// Runs the loop until the condition holds. Returns whether it does within 20 s.
		template <typename Condition>
		[[nodiscard]] bool run_until(Condition condition)
		{
			constexpr int max_turns = 2000;
			for (int turn = 0; turn < max_turns && !condition(); ++turn)
			{
				this->loop.restart();
				this->loop.run_for(std::chrono::milliseconds(10));
			}
			return condition();
		}

		void run_for(duration time)
		{
			this->loop.restart();
			this->loop.run_for(time);
		}

		int begun = 0;
		int closed = 0;
		asio::io_context callers;
		asio::io_context loop{1};
		http::server server;

	  private:
		asio::awaitable<void> serve(http::exchange& http_exchange)
		{
			++this->begun;
			http_exchange.on_close([this] { ++this->closed; });
			asio::steady_timer pause(this->loop, seconds(60));
			std::ignore = co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
		}
	};

	std::string read_arrived(tcp::socket& socket)
	{
		boost::system::error_code error;
		std::string received(4096, '\0');
		socket.non_blocking(true);
		received.resize(socket.receive(asio::buffer(received), 0, error));
		return received;
	}
}

// The handler of a time limit that had ended with the last byte cancelled the watch for the caller's end.
TEST_CASE("a caller's end is noticed although a time limit ended with its request's last byte", "[read_limits]")
{
	http::server_limits limits;
	limits.header_timeout = time_limit;
	limits.read_timeout = time_limit;
	stalled_server server(limits);
	auto socket = server.connect();
	server.run_for(milliseconds(10));
	std::string_view const text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nhalf";
	auto const first_part = GENERATE(std::size_t{20}, std::size_t{49});
	asio::write(socket, asio::buffer(text.substr(0, first_part)));
	server.run_for(milliseconds(10));
	asio::write(socket, asio::buffer(text.substr(first_part)));
	std::this_thread::sleep_for(beyond_time_limit);
	REQUIRE(server.run_until([&] { return server.begun == 1; }));
	server.run_for(milliseconds(20));
	socket.close();
	CHECK(server.run_until([&] { return server.closed == 1; }));
}

// A time limit that ended together with bytes ended no read, and the connection had none from then on.
TEST_CASE("a body's time limit holds although bytes arrive when it ends", "[read_limits]")
{
	auto const arriving = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{1000}, std::size_t{400'000});
	http::server_limits limits;
	limits.read_timeout = time_limit;
	stalled_server server(limits);
	auto socket = server.connect();
	server.run_for(milliseconds(10));
	asio::write(socket, asio::buffer(large_request_head));
	server.run_for(milliseconds(20));
	asio::write(socket, asio::buffer(std::string(arriving, 'a')));
	std::this_thread::sleep_for(beyond_time_limit);
	std::string received;
	auto const is_answered = [&]
	{
		received += read_arrived(socket);
		return !received.empty();
	};
	CHECK(server.run_until(is_answered));
	CHECK(received.starts_with("HTTP/1.1 408"));
}

TEST_CASE("bytes behind a refusal are dropped for a bounded time", "[read_limits]")
{
	auto const arriving = GENERATE(std::size_t{0}, std::size_t{1000}, std::size_t{200'000});
	http::server_limits limits;
	limits.body_bytes = 1000;
	stalled_server server(limits);
	auto socket = server.connect();
	server.run_for(milliseconds(10));
	asio::write(socket, asio::buffer(large_request_head));
	server.run_for(milliseconds(100));
	REQUIRE(server.server.connections() == 1);
	asio::write(socket, asio::buffer(std::string(arriving, 'a')));
	std::this_thread::sleep_for(std::chrono::milliseconds(2100));
	CHECK(server.run_until([&] { return server.server.connections() == 0; }));
}
