#include <catch2/catch.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <godwittrestle/http/upstream.hpp>

#include "pausing_server.hpp"
#include "test_servers.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// Reads that are interrupted so that the answer can be kept, and read on later.
namespace
{
	namespace asio = boost::asio;
	using http::upstream_failure;

	constexpr duration silence = milliseconds(200);
	constexpr duration time_to_interrupt = milliseconds(50);
	constexpr duration read_timeout = seconds(5);

	// The answer is cut inside the size line of its second chunk.
	std::string const beginning = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0000";
	std::string const rest = "6\r\nsecond\r\n0\r\n\r\n";

	// Sends a request to a server and reads the head of the answer. address: "127.0.0.1:PORT".
	asio::awaitable<std::shared_ptr<http::upstream>> open(asio::io_context& loop, std::string address, std::string body)
	{
		auto const port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
		http::endpoint const where{"127.0.0.1", port};
		auto const connection = std::make_shared<http::upstream>(loop.get_executor(), where);
		auto const is_open = co_await connection->connect(read_timeout);
		REQUIRE(is_open);
		http::request message{"POST", "/", {{"Host", "a"}}, std::move(body)};
		connection->send(message);
		auto const head = co_await connection->read_head(read_timeout);
		REQUIRE(std::holds_alternative<http::response>(head));
		co_return connection;
	}
}

TEST_CASE("an answer whose reading was interrupted is read on", "[interrupted_reads]")
{
	// Before the read, in the middle of it, or not at all.
	auto const interrupts = GENERATE(0, 1, 2);
	asio::io_context loop{1};
	pausing_server server(loop, beginning, rest, silence);
	asio::steady_timer timer(loop);
	auto const address = server.address();
	auto const play = [&]() -> asio::awaitable<std::string>
	{
		std::string const no_body;
		auto const connection = co_await open(loop, address, no_body);
		auto const first = co_await connection->read_piece(read_timeout);
		auto text = std::get<std::string>(first);
		if (interrupts == 1)
		{
			REQUIRE(connection->interrupt());
		}
		if (interrupts == 2)
		{
			timer.expires_after(time_to_interrupt);
			timer.async_wait([connection](boost::system::error_code const&) { CHECK(connection->interrupt()); });
		}
		if (interrupts > 0)
		{
			auto const interrupted = co_await connection->read_piece(read_timeout);
			REQUIRE(std::get<upstream_failure>(interrupted) == upstream_failure::interrupted);
		}
		auto const later = co_await connection->read_rest(read_timeout, 1000);
		text += std::get<std::string>(later);
		co_return text;
	};
	CHECK(run_to_end(loop, play()) == "firstsecond");
}

TEST_CASE("an interruption that was taken back ends no read", "[interrupted_reads]")
{
	asio::io_context loop{1};
	pausing_server server(loop, beginning, rest, silence);
	auto const address = server.address();
	auto const play = [&]() -> asio::awaitable<std::string>
	{
		std::string const no_body;
		auto const connection = co_await open(loop, address, no_body);
		REQUIRE(connection->interrupt());
		connection->cancel_interruption();
		auto const whole = co_await connection->read_rest(read_timeout, 1000);
		co_return std::get<std::string>(whole);
	};
	CHECK(run_to_end(loop, play()) == "firstsecond");
}

TEST_CASE("a request that is still being sent can't be interrupted", "[interrupted_reads]")
{
	constexpr std::size_t more_than_is_buffered = 64'000'000;
	asio::io_context loop{1};
	// It reads the beginning of a request only.
	pausing_server server(loop, beginning, rest, silence);
	auto const address = server.address();
	auto const play = [&]() -> asio::awaitable<bool>
	{
		std::string const body(more_than_is_buffered, 'x');
		auto const connection = co_await open(loop, address, body);
		co_return connection->interrupt();
	};
	CHECK_FALSE(run_to_end(loop, play()));
}
