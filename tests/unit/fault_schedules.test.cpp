#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "interpreter.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	// Commands of the scenario language: a fault, and the command that ends it.
	std::vector<std::pair<std::string, std::string>> const faults{{"kill d2", "start d2"}, {"kill d3", "start d3"},
		{"pause d1", "resume d1"}, {"pause d2", "resume d2"}, {"pause d3", "resume d3"}, {"cut d1 d2", "heal d1 d2"},
		{"cut d1 d3", "heal d1 d3"}, {"hold d2 d3", "heal d2 d3"}, {"hold d1 d2", "heal d1 d2"},
		{"cut d1 decode-1", "heal d1 decode-1"}, {"cut d2 prefill-1", "heal d2 prefill-1"},
		{"silence decode-1", "unsilence decode-1"}, {"silence plain-1", "unsilence plain-1"},
		{"cut d1 platform", "heal d1 platform"}, {"outage", "recover"}, {"noise 0.2 0.2", "noise 0 0"},
		{"drain d3", "run 1"}};

	command to_command(std::string const& text)
	{
		std::istringstream stream(text);
		return {{std::istream_iterator<std::string>(stream), {}}, 0};
	}

	// Returns a schedule with calls of both kinds and a fault after each pair of calls. All faults are ended before the
	// final expectations.
	std::vector<command> make_schedule(std::vector<std::size_t> const& picks, std::vector<int> const& pauses)
	{
		std::vector<command> schedule{to_command("fleet daemons=4"), to_command("key k from d1"), to_command("run 20")};
		for (std::size_t step = 0; step < picks.size(); ++step)
		{
			schedule.push_back(
				to_command(fmt::format("complete c{} via d{} tokens=60 prompt=8000", step, step % 4 + 1)));
			schedule.push_back(to_command(fmt::format("book b{} via d{} key=k body=x", step, (step + 1) % 4 + 1)));
			schedule.push_back(to_command(faults[picks[step]].first));
			schedule.push_back(to_command(fmt::format("run {}", pauses[step])));
		}
		for (auto const pick : picks)
		{
			schedule.push_back(to_command(faults[pick].second));
		}
		schedule.push_back(to_command("heal all"));
		schedule.push_back(to_command("expect all answered within 40000"));
		schedule.push_back(to_command("expect held = 0 within 5000"));
		return schedule;
	}

	// Runs 150 random schedules, which are the same each time, since the seed is fixed. Returns the first failure with
	// its seed and schedule, or an empty string.
	std::string first_failure(decide::mechanism_set mechanisms)
	{
		constexpr auto steps = 5;
		rc::detail::TestParams parameters;
		parameters.seed = 20'261'204;
		parameters.maxSuccess = 150;
		parameters.disableShrinking = true;
		std::string description;
		auto const property = [&]
		{
			auto const picks =
				*rc::gen::container<std::vector<std::size_t>>(steps, rc::gen::inRange<std::size_t>(0, faults.size()));
			auto const pauses = *rc::gen::container<std::vector<int>>(steps, rc::gen::inRange(1, 3000));
			auto const seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
			interpreter run(mechanisms, seed);
			auto const failures = run.run(make_schedule(picks, pauses));
			if (!failures.empty() && description.empty())
			{
				description = fmt::format("seed {}: ", seed);
				for (std::size_t step = 0; step < picks.size(); ++step)
				{
					description += fmt::format("{}; run {}; ", faults[picks[step]].first, pauses[step]);
				}
				description += failures.front();
			}
			RC_ASSERT(failures.empty());
		};
		std::ignore = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, parameters);
		return description;
	}
}

TEST_CASE("all expectations hold under random schedules of faults", "[fault_schedules]")
{
	REQUIRE(first_failure({}) == "");
}

TEST_CASE("random schedules of faults detect a mechanism that is switched off", "[fault_schedules]")
{
	for (auto const* const name : {"key_recorded_before_send", "token_deduplication"})
	{
		CAPTURE(name);
		decide::mechanism_set without;
		disable_mechanism(without, name);
		REQUIRE_FALSE(first_failure(without).empty());
	}
}
