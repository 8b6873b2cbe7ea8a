#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <godwittrestle/base/error.hpp>

namespace godwittrestle::http
{
	struct header
	{
		std::string name;
		std::string value;
	};

	struct request
	{
		std::string method = "GET";
		std::string target = "/";
		std::vector<header> headers;
		std::string body;

		// Returns the value of the first header with this name, ignoring case; empty when there is none.
		[[nodiscard]] std::string find_header(std::string_view name) const;

		// Returns the path of the target, without the query.
		[[nodiscard]] std::string_view path() const noexcept;

		// Returns the value of the first query parameter with this name, without percent-decoding; empty when there is
		// none.
		[[nodiscard]] std::string query(std::string_view name) const;
	};

	struct response
	{
		unsigned status = 200;
		std::vector<header> headers;
		std::string body;

		// Returns the value of the first header with this name, ignoring case; empty when there is none.
		[[nodiscard]] std::string find_header(std::string_view name) const;
	};

	// Returns the headers that a proxy forwards. Leaves out the hop-by-hop headers (Connection, the headers that it
	// lists, Transfer-Encoding and similar ones), Content-Length, which is set again for each message, and Expect,
	// which the server answers itself.
	[[nodiscard]] std::vector<header> end_to_end_headers(std::vector<header> const& headers);

	// An address to connect to or to listen on: an IP address and a port.
	struct endpoint
	{
		std::string address;
		unsigned short port = 0;

		[[nodiscard]] bool operator==(endpoint const&) const = default;
	};

	// Parses "address:port". Fails with invalid_setting when the text is not an IP address and a port. path: the name
	// of the setting, for the failure.
	[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text, std::string path);

	// Returns "address:port".
	[[nodiscard]] std::string to_string(endpoint const& where);
}
