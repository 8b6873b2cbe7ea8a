#include <godwittrestle/decide/plain_server.hpp>

#include <tuple>
#include <utility>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/decide/membership.hpp>

namespace godwittrestle::decide
{
	namespace
	{
		// For this time after a failed call, a server is chosen only if all others have failed recently too.
		constexpr duration failure_avoidance_time = seconds(2);
	}

	plain_server_choice::plain_server_choice(data_centre_id own)
		: own_data_centre(std::move(own))
	{
	}

	listed_server const* plain_server_choice::choose(
		pool_id const& pool, std::vector<server_id> const& excluded, membership const& members, time_point now) const
	{
		listed_server const* best = nullptr;
		auto best_score = std::tuple(true, true, std::size_t{0});
		for (auto const& server : members.list().servers)
		{
			if (server.pool != pool || contains(excluded, server.id) || !members.accepts_work(server.id))
			{
				continue;
			}
			auto const known = this->states.find(server.id);
			auto const state = known == this->states.end() ? server_state{} : known->second;
			auto const score =
				std::tuple(now < state.avoid_until, server.data_centre != this->own_data_centre, state.running);
			if (best == nullptr || score < best_score)
			{
				best = &server;
				best_score = score;
			}
		}
		return best;
	}

	void plain_server_choice::note_start(server_id const& server)
	{
		++this->states[server].running;
	}

	void plain_server_choice::note_end(server_id const& server, bool failed, time_point now)
	{
		auto& state = this->states[server];
		state.running -= state.running > 0 ? 1 : 0;
		if (failed)
		{
			state.avoid_until = now + failure_avoidance_time;
		}
	}
}
