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

	// Returns an answer with a JSON body.
	[[nodiscard]] http::response make_json(unsigned status, boost::json::object const& body);

	// Returns the answer that tells a caller of a failure: kind, message, remedy, outcome and when to come back.
	[[nodiscard]] http::response to_response(decide::answer_failure const& failed);

	// Writes the parts of one completion's answer, streamed or whole.
	class completion_writer
	{
	  public:
		// exchange: the way back to the caller; must outlive the writer.
		completion_writer(http::exchange& exchange, request_id id, std::string service, bool streamed);

		// Whether the answer has ended, in whichever way.
		[[nodiscard]] bool is_done() const noexcept
		{
			return this->done;
		}

		// Returns false when the caller is gone.
		[[nodiscard]] asio::awaitable<bool> write(decide::action part);

	  private:
		asio::awaitable<bool> write_token(decide::answer_token token);
		asio::awaitable<bool> write_end(decide::answer_end end);
		asio::awaitable<bool> write_failure(decide::answer_failure failed);
		[[nodiscard]] boost::json::object make_chunk(std::string_view text, bool is_last) const;

		http::exchange* talk;
		request_id request;
		std::string model;
		std::string whole;
		bool is_streamed;
		bool is_begun = false;
		bool done = false;
	};
}
