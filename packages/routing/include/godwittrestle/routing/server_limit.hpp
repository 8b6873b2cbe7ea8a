#pragma once

#include <optional>
#include <string>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/permit.hpp>
#include <godwittrestle/routing/request_rate.hpp>

namespace godwittrestle::routing
{
	// What an answer of a backend server states about the requests that the server takes from all daemons together.
	struct limit_report
	{
		// Nothing when the server states no limit.
		std::optional<request_rate> rate;
		// Time at which the answer arrived.
		time_point heard_at;
		// The daemon that received the answer.
		instance_id heard_by;
	};

	// The limit that a backend server states, as far as this daemon knows. Each daemon hears only the answers to its
	// own requests, so reports of other daemons are stored too: the newest one counts.
	class server_limit
	{
	  public:
		// Stores a report unless a newer one is known. Returns whether the rate has changed, began or ended.
		[[nodiscard]] bool note(limit_report const& report, time_point now);

		// Records that this daemon received an answer without a limit. It ends the limit only if the request was sent
		// after the newest report: answers on different connections may overtake each other. Returns whether a limit
		// has ended.
		[[nodiscard]] bool note_absence(time_point sent_at, limit_report const& answer, time_point now);

		// Records why the newest statement could not be used. Returns whether the fault differs from the last one.
		[[nodiscard]] bool note_fault(std::string fault);

		// Records that no permit for a request to this server was granted.
		void note_refusal(permit_answer const& answer, time_point now) noexcept;

		// Returns how much longer this daemon sends the server nothing and asks for no permit; zero without a limit.
		[[nodiscard]] duration refused_for(time_point now) const noexcept;

		// Returns the last answer without a permit.
		[[nodiscard]] permit_answer const& last_refusal() const noexcept
		{
			return this->refusal;
		}

		// Returns the limit for the requests of all daemons together; nothing when the server states none.
		[[nodiscard]] std::optional<request_rate> rate() const noexcept
		{
			return this->newest.rate;
		}

		[[nodiscard]] limit_report const& report() const noexcept
		{
			return this->newest;
		}

		// Returns how long this daemon has known the present rate; nothing when it has never heard of a limit.
		[[nodiscard]] std::optional<duration> unchanged_for(time_point now) const noexcept;

	  private:
		void replace(limit_report const& report, time_point now);

		limit_report newest;
		std::optional<time_point> changed_at;
		std::string last_fault;
		permit_answer refusal;
		time_point refused_until;
	};
}
