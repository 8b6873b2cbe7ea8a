#include <functional>
#include <memory>

#include <catch2/catch.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/socket.h>

#include <godwittrestle/gateway/fingerprints.hpp>

#include "gateway_fixture.hpp"
#include "scripted_http_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::call_kind;
using routing::server_role;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;
	using after_response = fixed_response_server::after_response;

	// The fixture's requests end with these bytes.
	constexpr std::string_view end_of_request = "\r\n\r\nhi";

	// Returns the text of an event with an id.
	std::string event(std::string const& id, std::string const& text)
	{
		return "id: " + id + "\ndata: " + text + "\n\n";
	}

	// Returns events with the ids, which all hold the text.
	std::string events(std::vector<int> const& ids, std::string const& text)
	{
		std::string all;
		for (auto const id : ids)
		{
			all += event(std::to_string(id), text);
		}
		return all;
	}

	// Returns the lines of an answer that hold an id or data, in order.
	std::vector<std::string> event_lines(std::string_view answer)
	{
		std::vector<std::string> lines;
		while (!answer.empty())
		{
			auto const line = answer.substr(0, answer.find('\n'));
			answer.remove_prefix(std::min(answer.size(), line.size() + 1));
			if (line.starts_with("id: ") || line.starts_with("data: "))
			{
				lines.emplace_back(line);
			}
		}
		return lines;
	}

	// Decode engines that are asked in the order in which they were added.
	class engine_row
	{
	  public:
		explicit engine_row(bool resumable = true)
			: fixture(route_with_timeout(resumable))
		{
		}

		fixed_response_server& add(std::string const& answer, after_response after = after_response::closes)
		{
			this->engines.push_back(std::make_unique<fixed_response_server>(this->fixture.loop, answer, after));
			this->add_address(this->engines.back()->address());
			return *this->engines.back();
		}

		void add_address(std::string const& address)
		{
			++this->count;
			auto const name = "e" + std::to_string(this->count);
			this->fixture.add_server(name, address, server_role::decode);
			auto const load = routing::server_share{this->count, 0, 100 * this->count};
			this->fixture.shared.servers.find(server_id(name))
				->load.set_share(instance_id("o"), load, daemon::monotonic_now());
		}

		// Sends a request that goes on after the event and returns the whole answer. The stream began at the software
		// version of the engines.
		std::string take_up(std::string const& last_event)
		{
			routing::known_stream const begun{
				{service_id("s"), software_version()}, daemon::monotonic_now(), instance_id("d1")};
			this->fixture.shared.origins.note(gateway::fingerprint_of(request_id("r0")), begun);
			return run_to_end(this->fixture.loop, this->exchange(last_event));
		}

		gateway_fixture fixture;

	  private:
		// Returns a route whose timeout leaves time to go on after a server was silent.
		static routing::route route_with_timeout(bool resumable)
		{
			auto result = make_route(call_kind::streaming, 3, resumable);
			result.timeout = seconds(5);
			return result;
		}

		asio::awaitable<std::string> exchange(std::string last_event)
		{
			constexpr auto token = asio::as_tuple(asio::use_awaitable);
			tcp::socket socket(this->fixture.loop);
			tcp::endpoint const listen_address(
				asio::ip::make_address("127.0.0.1"), this->fixture.caller_listener.port());
			std::ignore = co_await socket.async_connect(listen_address, token);
			auto const text = fmt::format("POST /x/y HTTP/1.1\r\nHost: a.example\r\nAttempt: r1\r\nResumes: r0\r\n"
										  "Last-Event-Id: {}\r\nTime-Left-Ms: 1400\r\nContent-Length: 2\r\n"
										  "Connection: close\r\n\r\nhi",
				last_event);
			std::ignore = co_await asio::async_write(socket, asio::buffer(text), token);
			std::string received;
			auto buffer = asio::dynamic_buffer(received);
			std::ignore = co_await asio::async_read(socket, buffer, token);
			co_return received;
		}

		std::uint64_t count = 0;
		std::vector<std::unique_ptr<fixed_response_server>> engines;
	};

	// A server that sends the beginning of an answer, is silent for a while and then sends the rest.
	class pausing_server
	{
	  public:
		pausing_server(asio::io_context& loop, std::string beginning, std::string rest, std::chrono::milliseconds pause)
			: acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
			, socket(loop)
		{
			asio::co_spawn(loop, this->serve(std::move(beginning), std::move(rest), pause), asio::detached);
		}

		[[nodiscard]] std::string address() const
		{
			return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
		}

		// Returns whether the peer has closed or reset the connection.
		[[nodiscard]] bool is_closed_by_peer()
		{
			char byte = 0;
			auto const size = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
			return size == 0 || (size < 0 && errno != EAGAIN);
		}

		bool has_sent_rest = false;

	  private:
		asio::awaitable<void> serve(std::string beginning, std::string rest, std::chrono::milliseconds pause)
		{
			constexpr auto token = asio::as_tuple(asio::use_awaitable);
			std::ignore = co_await this->acceptor.async_accept(this->socket, token);
			std::string request;
			auto buffer = asio::dynamic_buffer(request);
			std::ignore = co_await asio::async_read_until(this->socket, buffer, end_of_request, token);
			std::ignore = co_await asio::async_write(this->socket, asio::buffer(beginning), token);
			asio::steady_timer timer(this->acceptor.get_executor(), pause);
			std::ignore = co_await timer.async_wait(token);
			std::ignore = co_await asio::async_write(this->socket, asio::buffer(rest), token);
			this->has_sent_rest = true;
		}

		tcp::acceptor acceptor;
		tcp::socket socket;
	};

	// A server that calls a function when a request arrives and answers with fixed bytes.
	class observing_server
	{
	  public:
		observing_server(asio::io_context& loop, std::string answer, std::function<void()> on_request)
			: acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
		{
			asio::co_spawn(loop, this->serve(std::move(answer), std::move(on_request)), asio::detached);
		}

		[[nodiscard]] std::string address() const
		{
			return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
		}

	  private:
		asio::awaitable<void> serve(std::string answer, std::function<void()> on_request)
		{
			constexpr auto token = asio::as_tuple(asio::use_awaitable);
			tcp::socket socket(this->acceptor.get_executor());
			std::ignore = co_await this->acceptor.async_accept(socket, token);
			std::string request;
			auto buffer = asio::dynamic_buffer(request);
			std::ignore = co_await asio::async_read_until(socket, buffer, end_of_request, token);
			on_request();
			std::ignore = co_await asio::async_write(socket, asio::buffer(answer), token);
		}

		tcp::acceptor acceptor;
	};

	// Returns a text as one chunk of an answer.
	std::string chunk(std::string const& text)
	{
		return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
	}
}

TEST_CASE("an answer that does not go on at the next event is not joined to the stream", "[stream_joins]")
{
	auto const second =
		GENERATE(as<std::string>{}, events({8, 9}, "late"), events({7}, "late"), events({1, 2, 3, 4, 5, 6, 7}, "other"),
			events({4, 5, 6}, "other"), events({5, 6}, "other"), event("x1", "other"), "data: other\n\n");
	CAPTURE(second);
	SECTION("another server goes on")
	{
		engine_row row;
		row.add(stream_answer(events({1, 2, 3, 4, 5}, "x"), false));
		auto& wrong = row.add(stream_answer(second, true));
		auto& sound = row.add(stream_answer(events({6, 7}, "x"), true));
		auto const answer = row.fixture.send_request();
		CAPTURE(answer);
		REQUIRE(wrong.received().size() == 1);
		REQUIRE(sound.received().size() == 1);
		REQUIRE(event_lines(answer) == event_lines(events({1, 2, 3, 4, 5, 6, 7}, "x")));
		REQUIRE(is_complete_stream(answer));
	}
	SECTION("no other server goes on")
	{
		engine_row row;
		row.add(stream_answer(events({1, 2, 3, 4, 5}, "x"), false));
		row.add(stream_answer(second, true));
		auto const answer = row.fixture.send_request();
		CAPTURE(answer);
		REQUIRE(event_lines(answer) == event_lines(events({1, 2, 3, 4, 5}, "x")));
		REQUIRE_FALSE(is_complete_stream(answer));
	}
}

TEST_CASE(
	"events before one that is out of order reach the caller, and the stream goes on after them", "[stream_joins]")
{
	engine_row row;
	row.add(stream_answer(events({1, 2, 3}, "x") + events({2, 3}, "other"), true));
	auto& second = row.add(stream_answer(events({4}, "x") + events({3}, "other"), true));
	auto& third = row.add(stream_answer(events({5}, "x"), true));
	auto const answer = row.fixture.send_request();
	CAPTURE(answer);
	REQUIRE(event_lines(answer) == event_lines(events({1, 2, 3, 4, 5}, "x")));
	REQUIRE(is_complete_stream(answer));
	REQUIRE(second.received().at(0).find("Last-Event-Id: 3\r\n") != std::string::npos);
	REQUIRE(third.received().at(0).find("Last-Event-Id: 4\r\n") != std::string::npos);
}

TEST_CASE("engines are told that a stream that goes on comes first, where priorities differ", "[stream_joins]")
{
	auto const do_differ = GENERATE(true, false);
	engine_row row;
	routing::configuration config;
	config.routes = {make_route(call_kind::streaming, 3, true), make_route(call_kind::streaming, 3, true)};
	config.routes.front().priority = 2;
	config.routes.back().priority = do_differ ? 3 : 2;
	config.routes.back().prefix = "/other/";
	config.services = {{service_id("s"), {}}};
	row.fixture.shared.routes = std::make_shared<routing::route_table const>(std::move(config));
	auto& first = row.add(stream_answer(events({1, 2, 3}, "x"), false));
	auto& second = row.add(stream_answer(events({4}, "x"), true));
	auto const answer = row.fixture.send_request();
	CAPTURE(answer);
	REQUIRE(is_complete_stream(answer));
	REQUIRE((first.received().at(0).find("Rank: 3\r\n") != std::string::npos) == do_differ);
	REQUIRE((second.received().at(0).find("Rank: 0\r\n") != std::string::npos) == do_differ);
}

TEST_CASE("a stream whose numbers go back and that may run once is broken off", "[stream_joins]")
{
	engine_row row(false);
	row.add(stream_answer(events({1, 2, 3}, "x") + events({2, 3, 4}, "other"), true));
	auto& second = row.add(stream_answer(events({4}, "x"), true));
	auto const answer = row.fixture.send_request();
	REQUIRE(event_lines(answer) == event_lines(events({1, 2, 3}, "x")));
	REQUIRE_FALSE(is_complete_stream(answer));
	REQUIRE(second.received().empty());
}

TEST_CASE("a stream whose last event has no id is broken off, since no run can go on after it", "[stream_joins]")
{
	auto const first = GENERATE(as<std::string>{}, "data: x\n\ndata: y\n\n", "id: 1\ndata: x\n\ndata: y\n\n");
	engine_row row;
	row.add(stream_answer(first, false));
	auto& second = row.add(stream_answer("id: 1\ndata: x\n\ndata: y\n\ndata: z\n\n", true));
	auto const answer = row.fixture.send_request();
	REQUIRE(event_lines(answer) == event_lines(first));
	REQUIRE_FALSE(is_complete_stream(answer));
	REQUIRE(second.received().empty());
}

TEST_CASE("a run that goes on at the next event is joined, whatever the ids", "[stream_joins]")
{
	using pair = std::pair<std::string, std::string>;
	auto const [first, second] = GENERATE(table<std::string, std::string>({
		pair(events({1, 2, 3}, "x"), events({4, 5}, "y")),
		pair(events({10, 20, 30}, "x"), events({40, 50}, "y")),
		// The last event of a stream may hold less than the others.
		pair(events({4, 8, 12}, "x"), events({14}, "y")),
		pair(events({3, 7, 20}, "x"), events({28, 90}, "y")),
		pair(event("1f", "x") + event("20", "x"), event("21", "y") + event("2a", "y")),
		pair(": note\n\n" + events({1, 2, 3}, "x"), ": note\n\n" + events({4}, "y")),
	}));
	engine_row row;
	row.add(stream_answer(first, false));
	row.add(stream_answer(second, true));
	auto const answer = row.fixture.send_request();
	CAPTURE(answer);
	REQUIRE(event_lines(answer) == event_lines(first + second));
	REQUIRE(is_complete_stream(answer));
}

TEST_CASE("a run that repeats the last event and then goes on is joined without the repeated event", "[stream_joins]")
{
	engine_row row;
	row.add(stream_answer(events({1, 2, 3}, "x"), false));
	row.add(stream_answer(events({3}, "x") + events({4}, "y"), true));
	auto const answer = row.fixture.send_request();
	REQUIRE(event_lines(answer) == event_lines(events({1, 2, 3}, "x") + events({4}, "y")));
	REQUIRE(is_complete_stream(answer));
}

TEST_CASE("an answer that begins anew is not the rest of the stream that a caller takes up", "[stream_joins]")
{
	engine_row row;
	auto& anew = row.add(stream_answer(events({1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}, "other"), true));
	row.add(stream_answer(events({13, 14}, "x"), true));
	auto const answer = row.take_up("12");
	CAPTURE(answer);
	REQUIRE(anew.received().size() == 1);
	REQUIRE(event_lines(answer) == event_lines(events({13, 14}, "x")));
	REQUIRE(is_complete_stream(answer));
}

TEST_CASE("an answer on a route whose streams may not be resumed is passed on whole", "[stream_joins]")
{
	engine_row row(false);
	auto const whole = events({1, 2, 3}, "x");
	auto& first = row.add(stream_answer(whole, true));
	auto& second = row.add(stream_answer(whole, true));
	auto const answer = row.take_up("2");
	CAPTURE(answer);
	REQUIRE(event_lines(answer) == event_lines(whole));
	REQUIRE(is_complete_stream(answer));
	REQUIRE(first.received().size() + second.received().size() == 1);
}

TEST_CASE("a stream that a caller takes up on a route that may not resume is not sent again", "[stream_joins]")
{
	engine_row row(false);
	row.add(stream_answer(events({3, 4}, "x"), false));
	auto& second = row.add(stream_answer(events({5}, "x"), true));
	auto const answer = row.take_up("2");
	CAPTURE(answer);
	REQUIRE(event_lines(answer) == event_lines(events({3, 4}, "x")));
	REQUIRE_FALSE(is_complete_stream(answer));
	REQUIRE(second.received().empty());
}

TEST_CASE("a configuration that ends resumption changes nothing for a stream that runs", "[stream_joins]")
{
	engine_row row;
	row.add(stream_answer(events({1, 2}, "x"), false));
	auto const deny_resumption = [&row]
	{
		routing::configuration config;
		config.version = platform_version(2);
		config.routes = {make_route(call_kind::streaming, 3, false)};
		config.services = {{service_id("s"), {}}};
		row.fixture.shared.routes = std::make_shared<routing::route_table const>(std::move(config));
	};
	observing_server second(row.fixture.loop, stream_answer(events({3}, "x"), false), deny_resumption);
	row.add_address(second.address());
	row.add(stream_answer(events({4}, "x"), true));
	auto const answer = row.fixture.send_request();
	CAPTURE(answer);
	REQUIRE(event_lines(answer) == event_lines(events({1, 2, 3, 4}, "x")));
	REQUIRE(is_complete_stream(answer));
}

TEST_CASE(
	"late events of a server that was silent do not reach the caller once another server goes on", "[stream_joins]")
{
	engine_row row;
	pausing_server silent(row.fixture.loop, stream_answer(events({1, 2, 3}, "x"), false),
		chunk(events({4, 5}, "late")) + "0\r\n\r\n", std::chrono::milliseconds(1700));
	row.add_address(silent.address());
	auto was_closed = false;
	auto was_early = false;
	// The silent server is left once the second one has accepted the stream.
	constexpr std::chrono::milliseconds time_to_close(50);
	asio::steady_timer closed(row.fixture.loop);
	auto const note_state = [&]
	{
		closed.expires_after(time_to_close);
		closed.async_wait(
			[&](boost::system::error_code const& /*error*/)
			{
				was_closed = silent.is_closed_by_peer();
				was_early = !silent.has_sent_rest;
			});
	};
	// The stream goes on before the silent server sends its late events, and ends at the third server after them.
	observing_server second(row.fixture.loop, stream_answer(events({4}, "x"), false), note_state);
	row.add_address(second.address());
	pausing_server third(row.fixture.loop, stream_answer(events({5}, "x"), false),
		chunk(events({6}, "x")) + "0\r\n\r\n", std::chrono::milliseconds(500));
	row.add_address(third.address());
	auto const answer = row.fixture.send_request("POST", seconds(5));
	CAPTURE(answer);
	REQUIRE(was_closed);
	REQUIRE(was_early);
	REQUIRE(silent.has_sent_rest);
	REQUIRE(event_lines(answer) == event_lines(events({1, 2, 3, 4, 5, 6}, "x")));
	REQUIRE(is_complete_stream(answer));
}

TEST_CASE("a stream waits for a server that is silent for a second and goes on", "[stream_joins]")
{
	engine_row row(GENERATE(true, false));
	pausing_server silent(row.fixture.loop, stream_answer(events({1, 2, 3}, "x"), false),
		chunk(events({4, 5}, "x")) + "0\r\n\r\n", std::chrono::milliseconds(1000));
	row.add_address(silent.address());
	auto& second = row.add(stream_answer(events({4, 5}, "other"), true));
	auto const answer = row.fixture.send_request("POST", seconds(5));
	CAPTURE(answer);
	REQUIRE(event_lines(answer) == event_lines(events({1, 2, 3, 4, 5}, "x")));
	REQUIRE(is_complete_stream(answer));
	REQUIRE(second.received().empty());
}

TEST_CASE("a stream that may run once waits for its server, however long that is silent", "[stream_joins]")
{
	engine_row row(false);
	pausing_server silent(row.fixture.loop, stream_answer(events({1, 2, 3}, "x"), false),
		chunk(events({4, 5}, "x")) + "0\r\n\r\n", std::chrono::milliseconds(2500));
	row.add_address(silent.address());
	auto& second = row.add(stream_answer(events({4, 5}, "other"), true));
	auto const answer = row.fixture.send_request("POST", seconds(5));
	CAPTURE(answer);
	REQUIRE(event_lines(answer) == event_lines(events({1, 2, 3, 4, 5}, "x")));
	REQUIRE(is_complete_stream(answer));
	REQUIRE(second.received().empty());
}
