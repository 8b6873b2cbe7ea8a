#include <godwittrestle/http/sse.hpp>

#include <utility>

#include <fmt/format.h>

namespace godwittrestle::http
{
	std::vector<sse_event> sse_parser::feed(std::string_view piece)
	{
		std::vector<sse_event> events;
		this->buffer += piece;
		std::size_t start = 0;
		for (auto end = this->buffer.find('\n'); end != std::string::npos; end = this->buffer.find('\n', start))
		{
			std::string_view line(this->buffer.data() + start, end - start);
			if (line.ends_with('\r'))
			{
				line.remove_suffix(1);
			}
			this->parse_line(line, events);
			start = end + 1;
		}
		this->buffer.erase(0, start);
		return events;
	}

	void sse_parser::parse_line(std::string_view line, std::vector<sse_event>& events)
	{
		if (line.empty())
		{
			if (!this->current.data.empty() || !this->current.name.empty())
			{
				events.push_back(std::exchange(this->current, {}));
			}
			return;
		}
		auto const colon = line.find(':');
		auto const field = line.substr(0, colon);
		auto value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
		if (value.starts_with(' '))
		{
			value.remove_prefix(1);
		}
		if (field == "id")
		{
			this->current.id = value;
		}
		else if (field == "event")
		{
			this->current.name = value;
		}
		else if (field == "data")
		{
			this->current.data += this->current.data.empty() ? "" : "\n";
			this->current.data += value;
		}
	}

	std::string to_text(sse_event const& event)
	{
		std::string text;
		if (!event.id.empty())
		{
			text += fmt::format("id: {}\n", event.id);
		}
		if (!event.name.empty())
		{
			text += fmt::format("event: {}\n", event.name);
		}
		text += fmt::format("data: {}\n\n", event.data);
		return text;
	}
}
