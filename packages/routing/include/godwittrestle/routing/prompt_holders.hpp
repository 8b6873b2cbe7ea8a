#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/stream_origins.hpp>

namespace godwittrestle::routing
{
	// A part of a prompt that an engine keeps.
	struct kept_part
	{
		fingerprint part;
		// With what the engine has generated after it, if the part was the last one of its prompt.
		token_count tokens;
	};

	// A stream of which no daemon has a record, as its caller describes it.
	struct unrecorded_stream
	{
		service_id service;
		// The last part of its prompt.
		fingerprint last_part;
		token_count part_tokens;
		// What the engine that began it has generated at the least.
		token_count generated;
	};

	// What the engines kept of prompts when this daemon started, for streams of which no daemon has a record. An engine
	// that has generated a stream keeps its tokens with the last part of the prompt. One that only keeps the part has
	// read it for a try without events, for another request or for a prefill, and did not begin the stream.
	class prompt_holders
	{
	  public:
		// Parts kept at most, over all engines. The parts of an engine that would exceed it are not kept.
		static constexpr std::size_t max_parts = 16'384;

		// Records what an engine of a service's version keeps.
		void note_listed(
			server_id const& engine, stream_origin const& holder, std::vector<kept_part> const& parts, time_point now);

		// Records that it is not known what an engine of a version keeps: it was not asked, or did not say yet.
		void note_unlisted(server_id const& engine, stream_origin const& origin, time_point now);

		// Returns the only version whose engines have generated a stream; nothing when none or several have, or when an
		// engine of another version did not say what it keeps.
		[[nodiscard]] std::optional<software_version> only_writer(unrecorded_stream const& stream) const;

		// Returns the service and version of the engines that keep a prompt's last part; nothing when those of several
		// versions do, or none.
		[[nodiscard]] std::optional<stream_origin> only_keeper(service_id const& service, fingerprint last_part) const;

		// Forgets what was recorded before a time.
		void expire(time_point before);

	  private:
		struct part_holders
		{
			// The most tokens that an engine of each version keeps.
			std::map<stream_origin, token_count> tokens;
			time_point noted_at;
		};

		struct unlisted_engine
		{
			stream_origin origin;
			time_point noted_at;
		};

		std::map<fingerprint, part_holders> parts;
		std::map<server_id, unlisted_engine> unlisted;
	};
}
