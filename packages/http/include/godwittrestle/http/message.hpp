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

		// Returns a header's value whatever the case of its name; empty when it is missing.
		[[nodiscard]] std::string find_header(std::string_view name) const;

		// Returns the target's path, without the query.
		[[nodiscard]] std::string_view path() const noexcept;

		// Returns the value of a query parameter; empty when it is missing. Values are taken as they stand.
		[[nodiscard]] std::string query(std::string_view name) const;
	};

	struct response
	{
		unsigned status = 200;
		std::vector<header> headers;
		std::string body;

		[[nodiscard]] std::string find_header(std::string_view name) const;
	};

	// Returns the headers without those that concern one connection only: Connection and what it names, the framing of
	// the body, and the like.
	[[nodiscard]] std::vector<header> end_to_end_headers(std::vector<header> const& headers);

	// An address to connect to or to listen at: an IP number and a port.
	struct endpoint
	{
		std::string address;
		unsigned short port = 0;

		[[nodiscard]] bool operator==(endpoint const&) const = default;
	};

	// Parses "address:port". Fails with invalid_setting, naming the path, when it is not an IP number and a port.
	[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text, std::string path);

	[[nodiscard]] std::string to_string(endpoint const& where);
}
