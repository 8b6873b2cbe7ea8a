#include <godwittrestle/gateway/stream_joiner.hpp>

#include <algorithm>
#include <utility>

#include <godwittrestle/base/digest.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr std::string_view id_field = "id:";

		// Returns the value of an event's id field; nothing when it has none.
		std::optional<std::string_view> find_id(std::string_view event)
		{
			while (!event.empty())
			{
				auto line = event.substr(0, event.find('\n'));
				event.remove_prefix(std::min(event.size(), line.size() + 1));
				if (!line.starts_with(id_field))
				{
					continue;
				}
				line.remove_prefix(id_field.size());
				if (line.starts_with(' '))
				{
					line.remove_prefix(1);
				}
				if (line.ends_with('\r'))
				{
					line.remove_suffix(1);
				}
				return line;
			}
			return std::nullopt;
		}

		// Returns whether an event has data. Without data it is dispatched to nobody: it is a comment, by which servers
		// keep a connection alive, an id alone, or blank lines.
		bool has_data(std::string_view event)
		{
			constexpr std::string_view data_field = "data";
			while (!event.empty())
			{
				auto const line = event.substr(0, event.find('\n'));
				event.remove_prefix(std::min(event.size(), line.size() + 1));
				auto const name = line.substr(0, line.find_first_of(":\r"));
				if (name == data_field)
				{
					return true;
				}
			}
			return false;
		}

		// Returns the position after the first blank line that begins at or after the position; npos when there is
		// none.
		std::size_t find_event_end(std::string_view text, std::size_t from)
		{
			auto const plain = text.find("\n\n", from);
			auto const with_crlf = text.find("\n\r\n", from);
			if (plain == std::string_view::npos && with_crlf == std::string_view::npos)
			{
				return std::string_view::npos;
			}
			return plain < with_crlf ? plain + 2 : with_crlf + 3;
		}
	}

	stream_joiner::stream_joiner(std::optional<std::string> last_event)
		: last_id(std::move(last_event))
	{
	}

	std::string stream_joiner::feed(std::string_view piece)
	{
		this->pending += piece;
		std::string whole;
		std::size_t consumed = 0;
		std::string_view const text = this->pending;
		for (auto end = find_event_end(text, this->search_start()); end != std::string_view::npos;
			end = find_event_end(text, consumed))
		{
			auto const event = text.substr(consumed, end - consumed);
			auto const is_dispatched = has_data(event);
			this->bytes_without_data = is_dispatched ? 0 : this->bytes_without_data + event.size();
			if (this->accept(event))
			{
				whole += event;
				this->events_passed_on += is_dispatched ? 1 : 0;
			}
			consumed = end;
		}
		this->pending.erase(0, consumed);
		this->searched_bytes = this->pending.size();
		return whole;
	}

	std::size_t stream_joiner::search_start() const noexcept
	{
		// A blank line may begin in the bytes that were already searched.
		constexpr std::size_t longest_blank_line = 3;
		return this->searched_bytes - std::min(this->searched_bytes, longest_blank_line - 1);
	}

	std::optional<std::string> stream_joiner::finish()
	{
		if (this->pending.find_first_not_of("\r\n") != std::string::npos)
		{
			return std::nullopt;
		}
		this->searched_bytes = 0;
		return std::exchange(this->pending, {});
	}

	void stream_joiner::restart()
	{
		this->pending.clear();
		this->searched_bytes = 0;
		this->bytes_without_data = 0;
	}

	bool stream_joiner::accept(std::string_view event)
	{
		auto const id = find_id(event);
		if (!id)
		{
			return true;
		}
		auto const number = parse_number(*id);
		auto const last = this->last_id ? parse_number(*this->last_id) : std::nullopt;
		if (number && last && *number <= *last)
		{
			return false;
		}
		this->last_id = std::string(*id);
		return true;
	}
}
