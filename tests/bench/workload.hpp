#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/policy/policy.pb.h>

#include "engine_model.hpp"

namespace godwittrestle::bench
{
	// One of the users of today, at its size.
	struct user_shape
	{
		std::string name;
		int prefill_engines = 0;
		int decode_engines = 0;
		double median_prompt_tokens = 0;
		double prompt_spread = 0.5;
		double mean_output_tokens = 0;
		double link_bytes_per_us = 10'000;
		policy::Objective objective = policy::GOODPUT;
		duration patience{};
	};

	[[nodiscard]] user_shape malinis();
	[[nodiscard]] user_shape cascade();

	enum class disturbance
	{
		none,
		burst,
		decode_lost,
		prefill_lost,
		decode_slow,
		prefill_slow,
		cancelling,
		shared_prefixes,
	};

	struct workload
	{
		std::string name;
		// Offered load as a share of what the decode engines can take.
		double load = 0.9;
		disturbance trouble = disturbance::none;
	};

	[[nodiscard]] std::vector<workload> all_workloads();

	// One request of a run.
	struct arrival
	{
		time_point at;
		std::uint32_t prompt_tokens = 0;
		std::uint32_t output_tokens = 0;
		std::string account;
		std::vector<std::uint64_t> pieces;
		// When the caller hangs up, counted from its arrival; zero for never.
		duration hangs_up_after{};
	};

	// Requests a second that the user's decode engines can take with full batches.
	[[nodiscard]] double decode_capacity(user_shape const& user, engine_shape const& shape);

	[[nodiscard]] std::vector<arrival> make_arrivals(
		user_shape const& user, workload const& load, engine_shape const& shape, duration length, std::uint64_t seed);
}
