#pragma once

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <thread>
#include <tuple>

#include <fmt/format.h>

#include "breaking_engines.hpp"
#include "daemon_group.hpp"
#include "stream_answers.hpp"
#include "stream_caller.hpp"

namespace godwittrestle::testing
{
	inline constexpr std::size_t daemon_count = 3;
	// The daemon that reaches no engine.
	inline constexpr std::size_t relay = 0;
	// A daemon that reaches all engines, as the next one does.
	inline constexpr std::size_t direct = 1;

	// Waits until the condition holds.
	template <typename Condition>
	void await(Condition condition)
	{
		constexpr std::chrono::seconds longest_wait{10};
		constexpr std::chrono::milliseconds poll_interval{5};
		auto const give_up_at = std::chrono::steady_clock::now() + longest_wait;
		while (!condition())
		{
			REQUIRE(std::chrono::steady_clock::now() < give_up_at);
			std::this_thread::sleep_for(poll_interval);
		}
	}

	// Checks that an answer goes on behind an event with each next one, and is whole only with the last. Returns the
	// last event of the caller. An event that has arrived in part is left out where the caller has left.
	inline int check_answer(caller_answer answer, int last, int events, bool has_left = false)
	{
		if (has_left)
		{
			auto const end = answer.body.rfind("\n\n");
			answer.body.resize(end == std::string::npos ? 0 : end + 2);
		}
		CAPTURE(answer.status, answer.body, answer.is_whole, last, events);
		if (answer.status != 200)
		{
			CHECK(answer.body.find("data:") == std::string::npos);
			return last;
		}
		std::string expected;
		while (expected.size() < answer.body.size())
		{
			expected += event_text(++last);
		}
		CHECK(answer.body == expected);
		CHECK((!answer.is_whole || last >= events));
		CHECK((answer.body.empty() || last <= events));
		return last;
	}

	// Checks that each event that the caller got was sent, that each run went on behind an event that was sent before,
	// and that a try reached no more engines than its route allows.
	inline void check_engines(
		breaking_engines const& engines, std::string const& stream, int received, std::size_t tries = 1)
	{
		constexpr std::size_t max_servers = 3;
		auto const runs = engines.runs(stream);
		int sent = 0;
		for (auto const& each : runs)
		{
			CAPTURE(stream, each.attempt, each.daemon, each.first, each.last, sent);
			CHECK(each.first <= sent + 1);
			sent = std::max(sent, each.last);
		}
		CAPTURE(stream, runs.size());
		CHECK(received <= sent);
		CHECK(runs.size() <= tries * max_servers);
	}

	inline routing::route make_stream_route(bool is_resumable)
	{
		auto route = make_long_route();
		route.resumable = is_resumable;
		return route;
	}

	// Daemons of which one passes all its streams on.
	class relaying_group
	{
	  public:
		explicit relaying_group(bool is_resumable = true)
			: engines(daemon_count)
			, daemons(daemon_count, make_stream_route(is_resumable), {})
		{
			for (std::size_t daemon = 0; daemon < daemon_count; ++daemon)
			{
				this->daemons.publish_to(daemon, this->engines.entries(daemon, daemon == relay));
			}
			// Until the relay passes streams on to each other daemon.
			std::set<std::size_t> asked;
			int number = 0;
			await(
				[&]
				{
					auto const attempt = fmt::format("probe{}-", number++);
					stream_caller caller(this->address(relay));
					caller.ask(attempt, "Events: 1\r\nConnection: close\r\n");
					std::ignore = caller.read();
					for (auto const& each : this->engines.runs(attempt))
					{
						asked.insert(each.daemon);
					}
					return asked.size() == daemon_count - 1;
				});
			// Until the others ask each other which version has begun a stream.
			await([&] { return this->is_taken_up(direct, direct + 1, number++); });
			await([&] { return this->is_taken_up(direct + 1, direct, number++); });
		}

		[[nodiscard]] http::endpoint const& address(std::size_t daemon) const
		{
			return this->daemons.addresses()[daemon];
		}

		// Waits until an attempt has sent an event, and returns the daemon that has asked.
		[[nodiscard]] std::size_t await_event(std::string const& attempt, int event) const
		{
			await(
				[&]
				{
					auto const runs = this->engines.runs(attempt);
					return !runs.empty() && runs.front().last >= event;
				});
			return this->engines.runs(attempt).front().daemon;
		}

		// Returns whether a stream that one daemon has begun goes on at another one.
		[[nodiscard]] bool is_taken_up(std::size_t from, std::size_t to, int number) const
		{
			auto const attempt = fmt::format("probe{}-", number);
			stream_caller first(this->address(from));
			first.ask(attempt, "");
			first.read_to(2);
			std::ignore = first.leave(false);
			stream_caller second(this->address(to));
			second.resume(attempt + "2", attempt, "1", "Events: 2\r\n");
			return second.read().status == 200;
		}

		breaking_engines engines;
		daemon_group daemons;
	};
}
