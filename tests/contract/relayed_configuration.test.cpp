#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "gateway_fixture.hpp"
#include "pausing_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// A configuration that takes the route and the service of a request away while another daemon serves it.
namespace
{
	using routing::call_kind;

	constexpr duration request_timeout = seconds(10);
	constexpr duration silence = milliseconds(700);
	constexpr duration taken_after = milliseconds(300);

	constexpr std::string_view stream_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt: r1\r\n"
											 "Server-Mac: s1\r\nTransfer-Encoding: chunked\r\n\r\n";
	constexpr std::string_view first_event = "f\r\nid: 1\ndata: x\n\n\r\n";
	constexpr std::string_view second_event = "f\r\nid: 2\ndata: y\n\n\r\n";
	constexpr std::string_view stream_end = "0\r\n\r\n";

	routing::route make_relayed_route(call_kind kind)
	{
		auto route = make_route(kind, 2, kind == call_kind::streaming);
		route.timeout = request_timeout;
		route.caller_patience = request_timeout;
		return route;
	}

	// A daemon that reaches no server, with other daemons that the test provides.
	class relaying_daemon
	{
	  public:
		explicit relaying_daemon(call_kind kind)
			: fixture(make_relayed_route(kind))
			, taking(fixture.loop, taken_after)
		{
			this->fixture.shared.is_cut_off = true;
			this->taking.async_wait([this](boost::system::error_code const& /*error*/) { this->take_route_away(); });
		}

		void add_other(std::string name, std::string address)
		{
			auto const now = daemon::monotonic_now();
			instance_id const id(std::move(name));
			this->fixture.shared.live_daemons.push_back({id, incarnation(1), "", now});
			this->fixture.shared.relays.note({id, incarnation(1), std::move(address), false, now});
		}

		gateway_fixture fixture;
		bool is_taken = false;

	  private:
		void take_route_away()
		{
			routing::configuration config;
			config.version = platform_version(2);
			this->fixture.shared.routes = std::make_shared<routing::route_table const>(std::move(config));
			this->is_taken = true;
		}

		boost::asio::steady_timer taking;
	};

	// Sends one request of a kind that another daemon answers after a silence, during which its route is taken away.
	void check_answer(call_kind kind)
	{
		auto const is_stream = kind == call_kind::streaming;
		relaying_daemon daemon(kind);
		auto const first = is_stream ? std::string(stream_head) + std::string(first_event) : std::string();
		auto const second = is_stream ? std::string(second_event) + std::string(stream_end)
									  : http_answer("200 OK", attempt_header + mac_header, "whole");
		pausing_server other(daemon.fixture.loop, first, second, silence);
		daemon.add_other("other", other.address());
		auto const answer = daemon.fixture.send_request("POST", request_timeout);
		CAPTURE(answer);
		CHECK(daemon.is_taken);
		CHECK(answer.starts_with("HTTP/1.1 200"));
		CHECK((is_stream ? is_complete_stream(answer) : answer.ends_with("whole")));
		CHECK(other.calls() == 1);
	}
}

TEST_CASE(
	"a request that another daemon serves is answered whole though its route is taken away", "[relayed_configuration]")
{
	check_answer(GENERATE(call_kind::non_idempotent, call_kind::streaming));
}

// Guards against an idempotent request that is given up since the only other daemon is silent for a moment (LOST).
TEST_CASE("an idempotent request that the only other daemon serves is answered whole", "[relayed_silent_daemon]")
{
	check_answer(call_kind::idempotent);
}

TEST_CASE("a stream that another daemon breaks off goes on at a third one though its route was taken away",
	"[relayed_configuration]")
{
	relaying_daemon daemon(call_kind::streaming);
	pausing_server breaks(daemon.fixture.loop, std::string(stream_head) + std::string(first_event), "", silence);
	daemon.add_other("breaks", breaks.address());
	// The third daemon is known only when the second has the request.
	pausing_server goes_on(daemon.fixture.loop,
		std::string(stream_head) + std::string(second_event) + std::string(stream_end), "", milliseconds(1));
	boost::asio::steady_timer joins(daemon.fixture.loop, taken_after);
	joins.async_wait(
		[&](boost::system::error_code const& /*error*/) { daemon.add_other("goes_on", goes_on.address()); });
	auto const answer = daemon.fixture.send_request("POST", request_timeout);
	CAPTURE(answer);
	CHECK(daemon.is_taken);
	CHECK(is_complete_stream(answer));
	CHECK(answer.find("id: 2\n") != std::string::npos);
	CHECK(breaks.calls() == 1);
	CHECK(goes_on.calls() == 1);
}
