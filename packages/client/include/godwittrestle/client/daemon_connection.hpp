#pragma once

#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/http/message.hpp>

namespace godwittrestle::client
{
	// The operators' address of a daemon and the bearer token for it; an empty token is not sent.
	struct daemon_connection
	{
		http::endpoint where;
		std::string token;
	};

	// Sends a request to a daemon and returns its JSON answer. Blocks the calling thread, for up to 1 second to connect
	// and 5 seconds for the answer.
	// Fails with unavailable when the daemon does not answer, and when the status is not 200 or the body is not JSON;
	// the message then contains the body.
	[[nodiscard]] result<boost::json::value> call_daemon(
		daemon_connection const& daemon, std::string_view method, std::string target);
}
