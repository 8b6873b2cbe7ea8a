#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/gateway/serving_thread.hpp>
#include <godwittrestle/http/server.hpp>

#include "gateway_fixture.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// What callers get when the configuration in force changes while their requests are in hand. The limits of time are
// those of the routes, which are far longer than what the tests wait for.
namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;
	using routing::call_kind;

	constexpr auto token = asio::as_tuple(asio::use_awaitable);
	constexpr duration long_time = seconds(40);
	constexpr duration poll_interval = milliseconds(5);

	// Waits until the condition holds. Throws std::runtime_error after 60 s.
	void wait_until(std::function<bool()> const& condition)
	{
		auto const give_up_at = daemon::monotonic_now() + seconds(60);
		while (!condition())
		{
			if (daemon::monotonic_now() > give_up_at)
			{
				throw std::runtime_error("the condition did not hold within 60 s");
			}
			std::this_thread::sleep_for(poll_interval);
		}
	}

	// A server that the test holds: it sends the head of a plain answer, and all events of a stream but the first, only
	// after it has been let go. It grants reservations only while it has room, and rejects streams while it has none.
	class held_server
	{
	  public:
		explicit held_server(std::string name, routing::server_role given_role = routing::server_role::decode)
			: id(std::move(name))
			, role(given_role)
			, server(this->thread.context().get_executor(), http::endpoint{"127.0.0.1", 0}, http::server_limits{},
				  [this](http::request message, http::exchange& http_exchange)
				  { return this->serve(std::move(message), http_exchange); })
		{
			this->server.start();
			this->thread.start();
		}

		~held_server()
		{
			this->thread.stop();
		}

		held_server(held_server const&) = delete;
		held_server& operator=(held_server const&) = delete;
		held_server(held_server&&) = delete;
		held_server& operator=(held_server&&) = delete;

		[[nodiscard]] routing::registered_server entry(std::string version = "v1") const
		{
			constexpr std::uint32_t slots = 64;
			routing::registered_server described;
			described.id = server_id(this->id);
			described.service = service_id("s");
			described.address = http::to_string({"127.0.0.1", this->server.port()});
			described.role = this->role;
			described.version = software_version(std::move(version));
			described.started = incarnation(1);
			described.slots = slots;
			return described;
		}

		// Returns the attempts whose calls have arrived. May be called from any thread.
		[[nodiscard]] std::set<std::string> attempts() const
		{
			std::scoped_lock const lock(this->mutex);
			return this->received;
		}

		std::atomic<bool> is_held = true;
		std::atomic<bool> has_room = true;
		// Whether streams break off, instead of going on, when they are let go.
		std::atomic<bool> breaks = false;
		// Time of silence before the head and between events, instead of the wait for being let go.
		std::atomic<int> silence_ms = 0;
		std::atomic<unsigned> reservations = 0;
		std::atomic<unsigned> first_events = 0;
		// Number of streams that arrived while there was no room.
		std::atomic<unsigned> unreserved = 0;

	  private:
		asio::awaitable<void> pause()
		{
			asio::steady_timer timer(this->thread.context());
			if (auto const silence = this->silence_ms.load(); silence > 0)
			{
				timer.expires_after(std::chrono::milliseconds(silence));
				std::ignore = co_await timer.async_wait(token);
				co_return;
			}
			while (this->is_held)
			{
				timer.expires_after(poll_interval);
				std::ignore = co_await timer.async_wait(token);
			}
		}

		asio::awaitable<void> serve(http::request message, http::exchange& http_exchange)
		{
			auto const path = message.path();
			if (path.starts_with("/x/"))
			{
				co_await this->serve_call(std::move(message), http_exchange);
				co_return;
			}
			http::response answer;
			answer.body = "1;";
			if (path.starts_with("/reserve/"))
			{
				constexpr unsigned no_room = 409;
				answer.status = this->has_room ? answer.status : no_room;
				answer.body = "reserved";
				++this->reservations;
			}
			std::ignore = co_await http_exchange.reply(std::move(answer));
		}

		asio::awaitable<void> serve_call(http::request message, http::exchange& http_exchange)
		{
			auto const attempt = message.find_header("Attempt");
			http::response answer;
			answer.headers = {{"Attempt", attempt}};
			if (this->role == routing::server_role::decode && !this->has_room)
			{
				++this->unreserved;
				answer.status = 503;
				answer.headers.push_back({"Not-Run", "1"});
				std::ignore = co_await http_exchange.reply(std::move(answer));
				co_return;
			}
			{
				std::scoped_lock const lock(this->mutex);
				this->received.insert(attempt);
			}
			if (this->role == routing::server_role::plain)
			{
				co_await this->pause();
				answer.body = "whole";
				std::ignore = co_await http_exchange.reply(std::move(answer));
				co_return;
			}
			co_await this->stream(message, std::move(answer), http_exchange);
		}

		asio::awaitable<void> stream(http::request const& message, http::response head, http::exchange& http_exchange)
		{
			constexpr int last = 4;
			auto const first = std::atoi(message.find_header("Last-Event-Id").c_str()) + 1;
			head.headers.push_back({"Content-Type", "text/event-stream"});
			if (this->silence_ms > 0)
			{
				co_await this->pause();
			}
			auto is_open = co_await http_exchange.begin_stream(std::move(head));
			for (auto number = first; is_open && number <= last; ++number)
			{
				if (number > first)
				{
					co_await this->pause();
				}
				if (number > first && this->breaks)
				{
					co_return;
				}
				is_open = co_await http_exchange.write(fmt::format("id: {}\ndata: {}\n\n", number, this->id));
				this->first_events += number == first ? 1 : 0;
			}
			if (is_open)
			{
				std::ignore = co_await http_exchange.end_stream();
			}
		}

		std::string id;
		routing::server_role role;
		mutable std::mutex mutex;
		std::set<std::string> received;
		daemon::io_thread thread;
		http::server server;
	};

	// A caller with one request on a thread of its own, which reads until the connection ends. The second part of the
	// request is sent when go_on() is called.
	class caller
	{
	  public:
		caller(http::endpoint const& where, std::string first_part, std::string second_part = "")
			: first(std::move(first_part))
			, second(std::move(second_part))
			, may_go_on(this->second.empty())
			, thread([this, where] { this->run(where); })
		{
		}

		~caller()
		{
			this->go_on();
			this->join();
		}

		caller(caller const&) = delete;
		caller& operator=(caller const&) = delete;
		caller(caller&&) = delete;
		caller& operator=(caller&&) = delete;

		void go_on()
		{
			this->may_go_on = true;
		}

		// Waits for the end of the connection and returns all bytes received.
		[[nodiscard]] std::string const& answer()
		{
			this->join();
			return this->received;
		}

		[[nodiscard]] bool has_sent_first() const
		{
			return this->is_first_sent;
		}

	  private:
		void run(http::endpoint const& where)
		{
			asio::io_context loop;
			tcp::socket socket(loop);
			boost::system::error_code error;
			std::ignore = socket.connect(tcp::endpoint(asio::ip::make_address(where.address), where.port), error);
			asio::write(socket, asio::buffer(this->first), error);
			this->is_first_sent = true;
			while (!this->may_go_on)
			{
				std::this_thread::sleep_for(poll_interval);
			}
			asio::write(socket, asio::buffer(this->second), error);
			asio::read(socket, asio::dynamic_buffer(this->received), error);
		}

		void join()
		{
			if (this->thread.joinable())
			{
				this->thread.join();
			}
		}

		std::string first;
		std::string second;
		std::string received;
		std::atomic<bool> may_go_on;
		std::atomic<bool> is_first_sent = false;
		std::thread thread;
	};

	std::string request_text(std::string const& path, std::string const& attempt, std::string const& headers = "")
	{
		return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nAttempt: {}\r\nTime-Left-Ms: {}\r\n"
						   "Content-Length: 2\r\nConnection: close\r\n{}\r\nhi",
			path, attempt, std::chrono::floor<std::chrono::milliseconds>(long_time).count(), headers);
	}

	// Returns whether the bytes are one whole answer with success, and nothing else.
	bool is_whole(std::string const& answer)
	{
		auto const body = answer.find("\r\n\r\n");
		if (!answer.starts_with("HTTP/1.1 200") || body == std::string::npos ||
			answer.find("HTTP/1.1", 1) != std::string::npos)
		{
			return false;
		}
		if (answer.find("chunked") == std::string::npos)
		{
			return answer.substr(body + 4) == "whole";
		}
		return answer.find("id: 4\n") != std::string::npos && is_complete_stream(answer);
	}

	// Returns whether the bytes are one whole refusal that promises that the request has not run and when to come back.
	bool is_refusal(std::string const& answer)
	{
		auto const body = answer.find("\r\n\r\n");
		return answer.starts_with("HTTP/1.1 503") && body != std::string::npos &&
			   answer.find("HTTP/1.1", 1) == std::string::npos && answer.find("Retry-After: ") < body &&
			   answer.size() - body - 4 == content_length(answer.substr(0, body + 2));
	}

	routing::route make_long_route(std::string name, call_kind kind, std::uint32_t max_servers, bool resumable)
	{
		auto route = make_route(kind, max_servers, resumable);
		route.prefix = fmt::format("/x/{}/", name);
		route.name = std::move(name);
		route.timeout = long_time;
		route.objective = seconds(10);
		route.longest_gap = seconds(10);
		route.caller_patience = long_time;
		return route;
	}

	// Routes of all kinds to one service of engines.
	routing::configuration make_configuration()
	{
		routing::configuration config;
		config.routes = {make_long_route("lookup", call_kind::idempotent, 2, false),
			make_long_route("booking", call_kind::non_idempotent, 1, false),
			make_long_route("stream", call_kind::streaming, 1, false),
			make_long_route("resumed", call_kind::streaming, 2, true)};
		auto service = make_reserving_service();
		service.id = service_id("s");
		config.services = {{service.id, service}};
		return config;
	}

	// What a changed configuration takes away.
	enum class taken
	{
		routes,
		service,
		servers,
	};

	// A daemon without a registry. The test publishes the configurations itself.
	class daemon_of_test
	{
	  public:
		daemon_of_test()
			: settings(make_settings())
			, serving(
				  this->settings, make_adapter(), [this](decide::record_event const& line) { this->note(line); },
				  [] { return 0U; }, [this] { this->has_drained = true; })
		{
			this->serving.start();
		}

		// Puts a configuration in force. The servers are kept when no list of them is given.
		void publish(routing::configuration config,
			std::optional<std::vector<routing::registered_server>> servers = std::nullopt)
		{
			config.version = platform_version(++this->version);
			gateway::published_configuration published;
			published.value = std::move(config);
			gateway::registry_update update;
			update.is_complete_list = servers.has_value();
			update.changes.emplace_back(std::move(published));
			for (auto& each : servers.value_or(std::vector<routing::registered_server>{}))
			{
				update.changes.emplace_back(std::move(each));
			}
			this->serving.push(std::move(update));
			wait_until([this] { return this->in_force == this->version; });
		}

		void take_away(taken what)
		{
			auto config = make_configuration();
			config.routes.clear();
			if (what != taken::routes)
			{
				config.services.clear();
			}
			if (what == taken::servers)
			{
				this->publish(std::move(config), std::vector<routing::registered_server>{});
			}
			else
			{
				this->publish(std::move(config));
			}
		}

		[[nodiscard]] http::endpoint address() const
		{
			return this->settings.caller_address;
		}

		[[nodiscard]] unsigned events(std::string const& name) const
		{
			std::scoped_lock const lock(this->mutex);
			return static_cast<unsigned>(std::ranges::count(this->names, name));
		}

		gateway::gateway_settings settings;
		std::atomic<bool> has_drained = false;

	  private:
		static gateway::gateway_settings make_settings()
		{
			gateway::gateway_settings settings;
			settings.termination_grace = long_time;
			settings.instance = instance_id("d1");
			settings.caller_address = free_endpoint();
			settings.readiness_address = free_endpoint();
			settings.peer_address = free_endpoint();
			settings.metrics_address = free_endpoint();
			settings.retries = {0.2, seconds(10), 50};
			return settings;
		}

		static gateway::platform_adapter make_adapter()
		{
			gateway::platform_adapter adapter;
			adapter.calls = make_test_protocol();
			return adapter;
		}

		void note(decide::record_event const& line)
		{
			std::scoped_lock const lock(this->mutex);
			this->names.push_back(line.name);
			if (line.name == "configuration_in_force")
			{
				++this->in_force;
			}
		}

		mutable std::mutex mutex;
		std::vector<std::string> names;
		std::uint64_t version = 0;
		std::atomic<std::uint64_t> in_force = 0;

	  public:
		gateway::serving_thread serving;
	};

	std::string send(daemon_of_test const& daemon, std::string const& path, std::string const& attempt,
		std::string const& headers = "")
	{
		caller one(daemon.address(), request_text(path, attempt, headers));
		return one.answer();
	}
}

// The stream went without a reservation to the full engine, which rejected it, when its service was taken away.
TEST_CASE("a stream that waits for a reservation is served though its route or service is taken away",
	"[changed_configuration]")
{
	auto const what = GENERATE(taken::routes, taken::service);
	auto const path = GENERATE(std::string("/x/stream/1"), std::string("/x/resumed/1"));
	held_server engine("e");
	engine.is_held = false;
	engine.has_room = false;
	daemon_of_test daemon;
	daemon.publish(make_configuration(), std::vector{engine.entry()});
	caller waiting(daemon.address(), request_text(path, "r1"));
	wait_until([&] { return engine.reservations > 0; });
	daemon.take_away(what);
	REQUIRE(send(daemon, path, "r2").starts_with("HTTP/1.1 404"));
	auto const before = engine.reservations.load();
	wait_until([&] { return engine.reservations > before + 1 || engine.unreserved > 0; });
	engine.has_room = true;
	INFO(waiting.answer());
	CHECK(engine.unreserved == 0);
	CHECK(is_whole(waiting.answer()));
}

TEST_CASE("a stream that waits for a reservation is refused when its servers are taken away", "[changed_configuration]")
{
	held_server engine("e");
	engine.has_room = false;
	daemon_of_test daemon;
	daemon.publish(make_configuration(), std::vector{engine.entry()});
	caller waiting(daemon.address(), request_text("/x/stream/1", "r1"));
	wait_until([&] { return engine.reservations > 0; });
	daemon.take_away(taken::servers);
	INFO(waiting.answer());
	CHECK(is_refusal(waiting.answer()));
	CHECK(engine.unreserved == 0);
	CHECK(engine.attempts().empty());
}

TEST_CASE("requests at their servers get whole answers though route, service and servers are taken away",
	"[changed_configuration]")
{
	auto const what = GENERATE(taken::routes, taken::service, taken::servers);
	held_server plain("p", routing::server_role::plain);
	held_server engine("e");
	daemon_of_test daemon;
	daemon.publish(make_configuration(), std::vector{plain.entry(), engine.entry()});
	caller lookup(daemon.address(), request_text("/x/lookup/1", "r1"));
	caller booking(daemon.address(), request_text("/x/booking/1", "r2"));
	caller stream(daemon.address(), request_text("/x/stream/1", "r3"));
	caller resumed(daemon.address(), request_text("/x/resumed/1", "r4"));
	wait_until([&] { return plain.attempts().size() == 2 && engine.first_events == 2; });
	daemon.take_away(what);
	REQUIRE(send(daemon, "/x/lookup/2", "r5").starts_with("HTTP/1.1 404"));
	plain.is_held = false;
	engine.is_held = false;
	for (auto* const each : {&lookup, &booking, &stream, &resumed})
	{
		INFO(each->answer());
		CHECK(is_whole(each->answer()));
	}
}

// Also the reservation at the second engine needs the terms of the service.
TEST_CASE("a stream that breaks off goes on at another engine, with a reservation, after its service was taken away",
	"[changed_configuration]")
{
	auto const what = GENERATE(taken::routes, taken::service);
	held_server first("e1");
	held_server second("e2");
	first.breaks = true;
	second.has_room = false;
	second.is_held = false;
	daemon_of_test daemon;
	daemon.publish(make_configuration(), std::vector{first.entry(), second.entry()});
	caller resumed(daemon.address(), request_text("/x/resumed/1", "r1"));
	wait_until([&] { return first.first_events == 1; });
	daemon.take_away(what);
	auto const before = second.reservations.load();
	first.is_held = false;
	wait_until([&] { return second.reservations > before + 1 || second.unreserved > 0; });
	second.has_room = true;
	INFO(resumed.answer());
	CHECK(second.unreserved == 0);
	CHECK(is_whole(resumed.answer()));
}

TEST_CASE("a stream that is taken up is served though its route or service is taken away", "[changed_configuration]")
{
	auto const what = GENERATE(taken::routes, taken::service);
	held_server engine("e");
	engine.is_held = false;
	daemon_of_test daemon;
	daemon.publish(make_configuration(), std::vector{engine.entry()});
	REQUIRE(is_whole(send(daemon, "/x/resumed/1", "r1")));
	engine.has_room = false;
	auto const before = engine.reservations.load();
	caller again(daemon.address(), request_text("/x/resumed/1", "r2", "Last-Event-Id: 2\r\nResumes: r1\r\n"));
	wait_until([&] { return engine.reservations > before; });
	daemon.take_away(what);
	auto const later = engine.reservations.load();
	wait_until([&] { return engine.reservations > later + 1 || engine.unreserved > 0; });
	engine.has_room = true;
	INFO(again.answer());
	CHECK(engine.unreserved == 0);
	CHECK(is_whole(again.answer()));
	CHECK(again.answer().find("id: 2\n") == std::string::npos);
}

TEST_CASE("each request gets one answer when the connections to its servers become fewer", "[changed_configuration]")
{
	constexpr int held_of_each = 12;
	auto const lowered_to = GENERATE(20U, 1U);
	held_server plain("p", routing::server_role::plain);
	held_server engine("e");
	daemon_of_test daemon;
	auto config = make_configuration();
	config.services.begin()->second.max_connections = 200;
	daemon.publish(config, std::vector{plain.entry(), engine.entry()});
	std::list<caller> held;
	std::vector<std::string> const paths{"/x/lookup/1", "/x/booking/1", "/x/stream/1", "/x/resumed/1"};
	for (int number = 0; number < held_of_each; ++number)
	{
		for (auto const& path : paths)
		{
			held.emplace_back(daemon.address(), request_text(path, fmt::format("h{}{}", path, number)));
		}
	}
	auto const held_of_kind = static_cast<std::size_t>(held_of_each) * 2;
	wait_until([&] { return plain.attempts().size() == held_of_kind && engine.first_events == held_of_kind; });
	config.services.begin()->second.max_connections = lowered_to;
	daemon.publish(config);
	std::list<std::pair<std::string, caller>> fresh;
	for (int number = 0; number < 4; ++number)
	{
		for (auto const& path : paths)
		{
			auto const attempt = fmt::format("f{}{}", path, number);
			fresh.emplace_back(std::piecewise_construct, std::forward_as_tuple(attempt),
				std::forward_as_tuple(daemon.address(), request_text(path, attempt)));
		}
	}
	// All connections to the plain server are in use: the fresh plain requests are refused.
	wait_until([&] { return daemon.events("request_refused") >= 8; });
	plain.is_held = false;
	engine.is_held = false;
	for (auto& each : held)
	{
		INFO(each.answer());
		CHECK(is_whole(each.answer()));
	}
	for (auto& [attempt, each] : fresh)
	{
		INFO(attempt << " got " << each.answer());
		auto const has_run = plain.attempts().contains(attempt) || engine.attempts().contains(attempt);
		CHECK((has_run ? is_whole(each.answer()) : is_refusal(each.answer())));
	}
}

TEST_CASE("a stream that breaks off goes on at an engine that has more connections than are allowed by then",
	"[lowered_connections]")
{
	constexpr unsigned held_streams = 6;
	held_server first("e1");
	held_server second("e2");
	daemon_of_test daemon;
	auto config = make_configuration();
	config.services.begin()->second.max_connections = 200;
	first.breaks = true;
	second.has_room = false;
	daemon.publish(config, std::vector{first.entry(), second.entry()});
	caller breaks(daemon.address(), request_text("/x/resumed/1", "r0"));
	wait_until([&] { return first.first_events == 1; });
	second.has_room = true;
	first.has_room = false;
	std::list<caller> held;
	for (unsigned number = 1; number <= held_streams; ++number)
	{
		held.emplace_back(daemon.address(), request_text("/x/stream/1", fmt::format("r{}", number)));
	}
	wait_until([&] { return second.first_events == held_streams; });
	config.services.begin()->second.max_connections = 1;
	daemon.publish(config);
	first.is_held = false;
	wait_until([&] { return daemon.events("request_send_failed") > 0; });
	second.is_held = false;
	for (auto& each : held)
	{
		INFO(each.answer());
		CHECK(is_whole(each.answer()));
	}
	INFO(breaks.answer());
	CHECK(is_whole(breaks.answer()));
	CHECK(second.unreserved == 0);
}

TEST_CASE("requests that have begun to arrive, or run, are answered when the limits of time become shorter",
	"[changed_configuration]")
{
	constexpr duration beyond_limits = milliseconds(30);
	held_server plain("p", routing::server_role::plain);
	daemon_of_test daemon;
	auto config = make_configuration();
	config.limits.header_timeout = long_time;
	config.limits.idle_timeout = long_time;
	daemon.publish(config, std::vector{plain.entry()});
	auto const text = request_text("/x/booking/1", "r1");
	auto const head_end = text.find("\r\n\r\n") + 4;
	caller running(daemon.address(), request_text("/x/booking/1", "r0"));
	caller half_head(daemon.address(), text.substr(0, 40), text.substr(40));
	caller half_body(daemon.address(), text.substr(0, head_end + 1), text.substr(head_end + 1));
	wait_until([&] { return !plain.attempts().empty() && half_head.has_sent_first() && half_body.has_sent_first(); });
	// The bytes have arrived at the daemon's socket; a connection made later is served later.
	REQUIRE(send(daemon, "/y", "r2").starts_with("HTTP/1.1 404"));
	config.limits.header_timeout = milliseconds(1);
	config.limits.idle_timeout = milliseconds(1);
	daemon.publish(config);
	std::this_thread::sleep_for(beyond_limits);
	half_head.go_on();
	half_body.go_on();
	plain.is_held = false;
	for (auto* const each : {&running, &half_head, &half_body})
	{
		INFO(each->answer());
		CHECK(is_whole(each->answer()));
	}
}

// The routes have malinis-rounds' limits of time.
TEST_CASE("requests at silent servers get whole answers beside a planned stop", "[changed_configuration]")
{
	constexpr int silence_ms = 700;
	constexpr duration plain_timeout = milliseconds(1500);
	constexpr duration stream_timeout = seconds(14);
	auto const stops_after = GENERATE(milliseconds(100), milliseconds(900), milliseconds(1600));
	held_server plain("p", routing::server_role::plain);
	held_server engine("e");
	plain.silence_ms = silence_ms;
	engine.silence_ms = silence_ms;
	daemon_of_test daemon;
	auto config = make_configuration();
	for (auto& route : config.routes)
	{
		route.timeout = route.kind == call_kind::streaming ? stream_timeout : plain_timeout;
		route.objective = milliseconds(300);
		route.longest_gap = milliseconds(300);
	}
	daemon.publish(config, std::vector{plain.entry(), engine.entry()});
	std::list<caller> callers;
	for (auto const* const path : {"/x/lookup/1", "/x/booking/1", "/x/stream/1", "/x/resumed/1"})
	{
		callers.emplace_back(daemon.address(), request_text(path, path));
	}
	wait_until([&] { return plain.attempts().size() == 2 && engine.attempts().size() == 2; });
	std::this_thread::sleep_for(stops_after);
	daemon.serving.drain();
	for (auto& each : callers)
	{
		INFO(each.answer());
		CHECK(is_whole(each.answer()));
	}
	wait_until([&] { return daemon.has_drained.load(); });
}
