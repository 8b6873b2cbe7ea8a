#include <catch2/catch.hpp>

#include <godwittrestle/decide/lease_queue.hpp>

using namespace godwittrestle;
using namespace godwittrestle::decide;

namespace
{
	waiting_request make(std::string attempt, std::string account, std::uint32_t priority = 1)
	{
		waiting_request request;
		request.attempt = std::move(attempt);
		request.account = account_id(std::move(account));
		request.priority = priority;
		request.output_tokens = token_count(100);
		request.patience = seconds(10);
		request.first_token_target = seconds(10);
		return request;
	}

	std::vector<std::string> order_of(lease_queue const& queue, time_point now)
	{
		std::vector<std::string> attempts;
		for (auto const* const request : queue.ordered(now))
		{
			attempts.push_back(request->attempt);
		}
		return attempts;
	}
}

TEST_CASE("a burst of one account does not starve another account", "[lease_queue]")
{
	lease_queue queue;
	for (auto const* const attempt : {"a1", "a2", "a3", "a4"})
	{
		queue.push(make(attempt, "a"));
	}
	queue.push(make("b1", "b"));
	REQUIRE(order_of(queue, {}) == std::vector<std::string>{"a1", "b1", "a2", "a3", "a4"});
}

TEST_CASE("requests are served by priority, except that one past half of its patience moves to the first priority",
	"[lease_queue]")
{
	lease_queue queue;
	auto urgent = make("urgent", "a", 0);
	urgent.waiting_since = time_point(seconds(6));
	queue.push(make("patient", "b", 5));
	queue.push(urgent);
	REQUIRE(order_of(queue, time_point(seconds(1))).front() == "urgent");
	REQUIRE(order_of(queue, time_point(seconds(6))).front() == "patient");
}

TEST_CASE("requests that can still meet their first-token target are served before late ones", "[lease_queue]")
{
	lease_queue queue;
	auto late = make("late", "a", 0);
	late.first_token_target = milliseconds(100);
	late.min_time_to_first_token = milliseconds(200);
	queue.push(late);
	queue.push(make("in time", "b", 5));
	REQUIRE(order_of(queue, {}).front() == "in time");
}

TEST_CASE(
	"a repeated push keeps the position, and requests no longer asked for are reported as abandoned", "[lease_queue]")
{
	lease_queue queue;
	queue.push(make("a1", "a"));
	queue.push(make("a2", "a"));
	auto again = make("a1", "a");
	again.asked_at = time_point(seconds(2));
	queue.push(again);
	REQUIRE(order_of(queue, {}).front() == "a1");
	REQUIRE(queue.abandoned(time_point(seconds(1))) == std::vector<std::string>{"a2"});
}
