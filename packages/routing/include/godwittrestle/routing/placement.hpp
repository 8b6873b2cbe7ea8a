#pragma once

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/directory.hpp>
#include <godwittrestle/routing/engine_speed.hpp>

namespace godwittrestle::routing
{
	// Returns a uniform number from 0 up to but not including 1.
	using random_draw = std::function<double()>;

	// Which engines serve a stream.
	struct stream_placement
	{
		// Prefills the prompt; nothing when the decode engine does that itself.
		server_pointer prefill;
		server_pointer decode;
		// Predicted time to the first event.
		duration first_event{};
	};

	// What placing is asked for.
	struct placement_request
	{
		service_id service;
		data_centre_id data_centre;
		// Tokens that have to be prefilled; 0 for plain calls.
		token_count prompt;
		// Tokens of memory that the stream will need at its decode engine, and that one engine has; 0 when not known.
		token_count needed;
		token_count capacity;
		// Tokens of one engine that this daemon alone may commit; 0 for all of them.
		token_count own_capacity;
		// Servers that have already failed or refused this call.
		std::set<server_id> excluded;
		// Time to the first event up to which the prefill engines are waited for while a decode engine is idle.
		duration idle_split_limit{};
		// Time to the first event up to which the stream is in time.
		duration first_event_limit = duration::max();
		// False when only the decode engine itself may prefill.
		bool may_use_prefill_engine = true;
	};

	// Returns the server with the least work for a plain call, healthy ones first, those of the caller's data centre
	// first among equals; nothing when no server may get work. Answers bursts on a few slots while one server is dark.
	[[nodiscard]] server_pointer place_call(
		directory const& servers, placement_request const& request, random_draw const& draw, time_point now);

	// Returns the decode engines that a stream may get, best first: the one whose memory is least committed. Left out
	// are engines that have no room for it, as far as this daemon knows of its own and the others' streams: an engine
	// that takes streams which do not all fit preempts them later, and what they had read is read again.
	[[nodiscard]] std::vector<server_pointer> rank_decode_engines(
		directory const& servers, placement_request const& request, random_draw const& draw, time_point now);

	// Returns who prefills for a decode engine. Prefill engines read the prompt as long as they would be done in time:
	// a prompt that a decode engine reads by itself slows every stream on that engine down to a token for each of its
	// pieces. Answers bursts of long prompts, and prefill engines that are lost or leave: a decode engine that is idle
	// and would begin earlier reads the prompt by itself, and so does one that runs streams when the stream would be
	// late otherwise.
	[[nodiscard]] stream_placement place_prefill(directory const& servers, placement_request const& request,
		server_pointer decode, engine_speed const& speed, random_draw const& draw, time_point now);
}
