#include <catch2/catch.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/gateway/forwarder.hpp>

#include "plain_protocol.hpp"
#include "scripted_calls.hpp"
#include "scripted_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::call_kind;
using routing::server_role;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;
	using ending = scripted_server::ending;

	constexpr auto token = asio::as_tuple(asio::use_awaitable);
	std::string const echo = "Attempt: r1\r\n";
	std::string const seal = "Server-Mac: s1\r\n";

	// A forwarder behind a listening socket, with the servers that a test adds.
	class scene
	{
	  public:
		explicit scene(routing::route route, routing::service service = {})
			: forward(this->loop.get_executor(), this->shared, make_plain_protocol(), this->totals,
				  [](decide::record_event const&) {})
			, front(this->loop.get_executor(), {"127.0.0.1", 0}, {}, [this](http::request message, http::exchange& talk)
				  { return this->forward.serve(std::move(message), talk); })
		{
			routing::configuration config;
			config.version = platform_version(1);
			config.routes = {std::move(route)};
			config.services = {{service_id("s"), std::move(service)}};
			this->shared.routes = std::make_shared<routing::route_table const>(std::move(config));
			this->shared.retries = {0.2, seconds(10), 50};
			this->front.start();
		}

		void add(std::string name, std::string address, server_role role = server_role::plain)
		{
			routing::registered_server server;
			server.id = server_id(std::move(name));
			server.service = service_id("s");
			server.address = std::move(address);
			server.role = role;
			this->shared.servers.put(server);
		}

		// Sends one request and returns all that comes back until the connection closes.
		[[nodiscard]] std::string ask(std::string const& method = "POST", duration time_left = milliseconds(1400))
		{
			return run_to_end(this->loop, this->exchange(request_text(method, time_left)));
		}

		// Sends one request without a limit of its own and closes the connection once a condition holds.
		template <typename Condition>
		void ask_and_leave(Condition condition)
		{
			tcp::socket socket(this->loop);
			socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), this->front.port()));
			asio::write(socket, asio::buffer(request_text("POST", seconds(1000))));
			this->run_until(condition);
			socket.close();
		}

		// Runs the loop until a condition holds; fails by exception after a generous time.
		template <typename Condition>
		void run_until(Condition condition)
		{
			auto const ends_at = daemon::monotonic_now() + seconds(60);
			this->loop.restart();
			while (!condition())
			{
				if (daemon::monotonic_now() > ends_at)
				{
					throw std::runtime_error("what was waited for did not come");
				}
				this->loop.run_for(std::chrono::milliseconds(5));
			}
		}

		asio::io_context loop{1};
		gateway::shared_state shared;
		gateway::counters totals;
		gateway::forwarder forward;
		http::server front;

	  private:
		static std::string request_text(std::string const& method, duration time_left)
		{
			return fmt::format("{} /x/y HTTP/1.1\r\nHost: a.example\r\nAttempt: r1\r\n"
							   "Time-Left-Ms: {}\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
				method, std::chrono::floor<std::chrono::milliseconds>(time_left).count());
		}

		asio::awaitable<std::string> exchange(std::string text)
		{
			tcp::socket socket(this->loop);
			tcp::endpoint const where(asio::ip::make_address("127.0.0.1"), this->front.port());
			std::ignore = co_await socket.async_connect(where, token);
			std::ignore = co_await asio::async_write(socket, asio::buffer(text), token);
			std::string received;
			auto buffer = asio::dynamic_buffer(received);
			std::ignore = co_await asio::async_read(socket, buffer, token);
			co_return received;
		}
	};

	std::string stream_answer(std::string const& events, bool is_whole)
	{
		return fmt::format(
			"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}{}Transfer-Encoding: chunked\r\n\r\n"
			"{:x}\r\n{}\r\n{}",
			echo, seal, events.size(), events, is_whole ? "0\r\n\r\n" : "");
	}

	bool is_whole_stream(std::string const& answer)
	{
		return answer.ends_with("0\r\n\r\n");
	}
}

TEST_CASE("a server's answer is passed on with its status, its MAC and its body", "[gateway]")
{
	scene scene(make_route(call_kind::non_idempotent, 1, false));
	scripted_server server(scene.loop, http_answer("201 Created", echo + seal, "done"), ending::stays_silent);
	scene.add("a", server.address());
	auto const answer = scene.ask();
	REQUIRE(answer.starts_with("HTTP/1.1 201"));
	REQUIRE(answer.find("Server-Mac: s1") != std::string::npos);
	REQUIRE(answer.ends_with("\r\n\r\ndone"));
	REQUIRE(server.received().front().find("For-Server: a") != std::string::npos);
}

TEST_CASE("a booking whose answer is lost is sent once and never said not to have run", "[gateway]")
{
	std::vector<std::string> const answers{"", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", "nonsense",
		http_answer("503 Service Unavailable", echo, "")};
	for (auto const& text : answers)
	{
		CAPTURE(text);
		scene scene(make_route(call_kind::non_idempotent, 2, false));
		scripted_server first(scene.loop, text, ending::closes);
		scripted_server second(scene.loop, text, ending::closes);
		scene.add("a", first.address());
		scene.add("b", second.address());
		REQUIRE(scene.ask().starts_with("HTTP/1.1 502"));
		REQUIRE(first.received().size() + second.received().size() == 1);
	}
}

TEST_CASE("a booking that a silent server keeps ends at the route's timeout with 504", "[gateway]")
{
	scene scene(make_route(call_kind::non_idempotent, 2, false));
	scripted_server server(scene.loop, "", ending::stays_silent);
	scene.add("a", server.address());
	REQUIRE(scene.ask().starts_with("HTTP/1.1 504"));
	REQUIRE(server.received().size() == 1);
}

TEST_CASE("a call that no server took is refused at once, with when to come back", "[gateway]")
{
	scene scene(make_route(call_kind::non_idempotent, 1, false));
	SECTION("no server is known")
	{
	}
	SECTION("nothing listens")
	{
		scene.add("a", refused_address(scene.loop));
	}
	scripted_server full(
		scene.loop, http_answer("503 Service Unavailable", echo + "Not-Run: 1\r\n", ""), ending::closes);
	SECTION("the server says that it did not run it")
	{
		scene.add("a", full.address());
	}
	scripted_server other(scene.loop, http_answer("421 Misdirected Request", "", ""), ending::closes);
	SECTION("another server has the address")
	{
		scene.add("a", other.address());
	}
	auto const answer = scene.ask();
	REQUIRE(answer.starts_with("HTTP/1.1 503"));
	REQUIRE(answer.find("Retry-After: 0.") != std::string::npos);
}

TEST_CASE("a server that says that it leaves gets nothing more, whatever the registry says", "[gateway]")
{
	scene scene(make_route(call_kind::idempotent, 2, false));
	scripted_server leaving(scene.loop, http_answer("200 OK", echo + seal + "Leaving: 1\r\n", "last"), ending::closes);
	scene.add("a", leaving.address());
	REQUIRE(scene.ask("GET").ends_with("last"));
	REQUIRE(scene.ask("GET").starts_with("HTTP/1.1 503"));
	REQUIRE(leaving.received().size() == 1);
}

TEST_CASE("a server that asked for a pause gets nothing meanwhile, and callers come back after it", "[gateway]")
{
	scene scene(make_route(call_kind::idempotent, 2, false));
	scripted_server full(scene.loop,
		http_answer("503 Service Unavailable", echo + "Not-Run: 1\r\nPause-Ms: 60000\r\n", ""), ending::closes);
	scene.add("a", full.address());
	for (int turn = 0; turn < 3; ++turn)
	{
		auto const answer = scene.ask("GET");
		REQUIRE(answer.starts_with("HTTP/1.1 503"));
		REQUIRE(answer.find("Retry-After: 0.") != std::string::npos);
	}
	REQUIRE(full.received().size() == 1);
}

TEST_CASE("a lookup is given to another server when the first fails", "[gateway]")
{
	std::vector<std::string> const failures{"", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		http_answer("500 Internal Server Error", echo, ""), http_answer("503 Service Unavailable", echo, "")};
	for (auto const& text : failures)
	{
		CAPTURE(text);
		scene scene(make_route(call_kind::idempotent, 2, false));
		scripted_server bad(scene.loop, text, ending::closes);
		scripted_server good(scene.loop, http_answer("200 OK", echo + seal, "found"), ending::closes);
		scene.add("a", bad.address());
		scene.add("b", good.address());
		// Whichever is asked first, the caller gets the good answer.
		REQUIRE(scene.ask("GET").ends_with("found"));
	}
}

TEST_CASE("an answer to an earlier request is passed over", "[gateway]")
{
	scene scene(make_route(call_kind::non_idempotent, 1, false));
	auto const stray = http_answer("200 OK", "Attempt: r0\r\n" + seal, "not yours");
	auto const own = http_answer("200 OK", echo + seal, "yours");
	scripted_server server(scene.loop, stray + own, ending::stays_silent);
	scene.add("a", server.address());
	REQUIRE(scene.ask().ends_with("\r\n\r\nyours"));
}

TEST_CASE("a resumable stream goes on at another server, each event once", "[gateway]")
{
	scene scene(make_route(call_kind::streaming, 2, true));
	scripted_server breaks(scene.loop, stream_answer("id: 1\ndata: x\n\nid: 2\nda", false), ending::closes);
	scripted_server goes_on(scene.loop, stream_answer("id: 2\ndata: y\n\nid: 3\ndata: z\n\n", true), ending::closes);
	scene.add("a", breaks.address(), server_role::decode);
	scene.add("b", goes_on.address(), server_role::decode);
	// The engine that goes on is asked second: it has more work.
	scene.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	auto const answer = scene.ask();
	REQUIRE(is_whole_stream(answer));
	REQUIRE(answer.find("id: 1\ndata: x\n\n") != std::string::npos);
	REQUIRE(answer.find("id: 2\ndata: y\n\nid: 3\ndata: z\n\n") != std::string::npos);
	REQUIRE(answer.find("id: 2") == answer.rfind("id: 2"));
	REQUIRE(goes_on.received().front().find("Last-Event-Id: 1\r\n") != std::string::npos);
}

TEST_CASE("a stream that goes on elsewhere fetches its prompt from the engine that has read it", "[gateway]")
{
	scene scene(make_route(call_kind::streaming, 2, true));
	scripted_server prefills(scene.loop, http_answer("200 OK", echo, "h1"), ending::stays_silent);
	scripted_server breaks(scene.loop, stream_answer("id: 1\ndata: x\n\n", false), ending::closes);
	scripted_server goes_on(scene.loop, stream_answer("id: 2\ndata: y\n\n", true), ending::closes);
	scene.add("p", prefills.address(), server_role::prefill);
	scene.add("a", breaks.address(), server_role::decode);
	scene.add("b", goes_on.address(), server_role::decode);
	scene.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	REQUIRE(is_whole_stream(scene.ask()));
	REQUIRE(prefills.received().size() == 1);
	REQUIRE(breaks.received().front().find("Take: h1\r\n") != std::string::npos);
	auto const& resumed = goes_on.received().front();
	REQUIRE(resumed.find("Take: ") == std::string::npos);
	REQUIRE(resumed.find("Fetch-From: " + prefills.address() + "\r\n") != std::string::npos);
}

TEST_CASE("an engine without a margin besides the stream's own need gets no stream", "[gateway]")
{
	routing::service service;
	service.engine = routing::engine_properties{};
	service.engine->kv_capacity = token_count(1000);
	service.engine->longest_reservation = seconds(1);
	auto route = make_route(call_kind::streaming, 2, true);
	// A stream that is late already leaves more to the others.
	auto const is_late = GENERATE(false, true);
	route.objective = is_late ? milliseconds(0) : milliseconds(1000);
	scene scene(route, service);
	auto const kept = [](std::string const& name)
	{
		return http_answer("200 OK", "", name);
	};
	auto const full = http_answer("503 Service Unavailable", "", "");
	scripted_calls engine({kept("h1"), full, kept("dropped"), full, full});
	scene.add("a", http::to_string(engine.where()), server_role::decode);
	REQUIRE(scene.ask().starts_with("HTTP/1.1 503"));
	auto const calls = engine.calls();
	REQUIRE(calls.size() >= 3);
	REQUIRE(calls[0] == "POST /reserve/0");
	REQUIRE(calls[1] == (is_late ? "POST /reserve/6" : "POST /reserve/3"));
	REQUIRE(calls[2] == "DELETE /reserved/h1");
	// Nothing but reservations was sent.
	REQUIRE(
		std::ranges::none_of(calls, [](std::string const& each) { return each.find("/x/y") != std::string::npos; }));
}

TEST_CASE("a daemon that stops turns a stream away that it can't finish, and others take it at once", "[gateway]")
{
	// Streams of this service take 4 s; the daemon is told to stop and has 7 s in all.
	auto const left = GENERATE(milliseconds(6900), milliseconds(3900));
	auto const has_others = GENERATE(true, false);
	scene scene(make_route(call_kind::streaming, 2, true));
	scripted_server server(scene.loop, stream_answer("id: 1\n\n", true), ending::closes);
	scene.add("a", server.address(), server_role::decode);
	auto& seen = scene.shared.observed[service_id("s")];
	for (int stream = 0; stream < 8; ++stream)
	{
		seen.demand.note_duration(token_count(1), milliseconds(4000));
	}
	scene.shared.daemon_count = has_others ? 8 : 1;
	scene.shared.shutdown_deadline = daemon::monotonic_now() + left;
	auto const answer = scene.ask();
	if (has_others && left < seconds(5))
	{
		REQUIRE(answer.starts_with("HTTP/1.1 503"));
		REQUIRE(answer.find("Retry-After: 0.020\r\n") != std::string::npos);
		REQUIRE(server.received().empty());
	}
	else
	{
		REQUIRE(answer.starts_with("HTTP/1.1 200"));
		REQUIRE(is_whole_stream(answer));
	}
}

TEST_CASE("an engine that keeps room and rejects the stream is taken to change its role", "[gateway]")
{
	// Whether the prompt was read apart: then its KV cache may be what the engine lacks.
	auto const is_apart = GENERATE(false, true);
	routing::service service;
	service.engine = routing::engine_properties{};
	service.engine->kv_capacity = token_count(1000);
	service.engine->longest_reservation = seconds(1);
	scene scene(make_route(call_kind::streaming, 1, false), service);
	auto const kept = http_answer("200 OK", "", "h1");
	auto const rejected = http_answer("503 Service Unavailable", echo + "Not-Run: 1\r\n", "");
	scripted_calls engine({kept, kept, rejected, rejected, rejected, rejected});
	scripted_server reader(scene.loop, http_answer("200 OK", echo, "k1"), ending::stays_silent);
	scene.add("a", http::to_string(engine.where()), server_role::decode);
	if (is_apart)
	{
		scene.add("p", reader.address(), server_role::prefill);
	}
	auto const answer = scene.ask();
	CAPTURE(is_apart, answer, engine.calls());
	REQUIRE(answer.starts_with("HTTP/1.1 503"));
	auto const first = scene.shared.servers.find(server_id("a"));
	REQUIRE(first->is_changing_role(daemon::monotonic_now()) != is_apart);
}

TEST_CASE("a server that answers for itself but in another role is not taken for gone", "[gateway]")
{
	scene scene(make_route(call_kind::non_idempotent, 1, false));
	scripted_server server(
		scene.loop, http_answer("421 Misdirected Request", "Answered-By: a\r\n", ""), ending::closes);
	scene.add("a", server.address());
	REQUIRE(scene.ask().starts_with("HTTP/1.1 503"));
	REQUIRE_FALSE(scene.shared.servers.find(server_id("a"))->is_replaced);
}

TEST_CASE(
	"bytes that are no answer end the connection, however many there are, and another server is asked", "[gateway]")
{
	constexpr std::size_t many = 8'000'000;
	auto const endless = GENERATE_COPY(
		// A head, a chunk's size line and an event that do not end; interim answers without a final one.
		"HTTP/1.1 200 OK\r\nX-Long: " + std::string(many, 'x'),
		"HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n5;e=" + std::string(many, 'x'),
		"HTTP/1.1 200 OK\r\n" + echo + fmt::format("Content-Length: {}\r\n\r\n", many) + std::string(many, 'x'),
		[]
		{
			std::string interim;
			for (int answer = 0; answer < 10'000; ++answer)
			{
				interim += "HTTP/1.1 102 Processing\r\n\r\n";
			}
			return interim;
		}());
	auto route = make_route(call_kind::streaming, 2, true);
	// Longer than the test waits: only the bytes themselves end the first attempt.
	route.timeout = seconds(1000);
	route.longest_gap = seconds(1000);
	scene scene(route);
	scripted_server bad(scene.loop, endless, ending::stays_silent);
	scripted_server good(scene.loop, stream_answer("id: 1\ndata: x\n\n", true), ending::closes);
	scene.add("a", bad.address(), server_role::decode);
	scene.add("b", good.address(), server_role::decode);
	scene.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	auto const answer = scene.ask("POST", seconds(1000));
	REQUIRE(is_whole_stream(answer));
	REQUIRE(answer.find("data: x") != std::string::npos);
	REQUIRE(bad.received().size() == 1);
}

TEST_CASE("a stream of which only bytes come now and then is given to another server", "[gateway]")
{
	auto route = make_route(call_kind::streaming, 2, true);
	route.timeout = seconds(1000);
	scene scene(route);
	// Comments keep coming, events do not.
	dripping_server drips(scene.loop,
		"HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x\n\n\r\n",
		"5\r\n: y\n\n\r\n", milliseconds(100));
	scripted_server good(scene.loop, stream_answer("id: 2\ndata: z\n\n", true), ending::closes);
	scene.add("a", drips.address(), server_role::decode);
	scene.add("b", good.address(), server_role::decode);
	scene.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	REQUIRE(is_whole_stream(scene.ask("POST", seconds(1000))));
	REQUIRE(good.received().size() == 1);
}

TEST_CASE("a caller that leaves stops the server's work", "[gateway]")
{
	auto const kind = GENERATE(call_kind::idempotent, call_kind::streaming);
	auto route = make_route(kind, 1, true);
	// Longer than the test waits: nothing but the caller's leaving ends the work.
	route.timeout = seconds(1000);
	scene scene(route);
	scripted_calls server({});
	scene.add(
		"a", http::to_string(server.where()), kind == call_kind::streaming ? server_role::decode : server_role::plain);
	scene.ask_and_leave([&] { return !server.calls().empty(); });
	scene.run_until([&] { return server.closed() > 0 && scene.forward.running() == 0; });
	REQUIRE(server.calls().size() == 1);
}

TEST_CASE("a begun stream gets no second answer when it can't go on", "[gateway]")
{
	scene scene(make_route(call_kind::streaming, 2, true));
	scripted_server breaks(scene.loop, stream_answer("id: 1\ndata: x\n\n", false), ending::closes);
	scripted_server refuses(scene.loop, http_answer("404 Not Found", echo + seal, "gone"), ending::closes);
	scene.add("a", breaks.address(), server_role::decode);
	scene.add("b", refuses.address(), server_role::decode);
	scene.shared.servers.find(server_id("b"))->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
	auto const answer = scene.ask();
	REQUIRE(answer.find("id: 1\ndata: x\n\n") != std::string::npos);
	CAPTURE(answer);
	REQUIRE_FALSE(is_whole_stream(answer));
	REQUIRE(answer.find("404") == std::string::npos);
}

TEST_CASE("a stream that must not be repeated is broken off, not run again", "[gateway]")
{
	scene scene(make_route(call_kind::streaming, 2, false));
	scripted_server first(scene.loop, stream_answer("id: 1\ndata: x\n\n", false), ending::closes);
	scripted_server second(scene.loop, stream_answer("id: 1\ndata: x\n\n", false), ending::closes);
	scene.add("a", first.address(), server_role::decode);
	scene.add("b", second.address(), server_role::decode);
	REQUIRE_FALSE(is_whole_stream(scene.ask()));
	REQUIRE(first.received().size() + second.received().size() == 1);
}

TEST_CASE("a stream without any engine is refused at once", "[gateway]")
{
	scene scene(make_route(call_kind::streaming, 2, true));
	REQUIRE(scene.ask().starts_with("HTTP/1.1 503"));
}

TEST_CASE("what no route matches is 404, and before any configuration 503", "[gateway]")
{
	scene scene(make_route(call_kind::idempotent, 1, false));
	scene.shared.routes = std::make_shared<routing::route_table const>(routing::configuration{});
	REQUIRE(scene.ask().starts_with("HTTP/1.1 404"));
	scene.shared.routes.reset();
	REQUIRE(scene.ask().starts_with("HTTP/1.1 503"));
}
