#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <string>

#include "gateway_fixture.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	// A server with a handler of the test's, and what it has reported.
	class reporting_server
	{
	  public:
		explicit reporting_server(http::handler handle)
			: server(this->loop.get_executor(), {"127.0.0.1", 0}, {}, std::move(handle),
				  {{}, [this](std::string_view error)
					  {
						  this->errors.emplace_back(error);
					  }})
		{
			this->server.start();
		}

		// Sends one request and returns all bytes that are received until the connection closes.
		[[nodiscard]] std::string send_request()
		{
			tcp::socket socket(this->callers);
			socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), this->server.port()));
			asio::write(
				socket, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")));
			socket.non_blocking(true);
			std::string received;
			boost::system::error_code error;
			constexpr int max_turns = 4000;
			for (int turn = 0; turn < max_turns && error != asio::error::eof; ++turn)
			{
				this->loop.restart();
				this->loop.run_for(milliseconds(5));
				asio::read(socket, asio::dynamic_buffer(received), error);
			}
			return received;
		}

		asio::io_context callers;
		asio::io_context loop{1};
		std::vector<std::string> errors;
		http::server server;
	};

	bool has_event(std::vector<decide::record_event> const& events, std::string_view name, std::string_view request)
	{
		return std::ranges::any_of(events,
			[&](decide::record_event const& each) { return each.name == name && each.request.str() == request; });
	}
}

// An exception in a request's handler closed its connection without an answer or a line, and its count stayed.
TEST_CASE("a request whose handler throws is answered with 500", "[exceptions]")
{
	reporting_server server(
		[](http::request, http::exchange&) -> asio::awaitable<void>
		{
			throw std::runtime_error("no memory");
			co_return;
		});
	REQUIRE(server.send_request().starts_with("HTTP/1.1 500"));
	REQUIRE(server.errors == std::vector<std::string>{"no memory"});
	REQUIRE(server.server.connections() == 0);
}

TEST_CASE("an answer whose handler throws after its head is broken off", "[exceptions]")
{
	reporting_server server(
		[](http::request, http::exchange& http_exchange) -> asio::awaitable<void>
		{
			http::response head;
			std::ignore = co_await http_exchange.begin_stream(std::move(head));
			throw std::runtime_error("no memory");
		});
	auto const received = server.send_request();
	REQUIRE(received.starts_with("HTTP/1.1 200"));
	REQUIRE_FALSE(is_complete_stream(received));
	REQUIRE(server.errors.size() == 1);
	REQUIRE(server.server.connections() == 0);
}

TEST_CASE("a request that the gateway can't serve because of an exception is answered and counted off", "[exceptions]")
{
	auto protocol = make_test_protocol();
	protocol.read_answer = [](http::response const&) -> gateway::answer_metadata
	{
		throw std::runtime_error("no memory");
	};
	gateway_fixture fixture(make_route(routing::call_kind::idempotent, 2, false), {}, std::move(protocol));
	fixed_response_server const backend(fixture.loop, http_answer("200 OK", attempt_header + mac_header, "done"),
		fixed_response_server::after_response::stays_silent);
	fixture.add_server("a", backend.address());
	REQUIRE(fixture.send_request().starts_with("HTTP/1.1 500"));
	REQUIRE(fixture.request_forwarder.running() == 0);
	REQUIRE(has_event(fixture.events, "request_failed_internally", "r1"));
}

TEST_CASE("a stream that waits for memory leaves the queue when an exception ends it", "[exceptions]")
{
	auto protocol = make_test_protocol();
	protocol.reserve = [](server_id const&, token_count, duration) -> http::request
	{
		throw std::runtime_error("no memory");
	};
	gateway_fixture fixture(
		make_route(routing::call_kind::streaming, 2, true), make_reserving_service(), std::move(protocol));
	fixed_response_server const backend(fixture.loop, http_answer("200 OK", attempt_header + mac_header, "done"),
		fixed_response_server::after_response::stays_silent);
	fixture.add_server("a", backend.address(), routing::server_role::decode);
	REQUIRE(fixture.send_request().starts_with("HTTP/1.1 500"));
	REQUIRE(fixture.shared.stream_queue.size() == 0);
	REQUIRE(fixture.request_forwarder.running() == 0);
}
