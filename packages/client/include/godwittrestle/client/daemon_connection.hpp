#pragma once

#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/http/message.hpp>

namespace godwittrestle::client
{
	// A daemon's address for operators, and the token it wants.
	struct daemon_connection
	{
		http::endpoint where;
		std::string token;
	};

	// Calls a daemon and returns its JSON answer. Fails with unavailable when it can't be reached, and with the
	// daemon's own words when it refuses.
	[[nodiscard]] result<boost::json::value> call_daemon(
		daemon_connection const& daemon, std::string_view method, std::string target);
}
