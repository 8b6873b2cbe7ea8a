#include <catch2/catch.hpp>

#include <string>
#include <string_view>

#include "gateway_fixture.hpp"
#include "scripted_http_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	// Sends a request, closes the sending side as soon as the server has it, and returns all bytes that are received.
	std::string send_and_close_half(gateway_fixture& fixture, scripted_http_server& backend)
	{
		asio::io_context callers;
		tcp::socket socket(callers);
		socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), fixture.caller_listener.port()));
		asio::write(socket, asio::buffer(std::string_view("POST /x/y HTTP/1.1\r\nHost: a.example\r\nAttempt: r1\r\n"
														  "Time-Left-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi")));
		fixture.run_until([&] { return !backend.calls().empty(); });
		socket.shutdown(tcp::socket::shutdown_send);
		fixture.run_until([&] { return fixture.request_forwarder.running() == 0; });
		fixture.run_until([&] { return fixture.caller_listener.connections() == 0; });
		boost::system::error_code error;
		std::string received;
		asio::read(socket, asio::dynamic_buffer(received), error);
		return received;
	}
}

// A caller that closes its sending side behind its request was taken for one that is gone.
TEST_CASE("a booking that was passed on is answered although the caller has closed its sending side", "[half_closed]")
{
	auto route = make_route(routing::call_kind::non_idempotent, 1, false);
	route.timeout = milliseconds(300);
	gateway_fixture fixture(route);
	// The server never answers, so the answer comes long after the caller's end.
	scripted_http_server backend({});
	fixture.add_server("a", http::to_string(backend.listen_address()));
	REQUIRE(send_and_close_half(fixture, backend).starts_with("HTTP/1.1 504"));
}

TEST_CASE("a lookup whose caller has closed its sending side is given up", "[half_closed]")
{
	gateway_fixture fixture(make_route(routing::call_kind::idempotent, 1, false));
	scripted_http_server backend({});
	fixture.add_server("a", http::to_string(backend.listen_address()));
	REQUIRE(send_and_close_half(fixture, backend).empty());
}
