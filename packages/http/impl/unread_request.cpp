#include "unread_request.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace godwittrestle::http
{
	namespace
	{
		namespace beast = boost::beast;

		// Retry-After of a request for which there is no memory.
		constexpr duration no_memory_delay = seconds(1);
	}

	request to_head(parsed_request const& message)
	{
		request converted;
		converted.method = std::string(message.method_string());
		converted.target = std::string(message.target());
		std::ranges::transform(message, std::back_inserter(converted.headers),
			[](auto const& field) { return header{std::string(field.name_string()), std::string(field.value())}; });
		return converted;
	}

	request to_request(parsed_request&& message)
	{
		auto converted = to_head(message);
		converted.body = std::move(message.body());
		return converted;
	}

	unread_reason to_unread_reason(boost::system::error_code const& error, bool is_header_done)
	{
		if (error == beast::error::timeout)
		{
			return is_header_done ? unread_reason::body_timeout : unread_reason::header_timeout;
		}
		auto const is_peer_gone = error.category() == asio::error::get_system_category() || error == asio::error::eof ||
								  error == beast::http::error::end_of_stream ||
								  error == beast::http::error::partial_message;
		return is_peer_gone ? unread_reason::peer_closed : unread_reason::malformed;
	}

	response make_read_error(boost::system::error_code const& error)
	{
		if (error == beast::error::timeout)
		{
			return make_error(
				408, "timeout", "the request did not arrive in time", "send it again, without pauses within it");
		}
		if (error == beast::http::error::body_limit)
		{
			return make_error(413, "too_large", "the body is too large", "send a smaller body");
		}
		if (error == beast::http::error::header_limit)
		{
			return make_error(431, "too_large", "the header is too large", "send fewer or shorter headers");
		}
		return make_error(
			400, "invalid_request", "the request is not HTTP/1.1: " + error.message(), "send a well-formed request");
	}

	unread_reason to_unread_reason(yield_reason reason, bool is_header_done)
	{
		if (reason == yield_reason::no_room)
		{
			return unread_reason::no_memory;
		}
		return is_header_done ? unread_reason::body_stopped : unread_reason::header_timeout;
	}

	response make_yield_error(yield_reason reason)
	{
		if (reason == yield_reason::stopped)
		{
			return make_read_error(beast::error::timeout);
		}
		return make_error(
			503, "no_memory", "this instance holds as many requests as it can", "send it again later", no_memory_delay);
	}

	bool has_unambiguous_framing(parsed_request const& message)
	{
		auto const count = [&](beast::http::field name)
		{
			auto const range = message.equal_range(name);
			return std::distance(range.first, range.second);
		};
		auto const codings = count(beast::http::field::transfer_encoding);
		auto const lengths = count(beast::http::field::content_length);
		return count(beast::http::field::host) <= 1 && lengths <= 1 && codings <= 1 && lengths + codings <= 1 &&
			   (codings == 0 || message.chunked());
	}

	bool expects_continue(parsed_request const& message)
	{
		return beast::iequals(message[beast::http::field::expect], "100-continue");
	}

	std::string_view to_string(unread_reason reason) noexcept
	{
		switch (reason)
		{
			case unread_reason::header_timeout:
				return "header_timeout";
			case unread_reason::body_timeout:
				return "body_timeout";
			case unread_reason::peer_closed:
				return "peer_closed";
			case unread_reason::malformed:
				return "malformed";
			case unread_reason::body_stopped:
				return "body_stopped";
			case unread_reason::no_memory:
				return "no_memory";
			case unread_reason::answer_stopped:
				return "answer_stopped";
		}
		return "malformed";
	}
}
