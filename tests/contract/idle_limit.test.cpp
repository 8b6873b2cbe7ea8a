#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

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

	constexpr duration idle_limit = seconds(1);
	constexpr duration beyond_idle_limit = milliseconds(1300);
	constexpr std::string_view request_text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

	// A server whose loop runs only while the test lets it, so that the end of an idle time and bytes of the caller
	// are found in one turn of the loop.
	class stalled_server
	{
	  public:
		explicit stalled_server(duration answer_delay = {})
			: delay(answer_delay)
			, server(this->loop.get_executor(), http::endpoint{"127.0.0.1", 0}, make_limits(),
				  [this](http::request, http::exchange& http_exchange) { return this->answer(http_exchange); })
		{
			this->server.start();
		}

		[[nodiscard]] tcp::socket connect()
		{
			tcp::socket socket(this->callers);
			socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), this->server.port()));
			return socket;
		}

		void run_for(duration time)
		{
			this->loop.restart();
			this->loop.run_for(time);
		}

		[[nodiscard]] std::size_t connections() const
		{
			return this->server.connections();
		}

	  private:
		static http::server_limits make_limits()
		{
			http::server_limits limits;
			limits.idle_timeout = idle_limit;
			return limits;
		}

		asio::awaitable<void> answer(http::exchange& http_exchange)
		{
			asio::steady_timer pause(this->loop, this->delay);
			std::ignore = co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
			http::response done;
			std::ignore = co_await http_exchange.reply(std::move(done));
		}

		duration delay;
		asio::io_context callers;
		asio::io_context loop{1};
		http::server server;
	};

	// What has become of a request.
	enum class request_end
	{
		pending,
		served,
		closed,
	};

	request_end look_at(tcp::socket& socket)
	{
		boost::system::error_code error;
		std::string received(4096, '\0');
		socket.non_blocking(true);
		received.resize(socket.receive(asio::buffer(received), 0, error));
		if (error == asio::error::would_block)
		{
			return request_end::pending;
		}
		return received.starts_with("HTTP/1.1 200") ? request_end::served : request_end::closed;
	}

	// Sends a request on each connection and returns how many of them got an answer rather than the connection's end.
	int count_served(stalled_server& server, std::vector<tcp::socket>& sockets)
	{
		for (auto& socket : sockets)
		{
			boost::system::error_code error;
			asio::write(socket, asio::buffer(request_text), error);
		}
		std::vector<request_end> ends(sockets.size(), request_end::pending);
		constexpr int max_turns = 4000;
		for (int turn = 0; turn < max_turns && std::ranges::count(ends, request_end::pending) > 0; ++turn)
		{
			server.run_for(milliseconds(5));
			std::ranges::transform(sockets, ends, ends.begin(), [](tcp::socket& socket, request_end known)
				{ return known == request_end::pending ? look_at(socket) : known; });
		}
		return static_cast<int>(std::ranges::count(ends, request_end::served));
	}

	// Runs the server until it has no connection. Returns whether that happens within 20 s.
	bool loses_all_connections(stalled_server& server)
	{
		constexpr int max_turns = 4000;
		for (int turn = 0; turn < max_turns && server.connections() > 0; ++turn)
		{
			server.run_for(milliseconds(5));
		}
		return server.connections() == 0;
	}

	std::vector<tcp::socket> connect_all(stalled_server& server, int count)
	{
		std::vector<tcp::socket> sockets;
		sockets.reserve(static_cast<std::size_t>(count));
		for (int number = 0; number < count; ++number)
		{
			sockets.push_back(server.connect());
		}
		return sockets;
	}
}

// The idle timer's handler ran after its connection was destroyed, and the request beside it was closed unread.
TEST_CASE("a request that has arrived when the idle limit is over is served", "[idle_limit]")
{
	constexpr int connections = 30;
	stalled_server server;
	auto sockets = connect_all(server, connections);
	REQUIRE(count_served(server, sockets) == connections);
	std::this_thread::sleep_for(beyond_idle_limit);
	CHECK(count_served(server, sockets) == connections);
}

TEST_CASE("callers that close when the idle limit is over take nobody else's connection with them", "[idle_limit]")
{
	constexpr int connections = 30;
	constexpr int rounds = 5;
	stalled_server server(milliseconds(5));
	for (int round = 0; round < rounds; ++round)
	{
		auto leaving = connect_all(server, connections);
		REQUIRE(count_served(server, leaving) == connections);
		std::this_thread::sleep_for(beyond_idle_limit);
		leaving.clear();
		auto staying = connect_all(server, connections);
		CHECK(count_served(server, staying) == connections);
		CHECK(server.connections() == connections);
		staying.clear();
		CHECK(loses_all_connections(server));
	}
}

TEST_CASE("a connection that stays idle is closed at the limit", "[idle_limit]")
{
	stalled_server server;
	auto sockets = connect_all(server, 3);
	REQUIRE(count_served(server, sockets) == 3);
	REQUIRE(server.connections() == 3);
	REQUIRE(loses_all_connections(server));
}
