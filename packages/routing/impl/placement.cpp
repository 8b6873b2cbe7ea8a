#include <godwittrestle/routing/placement.hpp>

#include <algorithm>
#include <ranges>
#include <tuple>

namespace godwittrestle::routing
{
	namespace
	{
		// A server that has left a call unanswered for this long gets no further one while others can take it.
		constexpr duration longest_silence = milliseconds(400);
		// Weight of the share of failed calls against one running call.
		constexpr double failure_weight = 4;

		struct ranked_server
		{
			server_pointer server;
			bool is_doubtful = false;
			double work = 0;
		};

		bool is_doubtful(server_record const& server, time_point now)
		{
			return server.health.is_suspect(now) || server.load.oldest_unanswered(now) > longest_silence;
		}

		// Removes what the request excludes; doubtful servers stay only when there is nothing else.
		std::vector<server_pointer> usable(
			std::vector<server_pointer> candidates, placement_request const& request, time_point now)
		{
			std::erase_if(
				candidates, [&](server_pointer const& each) { return request.excluded.contains(each->entry.id); });
			auto const doubtful = [&](server_pointer const& each) { return is_doubtful(*each, now); };
			if (!std::ranges::all_of(candidates, doubtful))
			{
				std::erase_if(candidates, doubtful);
			}
			return candidates;
		}

		// Tokens that are to be prefilled on an engine before a new prompt, by all daemons.
		double queued_tokens(server_record const& engine, time_point now)
		{
			return static_cast<double>(engine.load.own_tokens() + engine.load.others_tokens(now));
		}

		duration time_for(double tokens, double tokens_per_ms)
		{
			return duration(static_cast<duration::rep>(tokens / tokens_per_ms * 1000));
		}

		// Returns the engine with the fewest queued tokens; at random among equals, so that daemons that know nothing of
		// each other do not choose the same one.
		server_pointer least_queued(std::vector<server_pointer> const& engines, random_draw const& draw, time_point now)
		{
			server_pointer best;
			std::tuple<double, double> best_rank;
			for (auto const& engine : engines)
			{
				std::tuple<double, double> const rank(queued_tokens(*engine, now), draw());
				if (!best || rank < best_rank)
				{
					best = engine;
					best_rank = rank;
				}
			}
			return best;
		}

		server_pointer fewest_running(
			std::vector<server_pointer> const& engines, random_draw const& draw, time_point now)
		{
			server_pointer best;
			std::tuple<std::uint64_t, double, double> best_rank;
			for (auto const& engine : engines)
			{
				std::tuple<std::uint64_t, double, double> const rank(
					engine->load.running() + engine->load.others_running(now), queued_tokens(*engine, now), draw());
				if (!best || rank < best_rank)
				{
					best = engine;
					best_rank = rank;
				}
			}
			return best;
		}
	}

	server_pointer place_call(directory const& servers, placement_request const& request, random_draw const& draw,
		time_point now)
	{
		auto const candidates = usable(servers.candidates(request.service, server_role::plain, now), request, now);
		server_pointer best;
		std::tuple<double, double> best_rank;
		for (auto const& server : candidates)
		{
			auto const running = static_cast<double>(server->load.running() + server->load.others_running(now));
			auto const slots = static_cast<double>(std::max(1U, server->entry.slots));
			auto const is_near = server->entry.data_centre == request.data_centre;
			std::tuple<double, double> const rank(
				running / slots + failure_weight * server->health.failure_share() / slots, is_near ? -1 : draw());
			if (!best || rank < best_rank)
			{
				best = server;
				best_rank = rank;
			}
		}
		return best;
	}

	std::optional<stream_placement> place_stream(directory const& servers, placement_request const& request,
		engine_speed const& speed, random_draw const& draw, time_point now)
	{
		auto const prompt = static_cast<double>(request.prompt.count());
		auto const decoders = usable(servers.candidates(request.service, server_role::decode, now), request, now);
		auto const direct = least_queued(decoders, draw, now);
		if (!direct)
		{
			return std::nullopt;
		}
		auto const direct_time = time_for(queued_tokens(*direct, now) + prompt, speed.mixed_tokens_per_ms);
		auto const prefillers = usable(servers.candidates(request.service, server_role::prefill, now), request, now);
		auto const prefill = request.may_split ? least_queued(prefillers, draw, now) : nullptr;
		if (!prefill || is_doubtful(*prefill, now))
		{
			return stream_placement{nullptr, direct, direct_time};
		}
		auto const split_time =
			time_for(queued_tokens(*prefill, now) + prompt, speed.prefill_tokens_per_ms) + speed.transfer;
		if (split_time > request.split_limit && direct_time < split_time)
		{
			return stream_placement{nullptr, direct, direct_time};
		}
		return stream_placement{prefill, fewest_running(decoders, draw, now), split_time};
	}
}
