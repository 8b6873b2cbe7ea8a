#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/policy/policy.pb.h>

#include "engine_model.hpp"

namespace godwittrestle::bench
{
	// Profile of one of the router's present users: number of engines, request lengths, link speed and objective.
	struct user_profile
	{
		std::string name;
		int prefill_engines = 0;
		int decode_engines = 0;
		// Prompt lengths are log-normal with this median and with prompt_spread as the standard deviation of the
		// logarithm.
		double median_prompt_tokens = 0;
		double prompt_spread = 0.5;
		// Output lengths are exponential with this mean.
		double mean_output_tokens = 0;
		double link_bytes_per_us = 10'000;
		policy::Objective objective = policy::GOODPUT;
		duration patience{};
	};

	[[nodiscard]] user_profile malinis();
	[[nodiscard]] user_profile cascade();

	// How a workload deviates from steady load. Bursts, losses and slow engines begin in the middle of the run.
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

	// An offered load and its disturbance.
	struct workload
	{
		std::string name;
		// Offered load as a share of the decode engines' capacity.
		double load_factor = 0.9;
		disturbance disturbance_kind = disturbance::none;
	};

	[[nodiscard]] std::vector<workload> all_workloads();

	// One request of a run, with the chained hashes of its prompt's blocks.
	struct arrival
	{
		time_point at;
		std::uint32_t prompt_tokens = 0;
		std::uint32_t output_tokens = 0;
		std::string account;
		std::vector<std::uint64_t> blocks;
		// Time from the arrival until the caller disconnects; zero if it stays connected.
		duration disconnects_after{};
	};

	// Returns the requests per second that the user's decode engines can serve with full batches.
	[[nodiscard]] double decode_capacity(user_profile const& user, engine_parameters const& parameters);

	// Returns the requests of a run of the given length, in order of arrival. Equal seeds give equal requests.
	[[nodiscard]] std::vector<arrival> make_arrivals(user_profile const& user, workload const& load,
		engine_parameters const& parameters, duration length, std::uint64_t seed);
}
