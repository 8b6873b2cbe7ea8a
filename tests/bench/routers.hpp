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
	// What became of one request.
	struct outcome
	{
		arrival asked;
		std::optional<time_point> first_token;
		time_point last_token;
		std::uint32_t tokens = 0;
		bool is_whole = false;
		bool is_refused = false;
		bool is_failed = false;
		bool is_cancelled = false;
		// Time from the decision to give up to the answer; and from arrival to it.
		duration refused_after{};
		duration retry_after{};
		std::vector<duration> gaps;
	};

	// The engines of one run.
	struct engine_set
	{
		std::vector<std::unique_ptr<prefill_model>> prefill;
		std::vector<std::unique_ptr<decode_model>> decode;
		engine_totals totals;
	};

	// Decides where requests go.
	class router
	{
	  public:
		router() = default;
		router(router const&) = delete;
		router& operator=(router const&) = delete;
		router(router&&) = delete;
		router& operator=(router&&) = delete;
		virtual ~router() = default;

		// Begins a request. The outcome lives until the end of the run.
		virtual void begin(std::size_t index, outcome& target) = 0;
		virtual void hang_up(std::size_t index) = 0;
	};

	// How the core is set for a run.
	struct core_options
	{
		decide::slot_rule slots = decide::slot_rule::with_reservation;
		bool uses_prefixes = true;
		bool refuses_at_once = true;
		// Overrides the service's objective.
		policy::Objective objective = policy::OBJECTIVE_UNSPECIFIED;
	};

	// The real core behind its interface.
	[[nodiscard]] std::unique_ptr<router> make_core_router(
		event_queue& events, engine_set& engines, user_shape const& user, core_options options, std::uint64_t seed);

	enum class baseline
	{
		round_robin,
		least_reported_load,
		two_choices,
	};

	// A router without reservation that acts on lagging reports and repeats a failed request once.
	[[nodiscard]] std::unique_ptr<router> make_baseline_router(
		event_queue& events, engine_set& engines, baseline kind, std::uint64_t seed);
}
