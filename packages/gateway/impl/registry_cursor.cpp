#include <godwittrestle/gateway/registry_cursor.hpp>

#include <utility>

namespace godwittrestle::gateway
{
	namespace
	{
		// After this many answers of an older era in a row, the older era counts as the registry's present one: a
		// daemon must not lose the registry for good when it was set up anew, or when a proxy removes the header.
		constexpr std::uint32_t max_outdated_answers = 8;
	}

	void registry_cursor::begin_list() noexcept
	{
		this->list_from.reset();
	}

	answer_use registry_cursor::note_page(registry_position at) noexcept
	{
		if (!this->list_from)
		{
			auto const is_outdated = this->has_read && at.era < this->read_to.era;
			if (is_outdated && this->note_outdated() == answer_use::ignore)
			{
				return answer_use::ignore;
			}
			this->list_from = at;
			return answer_use::apply;
		}
		if (at.era < this->list_from->era)
		{
			return this->note_outdated();
		}
		// A position of a later era, or a lower revision of the same one, shows a return from a copy between two pages.
		auto const is_restored = at.era != this->list_from->era || at < *this->list_from;
		return is_restored ? answer_use::list_again : answer_use::apply;
	}

	std::optional<registry_restore> registry_cursor::end_list() noexcept
	{
		auto const before = std::exchange(this->read_to, this->list_from.value_or(this->read_to));
		auto const had_read = std::exchange(this->has_read, true);
		this->outdated_answers = 0;
		auto const is_restored = had_read && (this->read_to.era != before.era || this->read_to < before);
		return is_restored ? std::optional(registry_restore{before, this->read_to}) : std::nullopt;
	}

	answer_use registry_cursor::note_changes(registry_position at) noexcept
	{
		if (at.era < this->read_to.era)
		{
			return this->note_outdated();
		}
		if (at.era != this->read_to.era || at < this->read_to)
		{
			return answer_use::list_again;
		}
		this->read_to = at;
		this->outdated_answers = 0;
		return answer_use::apply;
	}

	answer_use registry_cursor::note_outdated() noexcept
	{
		++this->outdated_answers;
		return this->outdated_answers > max_outdated_answers ? answer_use::list_again : answer_use::ignore;
	}
}
