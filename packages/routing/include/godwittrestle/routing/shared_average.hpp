#pragma once

#include <cstdint>

namespace godwittrestle::routing
{
	// An average and the number of samples from which it was calculated.
	struct average_report
	{
		double value = 0;
		std::uint32_t samples = 0;
	};

	// A moving average that combines this daemon's own samples with averages that other daemons report. Reports help a
	// daemon that has just started, and large fleets in which each daemon sees few streams.
	class shared_average
	{
	  public:
		// Adds a sample. After the first few samples, an outlier is clamped, so that a single server that is slow or
		// does not answer does not distort the average.
		void note(double sample) noexcept;

		// Replaces this daemon's own average by one that the caller has calculated from this daemon's samples.
		void set_own(average_report const& own) noexcept;

		// Merges another daemon's own average.
		void merge_report(average_report const& reported) noexcept;

		// Returns the average of this daemon's own samples only, which it reports to the other daemons.
		[[nodiscard]] average_report own() const noexcept
		{
			return this->measured;
		}

		// Returns the average of own and reported samples.
		[[nodiscard]] average_report all() const noexcept;

	  private:
		average_report measured;
		average_report reported;
	};
}
