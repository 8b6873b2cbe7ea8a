#pragma once

#include <cstdint>

namespace godwittrestle::routing
{
	// An average together with how many samples stand behind it.
	struct average_report
	{
		double value = 0;
		std::uint32_t samples = 0;
	};

	// An average of what this daemon has measured itself and of what other daemons tell of theirs. Answers daemons that
	// have just started, and large fleets where each daemon sees few streams.
	class shared_average
	{
	  public:
		// Adds a sample. Once some samples are known, one far off counts only as moderately off, so that a single
		// server that is slow or dark does not spoil the average.
		void note(double sample) noexcept;

		// Takes over an average of this daemon's own that was worked out elsewhere.
		void set_own(average_report const& own) noexcept;

		// Takes another daemon's own average over.
		void merge_report(average_report const& reported) noexcept;

		// Only what this daemon has measured itself; to be reported to others.
		[[nodiscard]] average_report own() const noexcept
		{
			return this->measured;
		}

		// Own and reported samples together.
		[[nodiscard]] average_report all() const noexcept;

	  private:
		average_report measured;
		average_report reported;
	};
}
