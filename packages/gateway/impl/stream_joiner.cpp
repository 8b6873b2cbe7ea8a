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

	void event_steps::note(std::optional<std::uint64_t> before, std::optional<std::uint64_t> after) noexcept
	{
		if (!before || !after || *after <= *before)
		{
			this->is_uneven = true;
			return;
		}
		auto const seen = *after - *before;
		this->is_uneven = this->is_uneven || (this->equal_steps > 0 && seen != this->step);
		this->step = seen;
		++this->equal_steps;
	}

	std::optional<std::uint64_t> event_steps::even_step() const noexcept
	{
		// A single difference may be even by chance.
		constexpr std::uint64_t min_equal_steps = 2;
		auto const is_known = !this->is_uneven && this->equal_steps >= min_equal_steps;
		return is_known ? std::optional(this->step) : std::nullopt;
	}

	stream_joiner::stream_joiner(std::optional<std::string> last_event)
		: last_id(std::move(last_event))
		, run(this->last_id ? run_state::joins : run_state::begins)
	{
	}

	void stream_joiner::accept_any_beginning() noexcept
	{
		this->run = run_state::begins;
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
			auto const decided = this->judge(event, is_dispatched);
			this->has_order_fault = this->has_order_fault || decided == verdict::out_of_order;
			if (this->has_order_fault)
			{
				break;
			}
			this->bytes_without_data = is_dispatched ? 0 : this->bytes_without_data + event.size();
			if (decided == verdict::passed_on)
			{
				whole += event;
				this->note_passed_on(event, is_dispatched);
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
		this->has_order_fault = false;
		this->run = this->last_id ? run_state::joins : run_state::begins;
	}

	stream_joiner::verdict stream_joiner::judge(std::string_view event, bool has_data) const
	{
		auto const id = find_id(event);
		if (!id)
		{
			// After events with ids, an event without one can't be shown to follow the last event.
			auto const is_unplaced = has_data && this->run == run_state::joins && this->events_passed_on > 0;
			return is_unplaced ? verdict::out_of_order : verdict::passed_on;
		}
		if (this->run == run_state::joins)
		{
			return this->judge_first(event, *id);
		}
		auto const number = parse_number(*id);
		auto const last = this->last_id ? parse_number(*this->last_id) : std::nullopt;
		if (this->run == run_state::begins || !number || !last || *number > *last)
		{
			return verdict::passed_on;
		}
		return !has_data || this->repeats_last(event, *id) ? verdict::dropped : verdict::out_of_order;
	}

	stream_joiner::verdict stream_joiner::judge_first(std::string_view event, std::string_view id) const
	{
		if (id == this->last_id)
		{
			return this->repeats_last(event, id) ? verdict::dropped : verdict::out_of_order;
		}
		auto const number = parse_number(id);
		auto const last = parse_number(this->last_id.value_or(""));
		auto const step = this->steps.even_step();
		if (!number || !last)
		{
			return step ? verdict::out_of_order : verdict::passed_on;
		}
		auto const is_earlier = *number <= *last;
		auto const is_too_late = !is_earlier && step && *number - *last > *step;
		return is_earlier || is_too_late ? verdict::out_of_order : verdict::passed_on;
	}

	bool stream_joiner::repeats_last(std::string_view event, std::string_view id) const
	{
		return id == this->last_id && (this->last_text.empty() || event == this->last_text);
	}

	void stream_joiner::note_passed_on(std::string_view event, bool has_data)
	{
		auto const id = find_id(event);
		this->events_passed_on += has_data ? 1 : 0;
		this->has_last_event_id = has_data ? id.has_value() : this->has_last_event_id;
		if (!id)
		{
			return;
		}
		if (this->run == run_state::goes_on)
		{
			this->steps.note(parse_number(this->last_id.value_or("")), parse_number(*id));
		}
		this->last_id = std::string(*id);
		this->last_text = std::string(event);
		this->run = run_state::goes_on;
	}
}
