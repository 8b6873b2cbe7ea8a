#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway_fixture.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::call_kind;
using routing::server_role;

// Answers that have neither a length nor chunks, and that a server which lives on breaks off by an orderly end of the
// connection.
namespace
{
	namespace asio = boost::asio;
	using tcp = asio::ip::tcp;

	constexpr auto token = asio::as_tuple(asio::use_awaitable);
	constexpr std::uint64_t server_start = 7;
	// Time between two events, and from the last one to the end of an answer that is broken off late.
	constexpr auto event_gap = std::chrono::milliseconds(60);
	constexpr auto late_end = std::chrono::milliseconds(40);

	// The answer to one call, in pieces that are sent one gap after the other.
	struct answer_script
	{
		std::vector<std::string> pieces;
		// Time from the last piece to the end of the connection.
		std::chrono::milliseconds end_delay{};
		// Whether the server names the attempt among its runs for good.
		bool is_run_on = false;
	};

	std::string event(int number)
	{
		return fmt::format("id: {0}\ndata: {0}\n\n", number);
	}

	std::string head_without_length()
	{
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + attempt_header + mac_header + "\r\n";
	}

	// Returns an answer without length with the events of these numbers.
	answer_script without_length(int first, int last)
	{
		answer_script script;
		for (auto number = first; number <= last; ++number)
		{
			script.pieces.push_back((number == first ? head_without_length() : "") + event(number));
		}
		return script;
	}

	// A server that lives on. It states its start and its runs, and closes the connection behind each other answer.
	class living_server
	{
	  public:
		using answer_function = std::function<answer_script(std::string_view call)>;

		living_server(asio::io_context& loop, answer_function answers)
			: acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
			, answer(std::move(answers))
		{
			asio::co_spawn(loop, this->accept(), asio::detached);
		}

		[[nodiscard]] routing::registered_server entry(server_role role) const
		{
			routing::registered_server server;
			server.id = server_id("a");
			server.service = service_id("s");
			server.address = fmt::format("127.0.0.1:{}", this->acceptor.local_endpoint().port());
			server.role = role;
			server.started = incarnation(server_start);
			return server;
		}

		// The calls that are not for the report.
		std::vector<std::string> calls;

	  private:
		asio::awaitable<void> accept()
		{
			for (;;)
			{
				auto [error, socket] = co_await this->acceptor.async_accept(token);
				if (error)
				{
					co_return;
				}
				auto const connection = std::make_shared<tcp::socket>(std::move(socket));
				asio::co_spawn(this->acceptor.get_executor(), this->serve(connection), asio::detached);
			}
		}

		asio::awaitable<void> serve(std::shared_ptr<tcp::socket> connection)
		{
			std::array<char, 65536> received{};
			for (;;)
			{
				auto const [error, size] = co_await connection->async_read_some(asio::buffer(received), token);
				if (error)
				{
					co_return;
				}
				std::string_view const call(received.data(), size);
				if (!call.starts_with("GET /report"))
				{
					this->calls.emplace_back(call);
					co_await this->send(connection, this->answer(call));
					co_return;
				}
				auto const report = http_answer("200 OK", "", fmt::format("{};{}", server_start, this->running));
				std::ignore = co_await asio::async_write(*connection, asio::buffer(report), token);
			}
		}

		asio::awaitable<void> send(std::shared_ptr<tcp::socket> connection, answer_script script)
		{
			asio::steady_timer pause(this->acceptor.get_executor());
			this->running = script.is_run_on ? "r1" : "";
			for (auto const& piece : script.pieces)
			{
				std::ignore = co_await asio::async_write(*connection, asio::buffer(piece), token);
				if (&piece != &script.pieces.back())
				{
					pause.expires_after(event_gap);
					std::ignore = co_await pause.async_wait(token);
				}
			}
			pause.expires_after(script.end_delay);
			std::ignore = co_await pause.async_wait(token);
			connection->close();
		}

		tcp::acceptor acceptor;
		answer_function answer;
		std::string running;
	};

	// One server with a role before one route.
	struct living_fixture
	{
		living_fixture(routing::route const& route, living_server::answer_function answers)
			: fixture(route)
			, server(this->fixture.loop, std::move(answers))
		{
			this->fixture.shared.servers.put(
				this->server.entry(route.kind == call_kind::streaming ? server_role::decode : server_role::plain));
		}

		// Lets streams end as whole ones do, so that it is known how they end.
		void learn_habits()
		{
			constexpr int streams = 10;
			constexpr auto is_late = false;
			for (int number = 0; number < streams; ++number)
			{
				this->fixture.shared.observed[service_id("s")].ends.note_end(is_late);
			}
		}

		gateway_fixture fixture;
		living_server server;
	};

	bool goes_on_behind(std::string_view call, int event)
	{
		return call.find(fmt::format("Last-Event-Id: {}\r\n", event)) != std::string_view::npos;
	}

	routing::route resumable_route()
	{
		return make_route(call_kind::streaming, 2, true);
	}

	routing::route unresumable_route()
	{
		return make_route(call_kind::streaming, 1, false);
	}

	std::size_t count(std::string const& text, std::string_view part)
	{
		std::size_t found = 0;
		for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
		{
			++found;
		}
		return found;
	}
}

// Guards against a stream that is ended as complete before its last event, since its server broke it off and lived on
// (ORDER).
TEST_CASE("a stream without length goes on when its server breaks it off and lives on", "[broken_off]")
{
	living_fixture system(resumable_route(),
		[](std::string_view call) { return goes_on_behind(call, 2) ? without_length(3, 4) : without_length(1, 2); });
	auto const answer = system.fixture.send_request();
	CAPTURE(answer);
	for (int number = 1; number <= 4; ++number)
	{
		REQUIRE(count(answer, event(number)) == 1);
	}
	REQUIRE(is_complete_stream(answer));
}

TEST_CASE("a stream without length that breaks off more than once gets all its events", "[broken_off]")
{
	living_fixture system(resumable_route(),
		[](std::string_view call)
		{
			for (int last = 1; last < 4; ++last)
			{
				if (goes_on_behind(call, last))
				{
					return without_length(last + 1, last + 1);
				}
			}
			return goes_on_behind(call, 4) ? answer_script{{stream_answer("", true)}} : without_length(1, 1);
		});
	auto const answer = system.fixture.send_request();
	CAPTURE(answer);
	REQUIRE(count(answer, "data: ") >= 2);
	REQUIRE((count(answer, "data: ") == 4 || !is_complete_stream(answer)));
}

TEST_CASE("a whole stream without length is ended as complete when nothing follows", "[broken_off]")
{
	auto const is_framed = GENERATE(true, false);
	living_fixture system(resumable_route(),
		[=](std::string_view call)
		{
			answer_script const nothing{{is_framed ? stream_answer("", true) : head_without_length()}};
			return goes_on_behind(call, 3) ? nothing : without_length(1, 3);
		});
	auto const answer = system.fixture.send_request();
	CAPTURE(answer);
	REQUIRE(count(answer, "data: ") == 3);
	REQUIRE(is_complete_stream(answer));
	REQUIRE(system.server.calls.size() == 2);
}

TEST_CASE("a whole stream without length is ended as complete when its server refuses to let it go on", "[broken_off]")
{
	auto const refusal = GENERATE(http_answer("503 Service Unavailable", "Attempt: r1\r\nNot-Run: 1\r\n", ""),
		http_answer("500 Internal Server Error", "Attempt: r1\r\n", ""), stream_answer(event(1), true));
	living_fixture system(resumable_route(), [=](std::string_view call)
		{ return goes_on_behind(call, 3) ? answer_script{{refusal}} : without_length(1, 3); });
	auto const answer = system.fixture.send_request();
	CAPTURE(refusal, answer);
	REQUIRE(count(answer, "data: ") == 3);
	REQUIRE(is_complete_stream(answer));
}

TEST_CASE(
	"a stream without length is not ended as complete when its server begins to go on and falls silent", "[broken_off]")
{
	living_fixture system(resumable_route(),
		[](std::string_view call)
		{
			answer_script silent{{head_without_length()}};
			silent.end_delay = std::chrono::seconds(20);
			return goes_on_behind(call, 3) ? silent : without_length(1, 3);
		});
	auto const answer = system.fixture.send_request("POST", seconds(4));
	CAPTURE(answer);
	REQUIRE(count(answer, "data: ") == 3);
	REQUIRE_FALSE(is_complete_stream(answer));
}

TEST_CASE("a stream that may not be resumed is not ended as complete when its server still runs it", "[broken_off]")
{
	auto const is_run_on = GENERATE(true, false);
	living_fixture system(unresumable_route(),
		[=](std::string_view)
		{
			auto script = without_length(1, 3);
			script.is_run_on = is_run_on;
			return script;
		});
	auto const answer = system.fixture.send_request("POST", seconds(5));
	CAPTURE(is_run_on, answer);
	REQUIRE(count(answer, "data: ") == 3);
	REQUIRE(is_complete_stream(answer) == !is_run_on);
	REQUIRE(system.server.calls.size() == 1);
}

TEST_CASE("a stream that may not be resumed is not ended as complete when it ends between two events", "[broken_off]")
{
	auto const end_delay = GENERATE(std::chrono::milliseconds(0), late_end);
	living_fixture system(unresumable_route(),
		[=](std::string_view)
		{
			auto script = without_length(1, 4);
			script.end_delay = end_delay;
			return script;
		});
	system.learn_habits();
	auto const answer = system.fixture.send_request("POST", seconds(5));
	CAPTURE(end_delay.count(), answer);
	REQUIRE(count(answer, "data: ") == 4);
	REQUIRE(is_complete_stream(answer) == (end_delay != late_end));
}

// Guards against whole streams that are lost, since their service always closes its connections late.
TEST_CASE("a late end says nothing where nobody knows how streams end, or they mostly end late", "[broken_off]")
{
	living_fixture system(unresumable_route(),
		[](std::string_view)
		{
			auto script = without_length(1, 4);
			script.end_delay = late_end;
			return script;
		});
	auto const ends_late_mostly = GENERATE(false, true);
	for (int number = 0; ends_late_mostly && number < 10; ++number)
	{
		system.fixture.shared.observed[service_id("s")].ends.note_end(true);
	}
	REQUIRE(is_complete_stream(system.fixture.send_request("POST", seconds(5))));
}

TEST_CASE("an answer without length is broken when its server has just broken off another one", "[broken_off]")
{
	auto const since_break = GENERATE(milliseconds(200), milliseconds(5000));
	auto const is_stream = GENERATE(true, false);
	auto const route = is_stream ? unresumable_route() : make_route(call_kind::non_idempotent, 1, false);
	living_fixture system(route, [](std::string_view) { return without_length(1, 3); });
	auto const server = system.fixture.shared.servers.find(server_id("a"));
	server->answer_broken_at = daemon::monotonic_now() - since_break;
	auto const answer = system.fixture.send_request("POST", seconds(5));
	auto const is_told_whole = is_stream ? is_complete_stream(answer) : answer.starts_with("HTTP/1.1 200");
	// What is only judged by that sign is no further sign.
	REQUIRE(*server->answer_broken_at < daemon::monotonic_now() - since_break);
	CAPTURE(since_break, is_stream, answer);
	REQUIRE(is_told_whole == (since_break > seconds(1)));
}

TEST_CASE("a server that breaks an answer off is known for it", "[broken_off]")
{
	auto const cut = GENERATE(stream_answer(event(1) + "id: 2\nda", true), stream_answer(event(1), false));
	living_fixture system(unresumable_route(), [=](std::string_view) { return answer_script{{cut}}; });
	REQUIRE_FALSE(is_complete_stream(system.fixture.send_request()));
	REQUIRE(system.fixture.shared.servers.find(server_id("a"))->answer_broken_at.has_value());
}

// Guards against a stream that is ended as complete before its last event, since no retry was left to ask what follows
// (ORDER).
TEST_CASE("while servers break streams off, one that can't be asked about is left to its caller", "[broken_off]")
{
	auto const is_shown = GENERATE(true, false);
	living_fixture system(resumable_route(),
		[=](std::string_view call)
		{
			// Where nothing is shown, the stream is whole.
			auto const rest = is_shown ? without_length(3, 4) : answer_script{{head_without_length()}};
			return goes_on_behind(call, 2) ? rest : without_length(1, 2);
		});
	auto& shared = system.fixture.shared;
	if (is_shown)
	{
		// A stream that goes on when its server is asked shows that it was broken off.
		REQUIRE(is_complete_stream(system.fixture.send_request()));
	}
	auto const now = daemon::monotonic_now();
	while (shared.retry_budgets[service_id("s")].try_spend(shared.retries, shared.daemon_count, now))
	{
	}
	auto const calls_before = system.server.calls.size();
	// The sign of the server itself is no longer fresh.
	shared.servers.find(server_id("a"))->answer_broken_at.reset();
	auto const answer = system.fixture.send_request();
	CAPTURE(is_shown, answer);
	REQUIRE(count(answer, "data: ") == 2);
	REQUIRE(is_complete_stream(answer) == !is_shown);
	REQUIRE(system.server.calls.size() == calls_before + 1);
}

// Guards against a stream that its caller has taken up and that is ended as complete, since its server has broken it
// off before its first event (ORDER).
TEST_CASE("a stream that was taken up and ends without an event is asked for once more", "[broken_off]")
{
	auto const goes_on = GENERATE(true, false);
	int asked = 0;
	living_fixture system(resumable_route(),
		[&](std::string_view call)
		{
			REQUIRE(goes_on_behind(call, 2));
			return goes_on && ++asked == 2 ? answer_script{{stream_answer(event(3) + event(4), true)}}
										   : answer_script{{head_without_length()}};
		});
	auto const now = daemon::monotonic_now();
	auto& versions = system.fixture.shared.versions;
	versions.set_in_service({{service_id("s"), {software_version()}}}, now);
	versions.note_complete_since(now - seconds(3600));
	auto const answer = system.fixture.send_request("POST", seconds(4), "Last-Event-Id: 2\r\n");
	CAPTURE(goes_on, answer);
	REQUIRE(count(answer, "data: ") == (goes_on ? 2 : 0));
	REQUIRE(is_complete_stream(answer));
	REQUIRE(system.server.calls.size() == 2);
}
