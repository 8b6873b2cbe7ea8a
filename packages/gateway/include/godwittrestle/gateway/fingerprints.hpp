#pragma once

#include <set>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/gateway/protocols.hpp>
#include <godwittrestle/http/message.hpp>
#include <godwittrestle/routing/request_identity.hpp>

namespace godwittrestle::gateway
{
	// Returns the fingerprints of a request. The whole body is hashed. Equal prompt parts of requests for different
	// models have different fingerprints.
	[[nodiscard]] routing::request_identity identify(http::request const& message, request_metadata const& call);

	// Returns the fingerprint of a caller's attempt.
	[[nodiscard]] fingerprint fingerprint_of(request_id const& attempt);

	// Returns the fingerprint of a prompt part, whatever model it is for.
	[[nodiscard]] fingerprint fingerprint_of(std::string const& part);

	// Returns a fingerprint as 16 hexadecimal digits.
	[[nodiscard]] std::string to_text(fingerprint value);

	// Returns fingerprints separated by commas.
	[[nodiscard]] std::string to_text(std::vector<fingerprint> const& values);
	[[nodiscard]] std::string to_text(std::set<fingerprint> const& values);
}
