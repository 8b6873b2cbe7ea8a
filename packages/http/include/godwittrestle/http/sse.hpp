#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace godwittrestle::http
{
	// One server-sent event.
	struct sse_event
	{
		std::string id;
		std::string name;
		std::string data;
	};

	// Splits a byte stream into server-sent events, however it is cut into pieces.
	class sse_parser
	{
	  public:
		// Returns the events that the piece completes.
		[[nodiscard]] std::vector<sse_event> feed(std::string_view piece);

		// Bytes of an event that is not complete yet.
		[[nodiscard]] std::size_t pending() const noexcept
		{
			return this->buffer.size();
		}

	  private:
		void take_line(std::string_view line, std::vector<sse_event>& events);

		std::string buffer;
		sse_event current;
	};

	// Returns an event's text on the wire.
	[[nodiscard]] std::string to_text(sse_event const& event);
}
