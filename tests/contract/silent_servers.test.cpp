#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "gateway_fixture.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// Sound servers that fall silent for a moment while no other server can take their requests.
namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;
	using routing::call_kind;
	using routing::server_role;

	constexpr auto token = asio::as_tuple(asio::use_awaitable);
	constexpr duration stream_timeout = seconds(14);

	// A server that sends the second part of its answer after a time of silence.
	class pausing_server
	{
	  public:
		pausing_server(asio::io_context& loop, std::string first_part, std::string second_part, duration silence_time)
			: acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
			, first(std::move(first_part))
			, second(std::move(second_part))
			, silence(silence_time)
		{
			asio::co_spawn(loop, this->accept(), asio::detached);
		}

		[[nodiscard]] std::string address() const
		{
			return http::to_string({"127.0.0.1", this->acceptor.local_endpoint().port()});
		}

		[[nodiscard]] int calls() const noexcept
		{
			return this->received;
		}

	  private:
		asio::awaitable<void> accept()
		{
			while (true)
			{
				auto [error, socket] = co_await this->acceptor.async_accept(token);
				if (error)
				{
					co_return;
				}
				asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), asio::detached);
			}
		}

		asio::awaitable<void> serve(tcp::socket socket)
		{
			constexpr std::size_t max_request_bytes = 4096;
			std::array<char, max_request_bytes> request{};
			auto const [error, size] = co_await socket.async_read_some(asio::buffer(request), token);
			if (error)
			{
				co_return;
			}
			++this->received;
			std::ignore = co_await asio::async_write(socket, asio::buffer(this->first), token);
			asio::steady_timer timer(socket.get_executor(), this->silence);
			std::ignore = co_await timer.async_wait(token);
			std::ignore = co_await asio::async_write(socket, asio::buffer(this->second), token);
		}

		tcp::acceptor acceptor;
		std::string first;
		std::string second;
		duration silence;
		int received = 0;
	};

	std::string const events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

	routing::route make_stream_route(std::uint32_t max_servers)
	{
		auto route = make_route(call_kind::streaming, max_servers, true);
		route.timeout = stream_timeout;
		route.caller_patience = seconds(4);
		return route;
	}

	// Returns a stream's answer up to and including its first event, and the rest.
	std::pair<std::string, std::string> stream_parts()
	{
		auto const first = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + attempt_header + mac_header +
						   "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n";
		return {first, "f\r\nid: 2\ndata: y\n\n\r\n0\r\n\r\n"};
	}
}

// Guards against silent_only_engine: a time limit that lets another engine take the stream although there is none.
TEST_CASE("a stream waits for its only engine that is silent before its head", "[silent_servers]")
{
	gateway_fixture fixture(make_stream_route(2));
	pausing_server engine(fixture.loop, "", stream_answer(events, true), milliseconds(1000));
	fixture.add_server("a", engine.address(), server_role::decode);
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_complete_stream(answer));
	CHECK(engine.calls() == 1);
}

TEST_CASE("a stream that may go to one engine waits for it though there are two", "[silent_servers]")
{
	gateway_fixture fixture(make_stream_route(1));
	pausing_server first(fixture.loop, "", stream_answer(events, true), milliseconds(1000));
	pausing_server second(fixture.loop, "", stream_answer(events, true), milliseconds(1000));
	fixture.add_server("a", first.address(), server_role::decode);
	fixture.add_server("b", second.address(), server_role::decode);
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_complete_stream(answer));
	CHECK(first.calls() + second.calls() == 1);
}

TEST_CASE("a stream waits for its only engine that is silent between two events", "[silent_servers]")
{
	auto const silence = GENERATE(milliseconds(1000), milliseconds(2000));
	gateway_fixture fixture(make_stream_route(2));
	auto const [first, second] = stream_parts();
	pausing_server engine(fixture.loop, first, second, silence);
	fixture.add_server("a", engine.address(), server_role::decode);
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_complete_stream(answer));
	CHECK(answer.find("id: 2\n") != std::string::npos);
	CHECK(engine.calls() == 1);
}

TEST_CASE("a plain call waits for its only server that is silent before its head", "[silent_servers]")
{
	auto const kind = GENERATE(call_kind::idempotent, call_kind::non_idempotent);
	gateway_fixture fixture(make_route(kind, 2, false));
	pausing_server server(
		fixture.loop, "", http_answer("200 OK", attempt_header + mac_header, "whole"), milliseconds(1000));
	fixture.add_server("a", server.address());
	auto const answer = fixture.send_request();
	CAPTURE(answer);
	CHECK(answer.starts_with("HTTP/1.1 200"));
	CHECK(answer.ends_with("whole"));
	CHECK(server.calls() == 1);
}

TEST_CASE("requests go to another server, if there is one, before a silent one answers", "[silent_servers]")
{
	auto const kind = GENERATE(call_kind::idempotent, call_kind::streaming);
	auto const is_stream = kind == call_kind::streaming;
	gateway_fixture fixture(is_stream ? make_stream_route(2) : make_route(kind, 2, false));
	auto const text =
		is_stream ? stream_answer(events, true) : http_answer("200 OK", attempt_header + mac_header, "whole");
	pausing_server silent(fixture.loop, "", text, stream_timeout);
	pausing_server sound(fixture.loop, text, "", milliseconds(1));
	auto const role = is_stream ? server_role::decode : server_role::plain;
	fixture.add_server("a", silent.address(), role);
	fixture.add_server("b", sound.address(), role);
	// More work of others at the sound server makes the silent one the first choice.
	fixture.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	auto const answer = fixture.send_request("POST", is_stream ? stream_timeout : milliseconds(1400));
	CAPTURE(answer);
	CHECK(answer.starts_with("HTTP/1.1 200"));
	CHECK(silent.calls() == 1);
	CHECK(sound.calls() == 1);
}
