#pragma once

#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/http/server.hpp>

namespace godwittrestle::daemon
{
	namespace asio = boost::asio;

	// Returns a response with a JSON body.
	[[nodiscard]] http::response make_json_response(unsigned status, boost::json::object const& body);

	// Returns the response that reports a failure to a caller: its kind, message, remedy and time for a retry, and for
	// a keyed call its outcome.
	[[nodiscard]] http::response to_response(decide::answer_failure const& failed);

	// Sends the answer of one completion, either as a stream or as one response.
	class completion_writer
	{
	  public:
		// caller_exchange: sends to the caller; must outlive the writer.
		completion_writer(http::exchange& caller_exchange, request_id id, std::string service, bool streamed);

		// Returns whether the end of the answer or its failure was passed to write().
		[[nodiscard]] bool is_done() const noexcept
		{
			return this->done;
		}

		// Sends a part of the answer; collects the tokens of an answer that is not streamed. Returns false when the
		// caller is gone.
		[[nodiscard]] asio::awaitable<bool> write(decide::action part);

	  private:
		asio::awaitable<bool> write_token(decide::answer_token token);
		asio::awaitable<bool> write_end(decide::answer_end end);
		asio::awaitable<bool> write_failure(decide::answer_failure failed);
		[[nodiscard]] boost::json::object make_chunk(std::string_view text, bool is_last) const;

		http::exchange* http_exchange;
		request_id request;
		std::string model;
		std::string collected_text;
		bool is_streamed;
		bool is_stream_started = false;
		bool done = false;
	};
}
