#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/decide/event.hpp>
#include <godwittrestle/http/client.hpp>

namespace godwittrestle::daemon
{
	namespace asio = boost::asio;

	// What came of reading the platform.
	template <typename T>
	struct platform_answer
	{
		// Whether the platform answered at all.
		bool is_answered = false;
		// The value, when there is a newer one than was known.
		std::optional<T> value;
	};

	// How the platform is read. after: the version already known; wait: how long the platform may hold the call back
	// until there is a newer one.
	struct platform_interface
	{
		std::function<asio::awaitable<platform_answer<decide::policy_read>>(platform_version after, duration wait)>
			policy;
		std::function<asio::awaitable<platform_answer<decide::instances_read>>(platform_version after, duration wait)>
			instances;
	};

	// Returns the interface that speaks HTTP and JSON as docs/BACKENDS.md describes. The client must outlive it.
	[[nodiscard]] platform_interface make_http_platform(http::client& client, http::endpoint where);

	// Parses an instance list. Fails with invalid_document, naming the path, when it is malformed.
	[[nodiscard]] result<decide::instance_list> parse_instances(platform_version version, std::string const& json);
}
