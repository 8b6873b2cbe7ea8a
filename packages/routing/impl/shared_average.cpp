#include <godwittrestle/routing/shared_average.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	namespace
	{
		// Samples that an average remembers.
		constexpr std::uint32_t memory = 20;
		// What others tell never weighs more than so many samples of this daemon's own.
		constexpr std::uint32_t most_told = 60;
		// Weight of the newest report among what others told.
		constexpr double newest_report_weight = 0.2;
		constexpr std::uint32_t samples_to_trust = 6;
		// A sample counts as this many times the average at most, and as the inverse at least.
		constexpr double furthest_off = 3;
	}

	void shared_average::note(double sample) noexcept
	{
		if (this->seen.samples >= samples_to_trust && this->seen.value > 0)
		{
			sample = std::clamp(sample, this->seen.value / furthest_off, this->seen.value * furthest_off);
		}
		// What was told loses weight unless it is told anew.
		this->told.samples -= std::min(this->told.samples, 1U);
		this->seen.samples = std::min(this->seen.samples + 1, memory);
		this->seen.value += (sample - this->seen.value) / this->seen.samples;
	}

	void shared_average::set_own(average_report const& own) noexcept
	{
		this->told.samples -= std::min(this->told.samples, 1U);
		this->seen = {own.value, std::min(own.samples, memory)};
	}

	void shared_average::take(average_report const& report) noexcept
	{
		if (report.samples == 0)
		{
			return;
		}
		auto const weight = this->told.samples == 0 ? 1.0 : newest_report_weight;
		this->told.value += weight * (report.value - this->told.value);
		this->told.samples = std::min(most_told, this->told.samples + std::min(report.samples, memory));
	}

	average_report shared_average::all() const noexcept
	{
		auto const samples = this->seen.samples + this->told.samples;
		if (samples == 0)
		{
			return {};
		}
		return {(this->seen.value * this->seen.samples + this->told.value * this->told.samples) / samples, samples};
	}
}
