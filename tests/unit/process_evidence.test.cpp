#include <catch2/catch.hpp>

#include <godwittrestle/routing/process_evidence.hpp>

using namespace godwittrestle;
using namespace godwittrestle::routing;

namespace
{
	registered_server make_called(server_role role, std::uint64_t started)
	{
		registered_server server;
		server.role = role;
		server.started = incarnation(started);
		return server;
	}

	process_evidence make_evidence(port_evidence port, process_statement statement)
	{
		process_evidence seen;
		seen.port = port;
		seen.statement = std::move(statement);
		return seen;
	}

	process_evidence make_stated(std::uint64_t start)
	{
		return make_evidence(port_evidence::none, start_stated{incarnation(start)});
	}

	struct evidence_case
	{
		std::string_view name;
		process_evidence seen;
		process_state of_engine;
		process_state of_plain_server;
		process_state of_engine_without_start;
		// Whether the process that answers is the one of the engine's entry.
		process_state start;
	};
}

TEST_CASE("what is seen of a server tells what has become of its process")
{
	using enum process_state;
	auto const each = GENERATE(values<evidence_case>({
		{"the port is refused", make_evidence(port_evidence::refused, no_statement()), ended, ended, ended, ended},
		{"it states the start of its entry", make_stated(7), same, same, same, same},
		{"it states another start", make_stated(8), ended, same, same, ended},
		{"it answers and states no start", make_evidence(port_evidence::none, start_not_stated()), unknown, same, same,
			unknown},
		{"it accepts a connection only", make_evidence(port_evidence::accepted, no_statement()), unknown, same, same,
			unknown},
		{"nothing", make_evidence(port_evidence::none, no_statement()), unknown, unknown, unknown, unknown},
		{"another process answers", make_evidence(port_evidence::none, other_process()), ended, ended, ended, ended},
		{"it wants a pause and accepts a connection", make_evidence(port_evidence::accepted, pause_wanted()), same,
			same, same, unknown},
		{"it wants a pause", make_evidence(port_evidence::none, pause_wanted()), unknown, unknown, unknown, unknown},
		{"it wants a pause and its port is refused", make_evidence(port_evidence::refused, pause_wanted()), ended,
			ended, ended, ended},
	}));
	CAPTURE(each.name);
	REQUIRE(judge_process(make_called(server_role::decode, 7), each.seen) == each.of_engine);
	REQUIRE(judge_process(make_called(server_role::plain, 7), each.seen) == each.of_plain_server);
	REQUIRE(judge_process(make_called(server_role::decode, 0), each.seen) == each.of_engine_without_start);
	REQUIRE(judge_start(make_called(server_role::decode, 7), each.seen) == each.start);
	// A server that states no start is never proved to be the process of its entry.
	REQUIRE(judge_start(make_called(server_role::plain, 7), each.seen) != same);
	REQUIRE(judge_start(make_called(server_role::decode, 0), each.seen) != same);
}

TEST_CASE("the process that made a stream's first event is known from the start that its server states after it")
{
	request_id const attempt("t1");
	incarnation const sent_to(7);
	auto seen = make_stated(7);
	REQUIRE(find_writer(sent_to, seen, attempt) == sent_to);
	// The server has started again, before or after the event.
	seen = make_stated(8);
	REQUIRE_FALSE(find_writer(sent_to, seen, attempt));
	auto const running = [](request_id const& named)
	{
		return std::make_shared<std::set<request_id> const>(std::set<request_id>{named});
	};
	seen.statement = start_stated{incarnation(8), running(request_id("t2"))};
	REQUIRE_FALSE(find_writer(sent_to, seen, attempt));
	seen.statement = start_stated{incarnation(8), running(attempt)};
	REQUIRE(find_writer(sent_to, seen, attempt) == incarnation(8));
	// An answer without a start tells nothing.
	seen.statement = start_not_stated();
	REQUIRE_FALSE(find_writer(sent_to, seen, attempt));
	REQUIRE_FALSE(find_writer(incarnation(), seen, attempt));
	seen.statement = no_statement();
	REQUIRE_FALSE(find_writer(incarnation(), seen, attempt));
}
