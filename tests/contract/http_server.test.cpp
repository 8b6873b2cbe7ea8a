#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <random>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/http/server.hpp>

#include "test_servers.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	constexpr auto token = asio::as_tuple(asio::use_awaitable);

	// Sends requests one after the other, each body up to 149 microseconds after its header. Returns how many requests
	// were answered.
	asio::awaitable<int> send_requests(asio::io_context& loop, unsigned short port, int requests)
	{
		std::string const head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";
		std::string const body = "body";
		std::minstd_rand random(1);
		tcp::socket socket(loop);
		tcp::endpoint const listen_address(asio::ip::make_address("127.0.0.1"), port);
		std::ignore = co_await socket.async_connect(listen_address, token);
		socket.set_option(tcp::no_delay(true));
		for (int answered = 0; answered < requests; ++answered)
		{
			std::ignore = co_await asio::async_write(socket, asio::buffer(head), token);
			auto const sent_at = std::chrono::steady_clock::now();
			auto const body_delay = std::chrono::microseconds(random() % 150);
			while (std::chrono::steady_clock::now() - sent_at < body_delay)
			{
			}
			std::ignore = co_await asio::async_write(socket, asio::buffer(body), token);
			std::string answer;
			auto buffer = asio::dynamic_buffer(answer);
			auto const [error, size] = co_await asio::async_read_until(socket, buffer, "\r\n\r\n", token);
			if (error)
			{
				co_return answered;
			}
		}
		co_return requests;
	}
}

TEST_CASE("the server keeps serving when a body arrives while the server reads its header", "[http]")
{
	daemon::io_thread thread;
	auto& loop = thread.context();
	// Answers only after 1 ms, so that the server begins to watch for a disconnect of the caller.
	auto const handle = [&](http::request, http::exchange& http_exchange) -> asio::awaitable<void>
	{
		asio::steady_timer pause(loop, milliseconds(1));
		std::ignore = co_await pause.async_wait(token);
		http::response answer;
		std::ignore = co_await http_exchange.reply(std::move(answer));
	};
	http::server server(loop.get_executor(), {"127.0.0.1", 0}, {}, handle);
	server.start();
	thread.start();
	asio::io_context callers;
	constexpr int requests = 2000;
	auto const answered = run_to_end(callers, send_requests(callers, server.port(), requests));
	thread.stop();
	REQUIRE(answered == requests);
}

// Guards against a request that a stopped server still reads from a kept connection, and that its process then cuts.
TEST_CASE("a stopped server reads no further request from a kept connection", "[http]")
{
	asio::io_context loop(1);
	int handled = 0;
	std::unique_ptr<http::server> server;
	// The head of the answer, which does not announce the connection's end, is sent before the server is stopped.
	auto const handle = [&](http::request, http::exchange& http_exchange) -> asio::awaitable<void>
	{
		++handled;
		http::response head;
		std::ignore = co_await http_exchange.begin_stream(std::move(head));
		server->stop();
		std::ignore = co_await http_exchange.end_stream();
	};
	server = std::make_unique<http::server>(
		loop.get_executor(), http::endpoint{"127.0.0.1", 0}, http::server_limits{}, handle);
	server->start();
	auto const send_two = [&]() -> asio::awaitable<std::string>
	{
		std::string const message = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
		tcp::socket socket(loop);
		tcp::endpoint const listen_address(asio::ip::make_address("127.0.0.1"), server->port());
		std::ignore = co_await socket.async_connect(listen_address, token);
		std::ignore = co_await asio::async_write(socket, asio::buffer(message), token);
		std::string received;
		auto buffer = asio::dynamic_buffer(received);
		std::ignore = co_await asio::async_read_until(socket, buffer, "0\r\n\r\n", token);
		std::ignore = co_await asio::async_write(socket, asio::buffer(message), token);
		std::ignore = co_await asio::async_read(socket, buffer, token);
		co_return received;
	};
	auto const received = run_to_end(loop, send_two());
	REQUIRE(received.starts_with("HTTP/1.1 200"));
	REQUIRE(handled == 1);
}
