#include <godwittrestle/routing/placement.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <ranges>
#include <tuple>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/routing/load_estimate.hpp>

namespace godwittrestle::routing
{
	namespace
	{
		// A server that has been silent for longer than this while a call is unanswered gets further calls only when no
		// other server can take them.
		constexpr duration max_silence = milliseconds(400);
		// Weight of the failure share: a server whose calls all fail ranks like one with this number of additional
		// running calls.
		constexpr double failure_weight = 4;

		bool is_unreliable(server_record const& server, time_point now)
		{
			return server.health.is_suspect(now) || server.load.silent_for(now) > max_silence;
		}

		// Returns whether the limit that the server states keeps it from getting the request.
		bool is_limited(server_record const& server, placement_request const& request, time_point now)
		{
			return server.limit.refused_for(now) > duration{} ||
				   (server.limit.rate().has_value() && !request.may_use_limited);
		}

		// Removes excluded servers, those that requested a pause and those whose limit allows no request now. Removes
		// unreliable servers unless all remaining ones are unreliable.
		std::vector<server_pointer> usable(
			std::vector<server_pointer> candidates, placement_request const& request, time_point now)
		{
			std::erase_if(candidates,
				[&](server_pointer const& each)
				{
					return request.excluded.contains(each->entry.id) || each->load.is_paused(now) ||
						   is_limited(*each, request, now);
				});
			auto const unreliable = [&](server_pointer const& each)
			{
				return is_unreliable(*each, now);
			};
			if (!std::ranges::all_of(candidates, unreliable))
			{
				std::erase_if(candidates, unreliable);
			}
			return candidates;
		}

		// Returns the decode engines that are worth comparing by the reported load: those on which this daemon itself
		// has the least, which it knows exactly, drawn at random among equals.
		std::vector<server_pointer> engines_to_compare(
			std::vector<server_pointer> const& engines, duration stream_time, random_draw const& draw, time_point now)
		{
			auto const started = std::transform_reduce(engines.begin(), engines.end(), 0.0, std::plus<>(),
				[&](server_pointer const& each) { return each->load.started_elsewhere(stream_time, now); });
			auto const count = choice_count(engines.size(), started);
			if (count == engines.size())
			{
				return engines;
			}
			auto compared = random_sample(engines, engines.size(), draw);
			std::ranges::stable_sort(
				compared, {}, [](server_pointer const& each) { return each->load.own().committed; });
			compared.resize(count);
			return compared;
		}

		// Returns the tokens of all daemons that are queued for prefill on an engine.
		double queued_tokens(server_record const& engine, time_point now)
		{
			return static_cast<double>(engine.load.total(now).to_prefill);
		}

		// Returns the engine with the fewest queued tokens, chosen at random among equals, so that daemons without
		// knowledge of each other do not all choose the same engine.
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
	}

	server_pointer place_call(
		directory const& servers, placement_request const& request, random_draw const& draw, time_point now)
	{
		auto const candidates = usable(servers.candidates(request.service, server_role::plain, now), request, now);
		server_pointer best;
		std::tuple<double, double> best_rank;
		for (auto const& server : candidates)
		{
			auto const running = static_cast<double>(server->load.total(now).running);
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

	std::vector<server_pointer> rank_decode_engines(
		directory const& servers, placement_request const& request, random_draw const& draw, time_point now)
	{
		struct ranked_engine
		{
			// Engines worth comparing, then the least memory committed.
			std::tuple<bool, double, double> rank;
			server_pointer engine;
		};

		auto candidates = servers.stream_servers(request.service, now);
		std::erase_if(candidates,
			[&](server_pointer const& each)
			{
				auto const& version = each->entry.version;
				return request.version ? version != *request.version : request.reserved_versions.contains(version);
			});
		auto engines = usable(std::move(candidates), request, now);
		std::erase_if(engines,
			[&](server_pointer const& each)
			{
				auto const committed = each->load.total(now).committed;
				auto const fits = committed == 0 || request.capacity.count() == 0 ||
								  committed + request.needed.count() <= request.capacity.count();
				auto const own = each->load.own().committed;
				auto const is_within_own = own == 0 || request.own_capacity.count() == 0 ||
										   own + request.needed.count() <= request.own_capacity.count();
				return !fits || !is_within_own || each->load.is_full(now);
			});
		auto const compared = engines_to_compare(engines, request.stream_time, draw, now);
		std::vector<ranked_engine> ranked;
		std::ranges::transform(engines, std::back_inserter(ranked),
			[&](server_pointer const& each)
			{
				auto const committed = each->load.expected(&server_share::committed, request.stream_time, now);
				return ranked_engine{{!contains(compared, each), committed, draw()}, each};
			});
		std::ranges::sort(ranked, {}, &ranked_engine::rank);
		std::ranges::transform(ranked, engines.begin(), &ranked_engine::engine);
		return engines;
	}

	stream_placement place_prefill(directory const& servers, placement_request const& request, server_pointer decode,
		engine_speed const& speed, random_draw const& draw, time_point now)
	{
		auto const prompt = static_cast<double>(request.prompt.count());
		auto const direct_time = speed.decode_engine_prefill_time(queued_tokens(*decode, now) + prompt);
		auto prefillers = usable(servers.candidates(request.service, server_role::prefill, now), request, now);
		std::erase_if(prefillers, [now](server_pointer const& each) { return each->load.is_full(now); });
		auto const prefill = request.may_use_prefill_engine ? least_queued(prefillers, draw, now) : nullptr;
		if (!prefill || is_unreliable(*prefill, now))
		{
			return stream_placement{nullptr, std::move(decode), direct_time};
		}
		auto const split_time = speed.prefill_time(queued_tokens(*prefill, now) + prompt) + speed.decode_start;
		auto const is_idle = decode->load.total(now).running == 0;
		auto const is_earlier_direct = is_idle && split_time > request.idle_split_limit && direct_time < split_time;
		auto const is_late_split = split_time > request.first_event_limit && direct_time <= request.first_event_limit;
		if (is_earlier_direct || is_late_split)
		{
			return stream_placement{nullptr, std::move(decode), direct_time};
		}
		return stream_placement{prefill, std::move(decode), split_time};
	}
}
