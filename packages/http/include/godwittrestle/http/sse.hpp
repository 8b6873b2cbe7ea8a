#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace godwittrestle::http
{
	// A server-sent event.
	struct sse_event
	{
		std::string id;
		// The value of the field "event".
		std::string name;
		std::string data;
	};

	// Parses server-sent events from a byte stream that arrives in pieces of any size.
	class sse_parser
	{
	  public:
		// Parses the next piece. Returns the events that are complete with it.
		[[nodiscard]] std::vector<sse_event> feed(std::string_view piece);

		// Returns how many bytes of an incomplete last line are stored.
		[[nodiscard]] std::size_t pending() const noexcept
		{
			return this->buffer.size();
		}

	  private:
		void parse_line(std::string_view line, std::vector<sse_event>& events);

		std::string buffer;
		sse_event current;
	};

	// Returns the event in the text format of server-sent events.
	[[nodiscard]] std::string to_text(sse_event const& event);
}
