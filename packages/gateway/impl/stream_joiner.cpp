#include <godwittrestle/gateway/stream_joiner.hpp>

#include <utility>

#include <godwittrestle/base/digest.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		constexpr std::string_view id_field = "id:";

		// Returns the value of an event's id line; nothing when it has none.
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

		// Returns the position after the first blank line; npos when there is none.
		std::size_t find_event_end(std::string_view text)
		{
			auto const plain = text.find("\n\n");
			auto const with_returns = text.find("\n\r\n");
			if (plain == std::string_view::npos && with_returns == std::string_view::npos)
			{
				return std::string_view::npos;
			}
			return plain < with_returns ? plain + 2 : with_returns + 3;
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
		std::size_t taken = 0;
		std::string_view const text = this->pending;
		for (auto end = find_event_end(text); end != std::string_view::npos; end = find_event_end(text.substr(taken)))
		{
			auto const event = text.substr(taken, end);
			if (this->accept(event))
			{
				whole += event;
				++this->passed_on;
			}
			taken += end;
		}
		this->pending.erase(0, taken);
		return whole;
	}

	std::string stream_joiner::finish()
	{
		return std::exchange(this->pending, {});
	}

	void stream_joiner::restart()
	{
		this->pending.clear();
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
