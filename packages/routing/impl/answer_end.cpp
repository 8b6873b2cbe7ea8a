#include <godwittrestle/routing/answer_end.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	namespace
	{
		// An end is late when it comes after this part of the time between two events.
		constexpr int late_gap_divisor = 6;
		// Delays below this are those of busy machines.
		constexpr duration min_late_delay = milliseconds(4);
		// Weight of the newest end in the share of late ends.
		constexpr double newest_weight = 1.0 / 16;
		// Ends after which the share is known.
		constexpr std::uint32_t min_ends = 8;
		constexpr double rare_share = 0.25;
		// Part of the retry budget for questions about ends without a sign. The rest is for sends that have failed.
		constexpr double part_without_sign = 0.75;

		// Returns whether something speaks against this answer by itself.
		bool has_sign(answer_end const& seen) noexcept
		{
			return seen.is_still_run || seen.has_server_broken_off || seen.is_unusually_late;
		}

		bool is_left_to_caller(answer_end const& seen) noexcept
		{
			return seen.can_be_taken_up && seen.has_service_broken_off;
		}
	}

	bool is_late_end(duration delay, duration gap) noexcept
	{
		return gap > duration{} && delay >= std::max(min_late_delay, gap / late_gap_divisor);
	}

	void end_habits::note_end(bool is_late) noexcept
	{
		this->late_share += newest_weight * ((is_late ? 1.0 : 0.0) - this->late_share);
		this->ends = std::min(this->ends + 1, min_ends);
	}

	void end_habits::note_broken_off(time_point at) noexcept
	{
		this->broken_off_at = std::max(this->broken_off_at.value_or(at), at);
	}

	bool end_habits::were_broken_off(duration within, time_point now) const noexcept
	{
		return this->broken_off_at && now - *this->broken_off_at <= within;
	}

	bool end_habits::are_late_ends_rare() const noexcept
	{
		return this->ends >= min_ends && this->late_share < rare_share;
	}

	std::string_view to_string(end_judgement judgement) noexcept
	{
		switch (judgement)
		{
			case end_judgement::whole:
				return "whole";
			case end_judgement::broken:
				return "broken";
			case end_judgement::unproved:
				return "unproved";
		}
		return "unproved";
	}

	end_judgement judge_end(answer_end const& seen) noexcept
	{
		if (seen.process != process_state::same)
		{
			return end_judgement::broken;
		}
		if (seen.can_go_on)
		{
			return end_judgement::unproved;
		}
		return has_sign(seen) || is_left_to_caller(seen) ? end_judgement::broken : end_judgement::whole;
	}

	double budget_part(answer_end const& seen) noexcept
	{
		constexpr double whole_budget = 1;
		return has_sign(seen) ? whole_budget : part_without_sign;
	}
}
