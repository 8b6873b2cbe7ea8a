#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <godwittrestle/gateway/connection_pool.hpp>

#include "gateway_fixture.hpp"
#include "scripted_http_server.hpp"
#include "streaming_servers.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using boost::asio::ip::tcp;
using gateway::connection_pool;
using gateway::connection_preference;
using gateway::server_connection;

// Connections to servers, and what is known of the processes that hold them.
namespace
{
	constexpr duration max_idle = seconds(30);
	constexpr duration answer_time = seconds(10);
	constexpr std::size_t max_body_bytes = 100;
	constexpr auto token = boost::asio::as_tuple(boost::asio::use_awaitable);

	// A pool with connections to one server that answers every call.
	struct pool_fixture
	{
		[[nodiscard]] routing::registered_server make_entry(std::uint64_t started) const
		{
			routing::registered_server entry;
			entry.id = server_id("d1");
			entry.role = routing::server_role::decode;
			entry.address = http::to_string(this->server.listen_address());
			entry.started = incarnation(started);
			return entry;
		}

		// Takes a connection and makes one call on it, so that it can be used again.
		[[nodiscard]] server_connection take(routing::registered_server const& entry,
			connection_preference preference = connection_preference::latest, std::size_t limit = 10)
		{
			return run_to_end(this->loop, this->take_and_call(entry, preference, limit));
		}

		boost::asio::io_context loop{1};
		int opened = 0;
		int idle_ends = 0;
		scripted_http_server server{std::deque<std::string>(20, http_answer("200 OK", "", "ok"))};
		connection_pool pool{this->loop.get_executor(), [this](server_id const&, bool) { ++this->opened; },
			[this](server_id const&)
			{
				++this->idle_ends;
			}};

	  private:
		[[nodiscard]] boost::asio::awaitable<server_connection> take_and_call(
			routing::registered_server entry, connection_preference preference, std::size_t limit)
		{
			auto taken = co_await this->pool.acquire(entry, limit, max_idle, answer_time, preference);
			if (taken)
			{
				taken.stream->send({"GET", "/", {{"Host", "d1"}}, ""});
				std::ignore = co_await taken.stream->read_head(answer_time);
				std::ignore = co_await taken.stream->read_rest(answer_time, max_body_bytes);
			}
			co_return taken;
		}
	};

	// An engine that grants reservations, on the loop of a test. Another process takes its place when it has answered a
	// number of reservations.
	class reserving_engine
	{
	  public:
		reserving_engine(boost::asio::io_context& used, int last_reservation)
			: loop(&used)
			, reservations_left(last_reservation)
		{
			this->listen(0);
		}

		[[nodiscard]] routing::registered_server entry() const
		{
			routing::registered_server entry;
			entry.id = server_id("engine");
			entry.service = service_id("s");
			entry.address = http::to_string({"127.0.0.1", this->listener->port()});
			entry.role = routing::server_role::decode;
			entry.started = incarnation(1);
			return entry;
		}

		// The reservations that came with streams; empty for a stream without one.
		[[nodiscard]] std::vector<std::string> const& streams() const noexcept
		{
			return this->received;
		}

		[[nodiscard]] std::uint64_t start() const noexcept
		{
			return this->starts;
		}

	  private:
		void listen(unsigned short port)
		{
			this->listener =
				std::make_unique<http::server>(this->loop->get_executor(), http::endpoint{"127.0.0.1", port},
					http::server_limits{}, [this](http::request message, http::exchange& http_exchange)
					{ return this->serve(std::move(message), http_exchange); });
			this->listener->start();
		}

		void replace_process()
		{
			auto const port = this->listener->port();
			this->listener->stop();
			++this->starts;
			this->listen(port);
		}

		boost::asio::awaitable<void> serve(http::request message, http::exchange& http_exchange)
		{
			http::response answer;
			if (message.path() == "/report")
			{
				answer.body = fmt::format("{};", this->starts);
			}
			else if (message.path().starts_with("/reserve/"))
			{
				answer.body = fmt::format("of-{}", this->starts);
				if (--this->reservations_left == 0)
				{
					this->replace_process();
				}
			}
			else if (message.method == "POST")
			{
				this->received.push_back(message.find_header("Reservation"));
				answer.headers = {{"Attempt", message.find_header("Attempt")}, {"Content-Type", "text/event-stream"}};
				answer.body = "id: 1\ndata: done\n\n";
			}
			std::ignore = co_await http_exchange.reply(std::move(answer));
		}

		boost::asio::io_context* loop;
		int reservations_left;
		std::uint64_t starts = 1;
		std::vector<std::string> received;
		std::unique_ptr<http::server> listener;
	};

	// An engine whose connections stay open when its process ends, as on a path on which the end has not arrived yet.
	// What comes on them then is lost.
	class engine_with_unseen_ends
	{
	  public:
		explicit engine_with_unseen_ends(boost::asio::io_context& loop)
			: acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
		{
			boost::asio::co_spawn(loop, this->accept(), boost::asio::detached);
		}

		// Returns the entry of the present process.
		[[nodiscard]] routing::registered_server entry() const
		{
			routing::registered_server entry;
			entry.id = server_id("engine");
			entry.service = service_id("s");
			entry.address = http::to_string({"127.0.0.1", this->acceptor.local_endpoint().port()});
			entry.role = routing::server_role::decode;
			entry.started = incarnation(this->starts);
			return entry;
		}

		void replace_process() noexcept
		{
			++this->starts;
		}

		// Returns the number of streams that the present process has made.
		[[nodiscard]] int streams() const noexcept
		{
			return this->stream_count;
		}

	  private:
		boost::asio::awaitable<void> accept()
		{
			for (;;)
			{
				auto [error, connection] = co_await this->acceptor.async_accept(token);
				if (error)
				{
					co_return;
				}
				boost::asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(connection), this->starts),
					boost::asio::detached);
			}
		}

		boost::asio::awaitable<void> serve(tcp::socket connection, std::uint64_t own_start)
		{
			std::array<char, 65536> received{};
			for (;;)
			{
				auto const [error, size] = co_await connection.async_read_some(boost::asio::buffer(received), token);
				if (error)
				{
					co_return;
				}
				if (own_start != this->starts)
				{
					continue;
				}
				auto const is_report = std::string_view(received.data(), size).starts_with("GET /report");
				this->stream_count += is_report ? 0 : 1;
				auto const answer = is_report ? http_answer("200 OK", "", fmt::format("{};", own_start))
											  : stream_answer("id: 1\ndata: x\n\n", true);
				std::ignore = co_await boost::asio::async_write(connection, boost::asio::buffer(answer), token);
			}
		}

		tcp::acceptor acceptor;
		std::uint64_t starts = 1;
		int stream_count = 0;
	};

	// Returns the value of a field of an event; empty when it has none.
	[[nodiscard]] std::string field_of(decide::record_event const& event, std::string_view name)
	{
		auto const found = std::ranges::find(event.fields, name, &decide::event_field::name);
		return found == event.fields.end() ? std::string() : found->value;
	}

	// Returns the events of a name that a forwarder has logged.
	[[nodiscard]] std::vector<decide::record_event> events_named(gateway_fixture const& fixture, std::string_view name)
	{
		std::vector<decide::record_event> found;
		std::ranges::copy_if(fixture.events, std::back_inserter(found),
			[name](decide::record_event const& each) { return each.name == name; });
		return found;
	}

	// Returns a protocol whose streams name their reservations.
	[[nodiscard]] gateway::call_protocol make_reserving_protocol()
	{
		auto protocol = make_test_protocol();
		protocol.write_call = [write = protocol.write_call](
								  http::request const& original, gateway::send_options const& options)
		{
			auto message = write(original, options);
			if (options.reservation)
			{
				message.headers.push_back({"Reservation", *options.reservation});
			}
			return message;
		};
		return protocol;
	}
}

TEST_CASE("a pool keeps the start that was stated on a connection", "[connection_holders]")
{
	pool_fixture fixture;
	auto const entry = fixture.make_entry(5);
	auto taken = fixture.take(entry);
	REQUIRE(taken);
	REQUIRE_FALSE(taken.holder);
	auto const asked_at = daemon::monotonic_now();
	taken.holder = incarnation(5);
	taken.asked_at = asked_at;
	fixture.pool.release(entry, taken);
	auto const again = fixture.take(entry);
	REQUIRE(again.stream == taken.stream);
	REQUIRE(again.holder == incarnation(5));
	REQUIRE(again.asked_at == asked_at);
}

TEST_CASE("a connection whose process is known is taken first where that matters", "[connection_holders]")
{
	pool_fixture fixture;
	auto const entry = fixture.make_entry(5);
	auto known = fixture.take(entry);
	auto const unknown = fixture.take(entry);
	known.holder = incarnation(5);
	fixture.pool.release(entry, known);
	fixture.pool.release(entry, unknown);
	auto const latest = fixture.take(entry);
	REQUIRE(latest.stream == unknown.stream);
	fixture.pool.release(entry, latest);
	REQUIRE(fixture.take(entry, connection_preference::known_holder).stream == known.stream);
	REQUIRE(fixture.take(entry, connection_preference::known_holder).stream == unknown.stream);
	REQUIRE(fixture.opened == 2);
}

TEST_CASE("a connection of a process that has ended is closed when it is returned", "[connection_holders]")
{
	pool_fixture fixture;
	auto const entry = fixture.make_entry(5);
	auto taken = fixture.take(entry);
	taken.holder = incarnation(4);
	fixture.pool.release(entry, taken);
	REQUIRE(fixture.pool.idle_connections() == 0);
	REQUIRE_FALSE(taken.stream->is_reusable());
	auto later = fixture.take(entry);
	later.holder = incarnation(6);
	fixture.pool.release(entry, later);
	REQUIRE(fixture.pool.idle_connections() == 1);
}

TEST_CASE("connections of an earlier process are dropped when the new one's entry is read", "[connection_holders]")
{
	pool_fixture fixture;
	auto const before = fixture.make_entry(5);
	auto idle = fixture.take(before);
	auto used = fixture.take(before);
	idle.holder = incarnation(5);
	used.holder = incarnation(5);
	fixture.pool.release(before, idle);
	auto const after = fixture.make_entry(6);
	auto const fresh = fixture.take(after, connection_preference::known_holder);
	REQUIRE(fresh.stream != idle.stream);
	REQUIRE_FALSE(fresh.holder);
	fixture.pool.release(before, used);
	REQUIRE(fixture.pool.idle_connections() == 0);
	REQUIRE_FALSE(used.stream->is_reusable());
}

TEST_CASE("a pool opens no more connections than the limit, known or not", "[connection_holders]")
{
	pool_fixture fixture;
	auto const entry = fixture.make_entry(5);
	auto const only = fixture.take(entry, connection_preference::known_holder, 1);
	REQUIRE(only);
	REQUIRE_FALSE(fixture.take(entry, connection_preference::known_holder, 1));
	fixture.pool.release(entry, only);
	REQUIRE(fixture.take(entry, connection_preference::known_holder, 1).stream == only.stream);
	REQUIRE(fixture.opened == 1);
}

// A server that has closed its side only would still read what is sent, and answer nothing.
TEST_CASE("a connection that the server has half closed is not used again", "[connection_holders]")
{
	boost::asio::io_context loop{1};
	tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
	int idle_ends = 0;
	connection_pool pool(loop.get_executor(), [](server_id const&, bool) {}, [&](server_id const&) { ++idle_ends; });
	auto entry = pool_fixture().make_entry(5);
	entry.address = http::to_string({"127.0.0.1", acceptor.local_endpoint().port()});
	auto taken = run_to_end(loop, pool.acquire(entry, 2, max_idle, answer_time));
	REQUIRE(taken);
	auto peer = acceptor.accept();
	taken.stream->send({"GET", "/", {{"Host", "d1"}}, ""});
	boost::asio::write(peer, boost::asio::buffer(http_answer("200 OK", "", "ok")));
	std::ignore = run_to_end(loop, taken.stream->read_head(answer_time));
	std::ignore = run_to_end(loop, taken.stream->read_rest(answer_time, max_body_bytes));
	taken.holder = incarnation(5);
	pool.release(entry, taken);
	REQUIRE(pool.idle_connections() == 1);
	peer.shutdown(tcp::socket::shutdown_send);
	while (taken.stream->is_open_without_data())
	{
		std::this_thread::yield();
	}
	auto const next =
		run_to_end(loop, pool.acquire(entry, 2, max_idle, answer_time, connection_preference::known_holder));
	REQUIRE(next);
	REQUIRE(next.stream != taken.stream);
	REQUIRE_FALSE(next.holder);
	REQUIRE(idle_ends == 1);
}

// A server that another one has followed at its address gets nothing, new streams included.
TEST_CASE("a stream is not sent to an address where another server answers", "[connection_holders]")
{
	gateway_fixture fixture(make_route(routing::call_kind::streaming, 2, true));
	scripted_http_server other(
		std::deque<std::string>(20, http_answer("421 Misdirected", "Answered-By: other\r\n", "")));
	routing::registered_server entry;
	entry.id = server_id("engine");
	entry.service = service_id("s");
	entry.address = http::to_string(other.listen_address());
	entry.role = routing::server_role::decode;
	entry.started = incarnation(1);
	fixture.shared.servers.put(entry);
	auto const answer = fixture.send_request();
	CAPTURE(answer);
	auto const calls = other.calls();
	REQUIRE(std::ranges::count(calls, "GET /report") > 0);
	REQUIRE(std::ranges::none_of(calls, [](std::string const& each) { return each.starts_with("POST"); }));
	REQUIRE(answer.starts_with("HTTP/1.1 503"));
}

// A report that comes late is not lost: its connection is the next stream's, and nobody asks again.
TEST_CASE("a connection whose report came late is kept with its process", "[connection_holders]")
{
	// Longer than a stream waits, shorter than a report may take.
	constexpr std::chrono::milliseconds report_delay{500};
	streaming_server engine("engine", "v1");
	engine.set_report_delay(report_delay);
	gateway_fixture fixture(make_route(routing::call_kind::streaming, 2, true));
	fixture.shared.servers.put(engine.entry());
	auto const first = fixture.send_request();
	CAPTURE(first);
	REQUIRE(first.find(fmt::format("id: {}\n", events_per_stream)) != std::string::npos);
	fixture.run_until([&] { return !events_named(fixture, "server_connection_holder").empty(); });
	auto const second = fixture.send_request();
	CAPTURE(second);
	auto const sent = events_named(fixture, "stream_sent");
	REQUIRE(sent.size() == 2);
	REQUIRE(field_of(sent.front(), "holder") == "unknown");
	REQUIRE(field_of(sent.back(), "holder") == "1");
	REQUIRE(field_of(events_named(fixture, "server_connection_holder").front(), "answered") == "yes");
}

// Guards against a reservation that is sent to a process which has never granted it (COUNT).
TEST_CASE("a reservation is not sent to another process than granted it", "[connection_holders]")
{
	// The reservation of the stream, and the one that checks for spare memory.
	constexpr int reservations = 2;
	gateway_fixture fixture(
		make_route(routing::call_kind::streaming, 2, true), make_reserving_service(), make_reserving_protocol());
	reserving_engine const engine(fixture.loop, reservations);
	fixture.shared.servers.put(engine.entry());
	auto const answer = fixture.send_request();
	CAPTURE(answer);
	REQUIRE(engine.start() == 2);
	REQUIRE(answer.find("data: done") != std::string::npos);
	REQUIRE(std::ranges::count(engine.streams(), "of-1") == 0);
	REQUIRE(std::ranges::count(fixture.events, "stream_reservation_dropped", &decide::record_event::name) == 1);
}

// Guards against a prefill in vain: the stream waits for it with a connection of a process that ends meanwhile.
TEST_CASE("a stream takes another connection when the entry of a later process is read before it is sent",
	"[connection_holders]")
{
	gateway_fixture fixture(make_route(routing::call_kind::streaming, 2, true));
	engine_with_unseen_ends engine(fixture.loop);
	int prefills = 0;
	http::server prefill_engine(fixture.loop.get_executor(), {"127.0.0.1", 0}, {},
		[&](http::request const& message, http::exchange& http_exchange) -> boost::asio::awaitable<void>
		{
			if (!message.find_header("Only-Prefill").empty())
			{
				++prefills;
				engine.replace_process();
				fixture.shared.servers.put(engine.entry());
			}
			http::response answer;
			answer.headers = {{"Attempt", message.find_header("Attempt")}};
			answer.body = "handle";
			std::ignore = co_await http_exchange.reply(std::move(answer));
		});
	prefill_engine.start();
	fixture.shared.servers.put(engine.entry());
	fixture.add_server("p", http::to_string({"127.0.0.1", prefill_engine.port()}), routing::server_role::prefill);
	auto const answer = fixture.send_request();
	CAPTURE(answer);
	REQUIRE(prefills == 1);
	REQUIRE(answer.find("id: 1\n") != std::string::npos);
	REQUIRE(engine.streams() == 1);
}

TEST_CASE("a reservation is sent to the process that granted it", "[connection_holders]")
{
	constexpr int never = 0;
	gateway_fixture fixture(
		make_route(routing::call_kind::streaming, 2, true), make_reserving_service(), make_reserving_protocol());
	reserving_engine const engine(fixture.loop, never);
	fixture.shared.servers.put(engine.entry());
	auto const answer = fixture.send_request();
	CAPTURE(answer);
	REQUIRE(engine.streams() == std::vector<std::string>{"of-1"});
}

// Guards against a stream that can't begin while a late report holds one of the two connections that a daemon may open
// at least (LOST).
TEST_CASE("a new stream begins at an engine with few connections and a late report", "[connection_holders]")
{
	constexpr std::chrono::milliseconds report_delay{20'000};
	streaming_server engine("engine", "v1");
	engine.set_report_delay(report_delay);
	routing::service service;
	service.max_connections = 1;
	auto route = make_route(routing::call_kind::streaming, 2, true);
	route.timeout = seconds(14);
	gateway_fixture fixture(std::move(route), service);
	fixture.shared.servers.put(engine.entry());
	auto const answer = fixture.send_request("POST", seconds(14));
	CAPTURE(answer);
	REQUIRE(answer.find(fmt::format("id: {}\n", events_per_stream)) != std::string::npos);
}
