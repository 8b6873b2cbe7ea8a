#include <godwittrestle/routing/shared_average.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	namespace
	{
		// Maximum weight of own samples, in samples.
		constexpr std::uint32_t max_own_samples = 20;
		// Maximum weight of reported averages, in samples.
		constexpr std::uint32_t max_reported_samples = 60;
		// Weight of the newest report within the reported average.
		constexpr double newest_report_weight = 0.2;
		constexpr std::uint32_t samples_before_clamping = 6;
		// Samples are clamped to between 1 / max_outlier_ratio and max_outlier_ratio times the average.
		constexpr double max_outlier_ratio = 3;
	}

	void shared_average::note(double sample) noexcept
	{
		if (this->measured.samples >= samples_before_clamping && this->measured.value > 0)
		{
			sample =
				std::clamp(sample, this->measured.value / max_outlier_ratio, this->measured.value * max_outlier_ratio);
		}
		// Each own sample reduces the weight of the reports by one sample, so that they fade unless they are renewed.
		this->reported.samples -= std::min(this->reported.samples, 1U);
		this->measured.samples = std::min(this->measured.samples + 1, max_own_samples);
		this->measured.value += (sample - this->measured.value) / this->measured.samples;
	}

	void shared_average::set_own(average_report const& own) noexcept
	{
		this->reported.samples -= std::min(this->reported.samples, 1U);
		this->measured = {own.value, std::min(own.samples, max_own_samples)};
	}

	void shared_average::merge_report(average_report const& report) noexcept
	{
		if (report.samples == 0)
		{
			return;
		}
		auto const weight = this->reported.samples == 0 ? 1.0 : newest_report_weight;
		this->reported.value += weight * (report.value - this->reported.value);
		this->reported.samples =
			std::min(max_reported_samples, this->reported.samples + std::min(report.samples, max_own_samples));
	}

	average_report shared_average::all() const noexcept
	{
		auto const samples = this->measured.samples + this->reported.samples;
		if (samples == 0)
		{
			return {};
		}
		return {
			(this->measured.value * this->measured.samples + this->reported.value * this->reported.samples) / samples,
			samples};
	}
}
