#pragma once

#include <vector>

#include <godwittrestle/base/algorithm.hpp>
#include <godwittrestle/base/ids.hpp>

namespace godwittrestle::routing
{
	// Identifies a request, and what it has in common with others, by fingerprints.
	struct request_identity
	{
		// Fingerprint of all that makes servers treat two requests alike: path, caller, prompt and body. A repeat of a
		// request has the same one, under another id.
		fingerprint request;
		// Fingerprints of the parts of the prompt that other requests may have too, in order.
		std::vector<fingerprint> shared_parts;

		// Returns whether a fingerprint is the request's own or that of one of its shared parts.
		[[nodiscard]] bool has(fingerprint value) const
		{
			return value == this->request || contains(this->shared_parts, value);
		}

		// Returns all fingerprints of the request.
		[[nodiscard]] std::vector<fingerprint> all() const
		{
			auto values = this->shared_parts;
			values.push_back(this->request);
			return values;
		}
	};
}
