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

	// The result of a read from the platform.
	template <typename T>
	struct platform_answer
	{
		// Whether the platform gave a valid HTTP answer: a value with its version, or no change.
		bool is_answered = false;
		// The value, if the platform has a newer version than the caller knows. Empty otherwise, and for a malformed
		// instance list.
		std::optional<T> value;
	};

	// The functions that read the platform. after: version that is already known; wait: time for which the platform may
	// hold the call while there is no newer version.
	struct platform_interface
	{
		std::function<asio::awaitable<platform_answer<decide::policy_read>>(platform_version after, duration wait)>
			policy;
		std::function<asio::awaitable<platform_answer<decide::instances_read>>(platform_version after, duration wait)>
			instances;
	};

	// Returns the implementation for the HTTP and JSON interface that docs/BACKENDS.md describes. The client must
	// outlive it.
	[[nodiscard]] platform_interface make_http_platform(http::client& client, http::endpoint where);

	// Parses an instance list. Fails with invalid_document, which names the faulty path, when a field is missing or has
	// another type, and with invalid_setting when an address is malformed.
	[[nodiscard]] result<decide::instance_list> parse_instances(platform_version version, std::string const& json);
}
