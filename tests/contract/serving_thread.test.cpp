#include <catch2/catch.hpp>

#include <atomic>
#include <iterator>
#include <memory>
#include <mutex>
#include <ranges>
#include <set>
#include <stdexcept>
#include <thread>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/connect.hpp>
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

#include "scripted_http_server.hpp"
#include "test_protocol.hpp"
#include "test_servers.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	gateway::gateway_settings make_settings(duration termination_grace)
	{
		gateway::gateway_settings settings;
		settings.termination_grace = termination_grace;
		settings.instance = instance_id("d1");
		settings.caller_address = free_endpoint();
		settings.readiness_address = free_endpoint();
		settings.peer_address = free_endpoint();
		settings.metrics_address = free_endpoint();
		return settings;
	}

	gateway::platform_adapter make_adapter()
	{
		gateway::platform_adapter adapter;
		adapter.calls = make_test_protocol();
		adapter.readiness_path = "/ready";
		adapter.metrics_path = "/metrics";
		return adapter;
	}

	// Sends one request and returns all bytes that are received until the connection closes.
	std::string send_request(
		http::endpoint const& listen_address, std::string const& path, duration time_left = milliseconds(1400))
	{
		asio::io_context loop;
		tcp::socket socket(loop);
		socket.connect(tcp::endpoint(asio::ip::make_address(listen_address.address), listen_address.port));
		auto const text = fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\nAttempt: r1\r\nTime-Left-Ms: {}\r\n"
									  "Connection: close\r\n\r\n",
			path, std::chrono::floor<std::chrono::milliseconds>(time_left).count());
		asio::write(socket, asio::buffer(text));
		std::string received;
		boost::system::error_code read_error;
		asio::read(socket, asio::dynamic_buffer(received), read_error);
		return received;
	}

	// A serving_thread without a registry. The test pushes the registry updates itself.
	class fixture
	{
	  public:
		explicit fixture(
			duration termination_grace = seconds(8), gateway::event_log log = [](decide::record_event const&) {})
			: settings(make_settings(termination_grace))
			, adapter(make_adapter())
			, serving(settings, adapter, std::move(log), [] { return 0U; }, [this] { this->has_drained = true; })
		{
			this->serving.start();
		}

		// Pushes a configuration with one route and a complete list of servers.
		void publish(std::uint64_t version, std::string prefix, std::vector<routing::registered_server> servers = {})
		{
			auto route = make_route(routing::call_kind::idempotent, 1, false);
			route.prefix = std::move(prefix);
			this->publish(version, std::move(route), std::move(servers));
		}

		void publish(std::uint64_t version, routing::route route, std::vector<routing::registered_server> servers)
		{
			gateway::published_configuration published;
			published.value.version = platform_version(version);
			published.value.routes = {std::move(route)};
			gateway::registry_update update;
			update.is_complete_list = true;
			update.changes.emplace_back(std::move(published));
			std::ranges::move(servers, std::back_inserter(update.changes));
			this->serving.push(std::move(update));
		}

		[[nodiscard]] bool is_ready() const
		{
			return send_request(this->settings.readiness_address, "/ready").starts_with("HTTP/1.1 200");
		}

		gateway::gateway_settings settings;
		gateway::platform_adapter adapter;
		std::atomic<bool> has_drained = false;
		gateway::serving_thread serving;
	};
}

TEST_CASE("a daemon is ready when it has a configuration and servers, and refuses calls before", "[serving_thread]")
{
	fixture fixture;
	REQUIRE_FALSE(fixture.is_ready());
	auto const answer_before = send_request(fixture.settings.caller_address, "/x/y");
	REQUIRE(answer_before.starts_with("HTTP/1.1 503"));
	REQUIRE(answer_before.find("Retry-After: ") != std::string::npos);
	fixture.publish(5, "/x/");
	REQUIRE(fixture.is_ready());
	REQUIRE(send_request(fixture.settings.metrics_address, "/metrics").find("godwittrestle") != std::string::npos);
}

// An exception in the handling of a message to the serving thread ended the process.
TEST_CASE("a daemon applies later configurations after an exception while it applied one", "[serving_thread]")
{
	fixture fixture(seconds(8),
		[](decide::record_event const& line)
		{
			auto const is_fifth = std::ranges::any_of(line.fields,
				[](decide::event_field const& each) { return each.name == "version" && each.value == "5"; });
			if (line.name == "configuration_in_force" && is_fifth)
			{
				throw std::runtime_error("no memory");
			}
		});
	fixture.publish(5, "/x/");
	fixture.publish(6, "/z/");
	REQUIRE(send_request(fixture.settings.caller_address, "/z/y").starts_with("HTTP/1.1 503"));
	REQUIRE(send_request(fixture.settings.caller_address, "/x/y").starts_with("HTTP/1.1 404"));
}

TEST_CASE("an older configuration never replaces a newer one", "[serving_thread]")
{
	fixture fixture;
	fixture.publish(5, "/x/");
	fixture.publish(4, "/z/");
	// The route exists, but no server can serve the call.
	REQUIRE(send_request(fixture.settings.caller_address, "/x/y").starts_with("HTTP/1.1 503"));
	REQUIRE(send_request(fixture.settings.caller_address, "/z/y").starts_with("HTTP/1.1 404"));
	fixture.publish(6, "/z/");
	REQUIRE(send_request(fixture.settings.caller_address, "/x/y").starts_with("HTTP/1.1 404"));
}

TEST_CASE("a draining daemon is not ready, answers the requests that it has read, and then closes its sockets",
	"[serving_thread]")
{
	fixture fixture;
	scripted_http_server silent({});
	routing::registered_server server;
	server.id = server_id("a");
	server.service = service_id("s");
	server.address = http::to_string(silent.listen_address());
	fixture.publish(5, "/x/", {server});
	std::string answer;
	std::thread caller([&] { answer = send_request(fixture.settings.caller_address, "/x/y"); });
	while (silent.calls().empty())
	{
		std::this_thread::yield();
	}
	fixture.serving.drain();
	REQUIRE_FALSE(fixture.is_ready());
	REQUIRE_FALSE(fixture.has_drained);
	caller.join();
	// The server never answers. The request ends at its timeout: draining does not abort it.
	REQUIRE(answer.starts_with("HTTP/1.1 504"));
	auto const give_up_at = daemon::monotonic_now() + seconds(60);
	while (!fixture.has_drained && daemon::monotonic_now() < give_up_at)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	REQUIRE(fixture.has_drained);
	boost::system::error_code refused;
	asio::io_context loop;
	tcp::socket socket(loop);
	std::ignore = socket.connect(
		tcp::endpoint(asio::ip::make_address("127.0.0.1"), fixture.settings.caller_address.port), refused);
	REQUIRE(refused);
}

TEST_CASE("a request that comes late in a planned stop is answered before the process ends", "[late_in_stop]")
{
	auto const kind = GENERATE(routing::call_kind::non_idempotent, routing::call_kind::idempotent);
	fixture fixture(seconds(4));
	scripted_http_server silent({});
	routing::registered_server server;
	server.id = server_id("a");
	server.service = service_id("s");
	server.address = http::to_string(silent.listen_address());
	auto route = make_route(kind, 1, false);
	route.timeout = seconds(30);
	fixture.publish(5, route, {server});
	while (!fixture.is_ready())
	{
		std::this_thread::yield();
	}
	std::string early_answer;
	std::thread early([&] { early_answer = send_request(fixture.settings.caller_address, "/x/y", seconds(30)); });
	fixture.serving.drain();
	std::this_thread::sleep_for(std::chrono::milliseconds(2000));
	// The server never answers, and the caller would wait for far longer than this daemon still runs.
	auto const late_answer = send_request(fixture.settings.caller_address, "/x/y", seconds(30));
	early.join();
	auto const was_in_time = !fixture.has_drained;
	REQUIRE(was_in_time);
	auto const calls = silent.calls();
	// Besides, the daemon asks the silent server for signs of life.
	REQUIRE(std::ranges::count(calls, "GET /x/y") == 2);
	// It may have run, so no status that promises the contrary.
	REQUIRE(early_answer.starts_with("HTTP/1.1 504"));
	REQUIRE(late_answer.starts_with("HTTP/1.1 504"));
	auto const give_up_at = daemon::monotonic_now() + seconds(60);
	while (!fixture.has_drained && daemon::monotonic_now() < give_up_at)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	REQUIRE(fixture.has_drained);
}

namespace
{
	// A server that answers each call after a time of work. It notes the targets of the calls.
	class working_server
	{
	  public:
		explicit working_server(duration time_of_work)
			: work(time_of_work)
			, server(this->thread.context().get_executor(), http::endpoint{"127.0.0.1", 0}, http::server_limits{},
				  [this](http::request message, http::exchange& http_exchange)
				  { return this->answer(std::move(message), http_exchange); })
		{
			this->server.start();
			this->thread.start();
		}

		~working_server()
		{
			this->thread.stop();
		}

		working_server(working_server const&) = delete;
		working_server& operator=(working_server const&) = delete;
		working_server(working_server&&) = delete;
		working_server& operator=(working_server&&) = delete;

		[[nodiscard]] routing::registered_server entry() const
		{
			routing::registered_server described;
			described.id = server_id("a");
			described.service = service_id("s");
			described.address = http::to_string({"127.0.0.1", this->server.port()});
			return described;
		}

		// Returns the targets of the calls so far. May be called from any thread.
		[[nodiscard]] std::set<std::string> targets()
		{
			std::scoped_lock const lock(this->mutex);
			return this->called;
		}

	  private:
		asio::awaitable<void> answer(http::request message, http::exchange& http_exchange)
		{
			{
				std::scoped_lock const lock(this->mutex);
				this->called.insert(message.target);
			}
			asio::steady_timer pause(this->thread.context(), this->work);
			std::ignore = co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
			http::response done;
			std::ignore = co_await http_exchange.reply(std::move(done));
		}

		duration work;
		std::mutex mutex;
		std::set<std::string> called;
		daemon::io_thread thread;
		http::server server;
	};

	// One request whose body arrives in two pieces.
	struct upload
	{
		std::string path;
		// Moment at which the last byte is sent.
		time_point whole_at;
		std::string received;
	};

	void send_upload(http::endpoint const& listen_address, upload& sent)
	{
		asio::io_context loop;
		tcp::socket socket(loop);
		socket.connect(tcp::endpoint(asio::ip::make_address(listen_address.address), listen_address.port));
		auto const text = fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nAttempt: r1\r\nTime-Left-Ms: 30000\r\n"
									  "Content-Length: 8\r\n\r\nhalf",
			sent.path);
		asio::write(socket, asio::buffer(text));
		std::this_thread::sleep_for(sent.whole_at - daemon::monotonic_now());
		boost::system::error_code error;
		asio::write(socket, asio::buffer(std::string_view("half")), error);
		asio::read(socket, asio::dynamic_buffer(sent.received), error);
	}

	// Returns as many times as count, from the first on, at the interval.
	std::vector<duration> make_times(duration first, duration interval, int count)
	{
		std::vector<duration> times;
		std::ranges::transform(std::views::iota(0, count), std::back_inserter(times),
			[&](int number) { return first + interval * number; });
		return times;
	}

	// Stops an instance while uploads go on, which become whole at the given times after the signal. Ends the instance
	// with all its connections as soon as it says that it has drained, as the program does.
	std::vector<upload> upload_during_stop(
		duration termination_grace, routing::registered_server server, std::vector<duration> const& whole_after)
	{
		auto stopped = std::make_unique<fixture>(termination_grace);
		auto route = make_route(routing::call_kind::non_idempotent, 1, false);
		route.timeout = seconds(30);
		stopped->publish(5, route, {std::move(server)});
		while (!stopped->is_ready())
		{
			std::this_thread::yield();
		}
		auto const address = stopped->settings.caller_address;
		auto const signal_at = daemon::monotonic_now();
		std::vector<upload> uploads(whole_after.size());
		std::vector<std::thread> callers;
		for (std::size_t number = 0; number < uploads.size(); ++number)
		{
			auto& each = uploads[number];
			each.path = fmt::format("/x/{}", number);
			each.whole_at = signal_at + whole_after[number];
			callers.emplace_back([&address, &each] { send_upload(address, each); });
		}
		stopped->serving.drain();
		auto const give_up_at = signal_at + seconds(60);
		while (!stopped->has_drained && daemon::monotonic_now() < give_up_at)
		{
			std::this_thread::sleep_for(std::chrono::milliseconds(1));
		}
		stopped.reset();
		std::ranges::for_each(callers, &std::thread::join);
		return uploads;
	}
}

// The instance ended as soon as no request ran, while bodies arrived: those requests were passed on and cut.
TEST_CASE("requests that still arrive while nothing runs in a planned stop are served", "[stop_uploads]")
{
	working_server server(milliseconds(600));
	// The port closes after 2.5 s. Nothing runs then.
	auto const first_whole = GENERATE(milliseconds(2520), milliseconds(2800));
	auto const times = make_times(first_whole, milliseconds(10), 30);
	auto const uploads = upload_during_stop(seconds(8), server.entry(), times);
	auto const targets = server.targets();
	for (auto const& each : uploads)
	{
		INFO(each.path << " got " << each.received);
		CHECK(targets.contains(each.path));
		CHECK(each.received.starts_with("HTTP/1.1 200"));
	}
}

// Requests were ended once. One that became whole after it was passed on, and cut when the instance ended.
TEST_CASE("a request that becomes whole after the end of the grace is refused at once and not run", "[stop_refusals]")
{
	working_server server(seconds(20));
	// One request runs from the beginning. The requests are ended 3 s after the signal, and 0.4 s are left for answers.
	auto times = make_times(milliseconds(2900), milliseconds(10), 30);
	times.front() = milliseconds(100);
	auto const uploads = upload_during_stop(seconds(4), server.entry(), times);
	auto const targets = server.targets();
	for (auto const& each : uploads)
	{
		INFO(each.path << " got " << each.received);
		auto const is_passed_on = targets.contains(each.path);
		// The server never answers in time: what may have run gets no status that promises the contrary.
		CHECK(each.received.starts_with(is_passed_on ? "HTTP/1.1 504" : "HTTP/1.1 503"));
		CHECK(each.received.find("Connection: close") != std::string::npos);
		CHECK((is_passed_on || each.received.find("Retry-After: ") != std::string::npos));
	}
	CHECK(targets.size() < uploads.size());
}
