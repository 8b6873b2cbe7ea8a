#include <catch2/catch.hpp>

#include <godwittrestle/daemon/backend.hpp>
#include <godwittrestle/http/server.hpp>

#include "standin.hpp"
#include "test_servers.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	namespace asio = boost::asio;
	using after_response = fixed_response_server::after_response;

	constexpr duration short_deadline = milliseconds(300);

	decide::start_prefill make_prefill(std::string address, duration deadline = seconds(5))
	{
		decide::start_prefill call;
		call.call = call_id(1);
		call.address = std::move(address);
		call.attempt = "r#0";
		call.prompt = std::make_shared<std::string const>("a prompt");
		call.hard_deadline = deadline;
		return call;
	}

	decide::start_decode make_decode(std::string address, duration deadline = seconds(5))
	{
		decide::start_decode call;
		call.call = call_id(2);
		call.address = std::move(address);
		call.attempt = "r#0";
		call.transfer = "t";
		call.output_tokens = token_count(3);
		call.hard_deadline = deadline;
		return call;
	}

	decide::start_plain make_plain(std::string address, duration timeout = seconds(5))
	{
		decide::start_plain call;
		call.call = call_id(3);
		call.address = std::move(address);
		call.method = "POST";
		call.target = "/signoffs";
		call.body = "x";
		call.fresh_connection = true;
		call.timeout = timeout;
		return call;
	}

	struct decode_outcome
	{
		std::vector<decide::token_received> tokens;
		decide::event end;
	};

	asio::awaitable<decode_outcome> decode_all(daemon::backend_interface const& backend, decide::start_decode call)
	{
		decode_outcome outcome;
		daemon::backend_interface::token_sink const sink = [&outcome](
															   decide::token_received token) -> asio::awaitable<void>
		{
			outcome.tokens.push_back(std::move(token));
			co_return;
		};
		outcome.end = co_await backend.decode(std::move(call), sink);
		co_return outcome;
	}

	decide::call_failure failure_kind(decide::event const& event)
	{
		return std::get<decide::call_failed>(event).kind;
	}

	std::string stream_of(std::string const& body)
	{
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" + body;
	}
}

TEST_CASE(
	"the backend client and the stand-in engines agree on prefill, transfer, decode, load and cancel", "[backend]")
{
	asio::io_context loop{1};
	auto const serve = [&](std::unique_ptr<standins::standin>& target)
	{
		auto server = std::make_unique<http::server>(loop.get_executor(), http::endpoint{"127.0.0.1", 0},
			http::server_limits{}, [&target](http::request message, http::exchange& http_exchange)
			{ return target->handle(std::move(message), http_exchange); });
		server->start();
		return server;
	};
	std::unique_ptr<standins::standin> prefill_engine;
	std::unique_ptr<standins::standin> decode_engine;
	auto const prefill_server = serve(prefill_engine);
	auto const decode_server = serve(decode_engine);
	auto const address = [](http::server const& server)
	{
		return "127.0.0.1:" + std::to_string(server.port());
	};
	prefill_engine = standins::make_engine(loop, {address(*prefill_server), "prefill", "m1"});
	decode_engine = standins::make_engine(loop, {address(*decode_server), "decode", "m1"});
	http::client client(loop.get_executor());
	auto const backend = daemon::make_http_backend(client);

	auto const prefilled = run_to_end(loop, backend.prefill(make_prefill(address(*prefill_server))));
	auto const& ready = std::get<decide::prefill_finished>(prefilled);
	REQUIRE_FALSE(ready.transfer.empty());

	auto call = make_decode(address(*decode_server));
	call.transfer = ready.transfer;
	call.resume_at = 1;
	auto const decoded = run_to_end(loop, decode_all(backend, call));
	REQUIRE(std::get<decide::decode_finished>(decoded.end).total == 3);
	REQUIRE(decoded.tokens.size() == 2);
	REQUIRE(decoded.tokens.front().index == 1);

	auto const evicted = run_to_end(loop, decode_all(backend, call));
	REQUIRE(failure_kind(evicted.end) == decide::call_failure::rejected);

	decide::poll_load poll;
	poll.server = server_id("p");
	poll.address = address(*prefill_server);
	auto const load = run_to_end(loop, backend.load(poll));
	REQUIRE(load);
	REQUIRE(std::get<decide::load_reported>(*load).report.model == "m1");
	REQUIRE(std::get<decide::load_reported>(*load).report.held.empty());

	decide::cancel_attempt cancel;
	cancel.address = address(*prefill_server);
	cancel.attempt = "unknown#0";
	REQUIRE(run_to_end(loop, backend.cancel(cancel)));
}

TEST_CASE("a prefill engine's faulty answer is reported as the matching kind of failure", "[backend]")
{
	struct row
	{
		char const* name;
		std::string bytes;
		after_response end;
		decide::call_failure kind;
	};
	std::vector<row> const table{
		{"closes without an answer", "", after_response::closes, decide::call_failure::lost},
		{"silent", "", after_response::stays_silent, decide::call_failure::lost},
		{"not HTTP", "hello\r\n\r\n", after_response::closes, decide::call_failure::lost},
		{"cut off in the body", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"tr", after_response::closes,
			decide::call_failure::lost},
		{"not JSON", http_answer("200 OK", "", "<html>"), after_response::closes, decide::call_failure::lost},
		{"no transfer", http_answer("200 OK", "", "{}"), after_response::closes, decide::call_failure::lost},
		{"transfer of another type", http_answer("200 OK", "", "{\"transfer\": 3}"), after_response::closes,
			decide::call_failure::lost},
		{"at capacity", http_answer("429 Too Many", "", "{}"), after_response::closes, decide::call_failure::rejected},
		{"leaving", http_answer("503 No", "X-Leaving: yes\r\n", "{}"), after_response::closes,
			decide::call_failure::leaving},
		{"broken", http_answer("500 No", "", "{}"), after_response::closes, decide::call_failure::lost},
	};
	for (auto const& each : table)
	{
		CAPTURE(each.name);
		asio::io_context loop{1};
		fixed_response_server const server(loop, each.bytes, each.end);
		http::client client(loop.get_executor());
		auto const backend = daemon::make_http_backend(client);
		auto const outcome = run_to_end(loop, backend.prefill(make_prefill(server.address(), short_deadline)));
		REQUIRE(failure_kind(outcome) == each.kind);
	}
}

TEST_CASE(
	"a decode engine's tokens are passed on as received, and only a complete stream counts as finished", "[backend]")
{
	struct row
	{
		char const* name;
		std::string body;
		std::size_t tokens;
		bool is_finished;
	};
	std::string const first = "id: 0\ndata: {\"token\": \"a\"}\n\n";
	std::string const second = "id: 1\ndata: {\"token\": \"b\"}\n\n";
	std::string const end = "event: end\ndata: {\"total\": 2}\n\n";
	std::vector<row> const table{
		{"complete", first + second + end, 2, true},
		{"repeated token", first + first + second + end, 3, true},
		{"out of order", second + first + end, 2, true},
		{"cut off before the end", first + second, 2, false},
		{"cut off in an event", first + "id: 1\ndata: {\"to", 1, false},
		{"no index", first + "data: {\"token\": \"b\"}\n\n" + end, 1, false},
		{"index that is not a number", "id: x\ndata: {\"token\": \"b\"}\n\n" + end, 0, false},
		{"not JSON", "id: 0\ndata: nonsense\n\n" + end, 0, false},
		{"nothing", "", 0, false},
	};
	for (auto const& each : table)
	{
		CAPTURE(each.name);
		asio::io_context loop{1};
		fixed_response_server const server(loop, stream_of(each.body), after_response::closes);
		http::client client(loop.get_executor());
		auto const backend = daemon::make_http_backend(client);
		auto const outcome = run_to_end(loop, decode_all(backend, make_decode(server.address())));
		REQUIRE(outcome.tokens.size() == each.tokens);
		REQUIRE(std::holds_alternative<decide::decode_finished>(outcome.end) == each.is_finished);
	}
}

TEST_CASE("a call whose connection was refused is not reported as lost", "[backend]")
{
	asio::io_context loop{1};
	http::client client(loop.get_executor());
	auto const backend = daemon::make_http_backend(client);
	auto const refused = refused_address(loop);
	REQUIRE(failure_kind(run_to_end(loop, backend.plain(make_plain(refused)))) == decide::call_failure::not_connected);
	REQUIRE(
		failure_kind(run_to_end(loop, backend.prefill(make_prefill(refused)))) == decide::call_failure::not_connected);
	fixed_response_server const closing(loop, "", after_response::closes);
	REQUIRE(failure_kind(run_to_end(loop, backend.plain(make_plain(closing.address())))) == decide::call_failure::lost);
	fixed_response_server const silent(loop, "", after_response::stays_silent);
	REQUIRE(failure_kind(run_to_end(loop, backend.plain(make_plain(silent.address(), short_deadline)))) ==
			decide::call_failure::lost);
	fixed_response_server const leaving(loop, http_answer("503 No", "X-Leaving: yes\r\n", ""), after_response::closes);
	REQUIRE(
		failure_kind(run_to_end(loop, backend.plain(make_plain(leaving.address())))) == decide::call_failure::leaving);
	fixed_response_server const answering(
		loop, http_answer("404 No", "Content-Type: text/x\r\n", "gone"), after_response::closes);
	auto const outcome = run_to_end(loop, backend.plain(make_plain(answering.address())));
	auto const& answer = std::get<decide::plain_answered>(outcome);
	REQUIRE(answer.status == 404);
	REQUIRE(answer.content_type == "text/x");
	REQUIRE(answer.body == "gone");
}
