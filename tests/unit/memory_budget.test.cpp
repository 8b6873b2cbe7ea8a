#include <catch2/catch.hpp>

#include <string>
#include <tuple>
#include <vector>

#include <godwittrestle/http/memory_budget.hpp>

using namespace godwittrestle;
using http::yield_reason;

namespace
{
	constexpr std::size_t body = 100'000;
	constexpr http::memory_limits limits{10 * body, body};
	constexpr duration long_pause = seconds(2);

	time_point at(duration since_start)
	{
		return time_point(since_start);
	}

	// Lets requests of an address hold this many bytes each. Returns their ids.
	std::vector<http::holder_id> fill(
		http::memory_budget& budget, std::string const& address, std::size_t count, std::size_t bytes, time_point now)
	{
		std::vector<http::holder_id> ids;
		for (std::size_t number = 0; number < count; ++number)
		{
			ids.push_back(budget.begin(address, now));
			CHECK(budget.hold(ids.back(), bytes, now).empty());
		}
		return ids;
	}
}

TEST_CASE("nobody yields within the budget, and a single request always fits", "[memory_budget]")
{
	http::memory_budget budget({1, body});
	auto const lone = budget.begin("a", at({}));
	CHECK(budget.hold(lone, body, at({})).empty());
	CHECK(budget.held() == body);
	budget.end(lone);
	CHECK(budget.held() == 0);
}

TEST_CASE("bodies that have stopped yield before those that move", "[memory_budget]")
{
	http::memory_budget budget(limits);
	auto const first = fill(budget, "a", 5, body / 2, at({}));
	auto const second = fill(budget, "b", 5, body / 2, at({}));
	for (auto const& id : {first[0], first[1], first[3], first[4], second[0], second[1], second[2], second[3]})
	{
		CHECK(budget.hold(id, body, at(long_pause)).empty());
	}
	std::ignore = fill(budget, "c", 1, body, at(long_pause));
	auto const added = budget.begin("c", at(long_pause));
	CHECK(budget.hold(added, body, at(long_pause)) ==
		  std::vector<http::yielding_request>{{second[4], yield_reason::stopped}, {first[2], yield_reason::stopped}});
}

TEST_CASE(
	"the newest large body of the address that holds most yields, never the small one of another", "[memory_budget]")
{
	http::memory_budget budget(limits);
	auto const first = fill(budget, "a", 7, body, at({}));
	auto const second = fill(budget, "b", 3, body, at({}));
	auto const small = budget.begin("a", at({}));
	auto const yielding = budget.hold(small, 10, at({}));
	CHECK(yielding == std::vector<http::yielding_request>{{first.back(), yield_reason::no_room}});
	CHECK(budget.held() == 9 * body + 10);
}

TEST_CASE("one address does not hold the whole budget", "[memory_budget]")
{
	http::memory_budget budget(limits);
	std::ignore = fill(budget, "a", 7, body, at({}));
	auto const beyond = budget.begin("a", at({}));
	CHECK(budget.hold(beyond, body, at({})) == std::vector<http::yielding_request>{{beyond, yield_reason::no_room}});
	CHECK(budget.held() == 7 * body);
	std::ignore = fill(budget, "b", 3, body, at({}));
}

TEST_CASE("a body that has arrived never yields", "[memory_budget]")
{
	http::memory_budget budget(limits);
	for (auto const* const address : {"a", "b"})
	{
		for (auto const& id : fill(budget, address, 5, body, at({})))
		{
			budget.complete(id);
		}
	}
	auto const added = budget.begin("c", at(long_pause));
	CHECK(budget.hold(added, body, at(long_pause)) ==
		  std::vector<http::yielding_request>{{added, yield_reason::no_room}});
}

TEST_CASE("answers yield only while they wait for a caller that has stopped, the longest first", "[memory_budget]")
{
	http::memory_budget budget(limits);
	std::vector<http::holder_id> answers;
	for (auto count = 0; count < 10; ++count)
	{
		answers.push_back(budget.begin_answer("a", at({})));
		CHECK(budget.hold(answers.back(), body, at({})).empty());
	}
	CHECK_FALSE(budget.has_room());
	// None waits for its caller.
	CHECK(budget.make_room(at(long_pause)).empty());
	budget.begin_wait(answers[3], at(milliseconds(100)));
	budget.begin_wait(answers[5], at({}));
	budget.begin_wait(answers[7], at({}));
	budget.end_wait(answers[7]);
	CHECK(budget.make_room(at(milliseconds(200))).empty());
	auto const added = budget.begin_answer("b", at(milliseconds(700)));
	// The slow one has moved.
	budget.note_move(answers[3], at(milliseconds(400)));
	CHECK(budget.hold(added, body, at(milliseconds(700))) ==
		  std::vector<http::yielding_request>{{answers[5], yield_reason::stopped}});
	CHECK(budget.make_room(at(milliseconds(700))).empty());
	CHECK(budget.make_room(at(long_pause)) == std::vector<http::yielding_request>{{answers[3], yield_reason::stopped}});
	CHECK(budget.has_room());
	CHECK(budget.held() == 9 * body);
}

TEST_CASE("a body yields to answers that move, and an answer's end frees its part", "[memory_budget]")
{
	http::memory_budget budget(limits);
	auto const answer = budget.begin_answer("a", at({}));
	CHECK(budget.hold(answer, 10 * body, at({})).empty());
	budget.begin_wait(answer, at(long_pause));
	auto const added = budget.begin("b", at(long_pause));
	CHECK(budget.hold(added, body, at(long_pause)) ==
		  std::vector<http::yielding_request>{{added, yield_reason::no_room}});
	budget.end(answer);
	CHECK(budget.held() == 0);
}
