#include <catch2/catch.hpp>

#include <string>

#include "gateway_fixture.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	// Larger than what is buffered before an answer is passed on.
	constexpr std::size_t sent_bytes = 400'000;
	constexpr std::size_t stated_bytes = 500'000;

	// The first part of an answer that the server breaks off.
	std::string broken_answer(std::string const& status)
	{
		auto const whole = http_answer(status, attempt_header + mac_header, std::string(stated_bytes, 'a'));
		return whole.substr(0, whole.size() - (stated_bytes - sent_bytes));
	}
}

// The call went to another server, whose answer could not reach the caller or was joined to the first one's.
TEST_CASE("an answer of which a part was passed on is broken off and not begun again", "[large_answers]")
{
	auto const kind = GENERATE(routing::call_kind::idempotent, routing::call_kind::streaming);
	gateway_fixture fixture(make_route(kind, 2, kind == routing::call_kind::streaming));
	auto const is_stream = kind == routing::call_kind::streaming;
	auto const role = is_stream ? routing::server_role::decode : routing::server_role::plain;
	auto const status = is_stream ? "404 Not Found" : "200 OK";
	fixed_response_server const first(
		fixture.loop, broken_answer(status), fixed_response_server::after_response::closes);
	fixed_response_server const second(
		fixture.loop, broken_answer(status), fixed_response_server::after_response::closes);
	fixture.add_server("a", first.address(), role);
	fixture.add_server("b", second.address(), role);
	auto const received = fixture.send_request("POST", seconds(5));
	CHECK(received.starts_with(std::string("HTTP/1.1 ") + status));
	CHECK_FALSE(is_complete_stream(received));
	CHECK(first.received().size() + second.received().size() == 1);
}
