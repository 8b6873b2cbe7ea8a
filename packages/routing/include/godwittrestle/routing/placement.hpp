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
	// Returns a uniform random number in [0, 1).
	using random_draw = std::function<double()>;

	// The engines that serve a stream.
	struct stream_placement
	{
		// Null when the decode engine prefills the prompt itself.
		server_pointer prefill;
		server_pointer decode;
		// Predicted time to the first event.
		duration first_event{};
	};

	// The requirements of the call or stream to place.
	struct placement_request
	{
		service_id service;
		data_centre_id data_centre;
		// Prompt tokens to prefill; 0 for plain calls.
		token_count prompt;
		// Memory that the stream needs at its decode engine, and the capacity of one engine, in tokens; 0 when unknown.
		token_count needed;
		token_count capacity;
		// Memory of one engine, in tokens, that this daemon's streams together may commit; 0 for no limit.
		token_count own_capacity;
		// The software version at which a stream that has begun must go on; nothing when any may serve it.
		std::optional<software_version> version;
		// Versions whose decode engines are left to other streams.
		std::set<software_version> reserved_versions;
		// Servers that already failed or refused this call.
		std::set<server_id> excluded;
		// How long a stream of the service takes on average; zero when unknown. The reports of other daemons' streams
		// count for less the older they are by this measure.
		duration stream_time{};
		// Longest predicted time to the first event for which a prefill engine is used although the decode engine is
		// idle and would start earlier.
		duration idle_split_limit{};
		// Longest time to the first event with which the stream still meets its objective.
		duration first_event_limit = duration::max();
		// False when only the decode engine itself may prefill the prompt.
		bool may_use_prefill_engine = true;
		// False when servers that state a limit are left out.
		bool may_use_limited = true;
	};

	// Returns the server with the lowest load for a plain call, or null when no server may get work. Servers that are
	// suspect or leave calls unanswered are used only when there are no others, so that a burst does not fill the slots
	// of a server that has stopped answering. At equal load, servers of the request's data centre come first.
	[[nodiscard]] server_pointer place_call(
		directory const& servers, placement_request const& request, random_draw const& draw, time_point now);

	// Returns the decode engines, or the servers that stand for them (directory::stream_servers), that a stream may
	// use, those with the least committed memory first; when other daemons have started many streams since their
	// reports, the few on which this daemon has the least itself come before the others (choice_count). Engines that
	// reported no free memory a moment ago, or that lack enough of it by what this daemon knows of its own and other
	// daemons' streams, are left out: an engine that accepts streams which do not all fit preempts some later, and
	// their prompts have to be prefilled again. An engine without committed memory fits any stream.
	[[nodiscard]] std::vector<server_pointer> rank_decode_engines(
		directory const& servers, placement_request const& request, random_draw const& draw, time_point now);

	// Decides which engine prefills the prompt of a stream for a decode engine. A prefill engine is preferred: while a
	// decode engine prefills a prompt, its other streams get only one token per prefill chunk. The decode engine
	// prefills the prompt itself when there is no usable prefill engine, when it is idle and would start earlier, or
	// when only it can start the stream in time. This covers bursts of long prompts and prefill engines that fail or
	// leave.
	[[nodiscard]] stream_placement place_prefill(directory const& servers, placement_request const& request,
		server_pointer decode, engine_speed const& speed, random_draw const& draw, time_point now);
}
