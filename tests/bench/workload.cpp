#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <random>

#include <fmt/format.h>

#include <godwittrestle/decide/rendezvous.hpp>

namespace godwittrestle::bench
{
	namespace
	{
		constexpr std::uint32_t min_prompt_tokens = 64;
		constexpr std::uint32_t max_prompt_tokens = 30'000;
		constexpr std::uint32_t max_output_tokens = 1'000;
		constexpr double burst_factor = 5;
		constexpr duration burst_length = seconds(5);
		constexpr double cancelling_fraction = 0.1;
		constexpr double sharing_fraction = 0.6;
		constexpr int shared_documents = 40;
		constexpr int accounts = 8;
	}

	user_profile malinis()
	{
		return {"malinis", 3, 7, 4'000, 0.5, 200, 10'000, policy::GOODPUT, milliseconds(1'000)};
	}

	user_profile cascade()
	{
		return {"cascade", 4, 8, 6'000, 0.5, 250, 25'000, policy::WASTE, milliseconds(5'000)};
	}

	std::vector<workload> all_workloads()
	{
		return {{"steady 70%", 0.7, disturbance::none}, {"steady 90%", 0.9, disturbance::none},
			{"steady 100%", 1.0, disturbance::none}, {"steady 120%", 1.2, disturbance::none},
			{"burst x5", 0.7, disturbance::burst}, {"decode lost", 0.9, disturbance::decode_lost},
			{"prefill lost", 0.9, disturbance::prefill_lost}, {"decode slow", 0.9, disturbance::decode_slow},
			{"prefill slow", 0.9, disturbance::prefill_slow}, {"10% cancel", 0.9, disturbance::cancelling},
			{"shared prefixes", 0.9, disturbance::shared_prefixes}};
	}

	double decode_capacity(user_profile const& user, engine_parameters const& parameters)
	{
		auto const step = parameters.step_base + parameters.step_per_request * parameters.slots;
		auto const stream_seconds = user.mean_output_tokens * static_cast<double>(step.count()) / 1e6;
		return user.decode_engines * parameters.slots / stream_seconds;
	}

	std::vector<arrival> make_arrivals(user_profile const& user, workload const& load,
		engine_parameters const& parameters, duration length, std::uint64_t seed)
	{
		std::mt19937_64 random(seed);
		auto const arrivals_per_us = decode_capacity(user, parameters) * load.load_factor / 1e6;
		std::exponential_distribution<double> gap(arrivals_per_us);
		std::lognormal_distribution<double> prompt(std::log(user.median_prompt_tokens), user.prompt_spread);
		std::exponential_distribution<double> output(1.0 / user.mean_output_tokens);
		std::uniform_real_distribution<double> chance;
		std::vector<arrival> arrivals;
		auto const middle = time_point(length / 2);
		double now = 0;
		while (now < static_cast<double>(length.count()))
		{
			auto const previous_arrival = time_point(duration(static_cast<duration::rep>(now)));
			auto const is_burst = load.disturbance_kind == disturbance::burst && previous_arrival >= middle &&
								  previous_arrival < middle + burst_length;
			now += gap(random) / (is_burst ? burst_factor : 1.0);
			arrival next;
			next.at = time_point(duration(static_cast<duration::rep>(now)));
			next.prompt_tokens =
				std::clamp(static_cast<std::uint32_t>(prompt(random)), min_prompt_tokens, max_prompt_tokens);
			next.output_tokens = std::clamp(static_cast<std::uint32_t>(output(random)), 8U, max_output_tokens);
			next.account = fmt::format("account-{}", random() % accounts);
			auto const shares =
				load.disturbance_kind == disturbance::shared_prefixes && chance(random) < sharing_fraction;
			auto chain = shares ? random() % shared_documents : random();
			for (std::uint32_t block = 0; block < next.prompt_tokens / decide::block_tokens; ++block)
			{
				// Prompts that share a document have all blocks but the last in common.
				auto const is_last = block + 1 == next.prompt_tokens / decide::block_tokens;
				chain = decide::hash_bytes(std::to_string(shares && is_last ? random() : chain), chain);
				next.blocks.push_back(chain);
			}
			if (load.disturbance_kind == disturbance::cancelling && chance(random) < cancelling_fraction)
			{
				next.disconnects_after = duration(static_cast<duration::rep>(chance(random) * 5e6));
			}
			arrivals.push_back(std::move(next));
		}
		return arrivals;
	}
}
