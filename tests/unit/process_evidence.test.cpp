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

	process_evidence make_evidence(bool is_refused, bool is_accepted, bool has_answered, std::uint64_t stated)
	{
		process_evidence seen;
		seen.is_refused = is_refused;
		seen.is_accepted = is_accepted;
		seen.has_answered = has_answered;
		seen.stated = incarnation(stated);
		return seen;
	}

	struct evidence_case
	{
		std::string_view name;
		process_evidence seen;
		process_state of_engine;
		process_state of_plain_server;
		process_state of_engine_without_start;
	};
}

TEST_CASE("what is seen of a server tells what has become of its process")
{
	using enum process_state;
	auto const each = GENERATE(values<evidence_case>({
		{"the port is refused", make_evidence(true, false, false, 0), ended, ended, ended},
		{"it states the start of its entry", make_evidence(false, true, true, 7), same, same, same},
		{"it states another start", make_evidence(false, true, true, 8), ended, same, same},
		{"it answers and states no start", make_evidence(false, true, true, 0), unknown, same, same},
		{"it accepts a connection only", make_evidence(false, true, false, 0), unknown, same, same},
		{"nothing", make_evidence(false, false, false, 0), unknown, unknown, unknown},
	}));
	CAPTURE(each.name);
	REQUIRE(judge_process(make_called(server_role::decode, 7), each.seen) == each.of_engine);
	REQUIRE(judge_process(make_called(server_role::plain, 7), each.seen) == each.of_plain_server);
	REQUIRE(judge_process(make_called(server_role::decode, 0), each.seen) == each.of_engine_without_start);
	auto replaced = each.seen;
	replaced.is_replaced = true;
	REQUIRE(judge_process(make_called(server_role::plain, 7), replaced) == ended);
	auto not_asked = each.seen;
	not_asked.wants_pause = true;
	REQUIRE(judge_process(make_called(server_role::decode, 7), not_asked) ==
			(each.of_engine == unknown ? each.of_engine_without_start : each.of_engine));
}

TEST_CASE("the process that made a stream's first event is known from the start that its server states after it")
{
	request_id const attempt("t1");
	incarnation const sent_to(7);
	auto seen = make_evidence(false, true, true, 7);
	REQUIRE(find_writer(sent_to, seen, attempt) == sent_to);
	// The server has started again, before or after the event.
	seen.stated = incarnation(8);
	REQUIRE_FALSE(find_writer(sent_to, seen, attempt));
	seen.running = std::make_shared<std::set<request_id> const>(std::set<request_id>{request_id("t2")});
	REQUIRE_FALSE(find_writer(sent_to, seen, attempt));
	seen.running = std::make_shared<std::set<request_id> const>(std::set<request_id>{attempt});
	REQUIRE(find_writer(sent_to, seen, attempt) == incarnation(8));
	// An answer without a start tells nothing.
	REQUIRE_FALSE(find_writer(sent_to, make_evidence(false, true, true, 0), attempt));
	REQUIRE_FALSE(find_writer(incarnation(), make_evidence(false, true, true, 0), attempt));
}
