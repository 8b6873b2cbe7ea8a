#include <godwittrestle/routing/server_limit.hpp>

#include <algorithm>
#include <utility>

namespace godwittrestle::routing
{
	bool server_limit::note(limit_report const& report, time_point now)
	{
		auto const is_known = this->changed_at.has_value();
		if (is_known && report.heard_at < this->newest.heard_at)
		{
			return false;
		}
		auto const is_changed = this->newest.rate != report.rate;
		if (is_changed || is_known)
		{
			this->replace(report, now);
		}
		return is_changed;
	}

	bool server_limit::note_absence(time_point sent_at, limit_report const& answer, time_point now)
	{
		auto const has_ended = this->newest.rate.has_value() && sent_at > this->newest.heard_at;
		if (has_ended)
		{
			this->replace(answer, now);
		}
		return has_ended;
	}

	bool server_limit::note_fault(std::string fault)
	{
		auto const is_new = fault != this->last_fault;
		this->last_fault = std::move(fault);
		return is_new;
	}

	void server_limit::note_refusal(permit_answer const& answer, time_point now) noexcept
	{
		this->refusal = answer;
		this->refused_until = now + answer.retry_after;
	}

	duration server_limit::refused_for(time_point now) const noexcept
	{
		return this->newest.rate ? std::max(duration{}, this->refused_until - now) : duration{};
	}

	std::optional<duration> server_limit::unchanged_for(time_point now) const noexcept
	{
		return this->changed_at ? std::optional<duration>(now - *this->changed_at) : std::nullopt;
	}

	void server_limit::replace(limit_report const& report, time_point now)
	{
		if (this->newest.rate != report.rate)
		{
			this->changed_at = now;
			// The time that the last refusal named followed from the old rate.
			this->refused_until = now;
		}
		this->newest = report;
	}
}
