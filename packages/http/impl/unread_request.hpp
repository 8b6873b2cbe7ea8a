#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>

#include <godwittrestle/http/memory_budget.hpp>
#include <godwittrestle/http/message.hpp>
#include <godwittrestle/http/server.hpp>

namespace godwittrestle::http
{
	// A request as the parser holds it.
	using parsed_request = boost::beast::http::request<boost::beast::http::string_body>;

	// Returns the method, the target and the headers of a request.
	[[nodiscard]] request to_head(parsed_request const& message);

	// Returns a request with its body, which is moved out.
	[[nodiscard]] request to_request(parsed_request&& message);

	// Returns why a request was not read to its end.
	[[nodiscard]] unread_reason to_unread_reason(boost::system::error_code const& error, bool is_header_done);
	[[nodiscard]] unread_reason to_unread_reason(yield_reason reason, bool is_header_done);

	// Returns the answer to a request that was not read to its end.
	[[nodiscard]] response make_read_error(boost::system::error_code const& error);
	[[nodiscard]] response make_yield_error(yield_reason reason);

	// Returns whether the message has at most one Host and at most one of Content-Length and Transfer-Encoding, which
	// must be chunked. Rejecting other messages prevents request smuggling: two servers that read such a message
	// differently can take part of it for another request.
	[[nodiscard]] bool has_unambiguous_framing(parsed_request const& message);

	// Returns whether the client waits for 100 Continue before it sends the body.
	[[nodiscard]] bool expects_continue(parsed_request const& message);
}
