#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <godwittrestle/decide.hpp>

#include "engine_model.hpp"
#include "workload.hpp"

namespace godwittrestle::bench
{
	// The result of one request.
	struct outcome
	{
		arrival requested;
		std::optional<time_point> first_token;
		time_point last_token;
		std::uint32_t tokens = 0;
		bool is_complete = false;
		bool is_refused = false;
		bool is_failed = false;
		bool is_cancelled = false;
		// Time from the arrival to the refusal or failure.
		duration refused_after{};
		// Delay after which the refusal or failure tells the caller to retry.
		duration retry_after{};
		// Times between consecutive tokens.
		std::vector<duration> gaps;
	};

	// The engines of one run.
	struct engine_set
	{
		std::vector<std::unique_ptr<prefill_model>> prefill;
		std::vector<std::unique_ptr<decode_model>> decode;
		engine_totals totals;
	};

	// Chooses engines for requests and runs the requests on them.
	class router
	{
	  public:
		router() = default;
		router(router const&) = delete;
		router& operator=(router const&) = delete;
		router(router&&) = delete;
		router& operator=(router&&) = delete;
		virtual ~router() = default;

		// Starts a request. The outcome must live until the end of the run.
		virtual void begin(std::size_t index, outcome& target) = 0;
		// Handles the caller's disconnection from a request.
		virtual void disconnect(std::size_t index) = 0;
	};

	// Options of the decision core for a run.
	struct core_options
	{
		decide::slot_rule slots = decide::slot_rule::with_reservation;
		bool uses_prefixes = true;
		bool refuses_immediately = true;
		// Overrides the user's objective unless unspecified.
		policy::Objective objective = policy::OBJECTIVE_UNSPECIFIED;
	};

	// Makes a router that passes events to a real decision core and executes the actions that the core returns.
	[[nodiscard]] std::unique_ptr<router> make_core_router(
		event_queue& events, engine_set& engines, user_profile const& user, core_options options, std::uint64_t seed);

	// Policy of a baseline router: how it chooses an engine.
	enum class baseline
	{
		round_robin,
		least_reported_load,
		two_choices,
	};

	// Makes a router that reserves nothing, acts on lagging load reports and retries a failed request once.
	[[nodiscard]] std::unique_ptr<router> make_baseline_router(
		event_queue& events, engine_set& engines, baseline kind, std::uint64_t seed);
}
