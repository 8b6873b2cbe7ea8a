#pragma once

#include <vector>

#include <godwittrestle/base/ids.hpp>

namespace godwittrestle::routing
{
	// Identifies a request, and what it has in common with others, by fingerprints.
	struct request_identity
	{
		// Fingerprint of all that makes servers treat two requests alike: path, caller, prompt and body. A repeat of a
		// request has the same one, under another id.
		fingerprint request;
		// Fingerprint of the whole prompt. Zero when the request has no prompt parts.
		fingerprint prompt;
		// Fingerprints of the parts of the prompt that other requests may have too, in order.
		std::vector<fingerprint> shared_parts;
	};
}
