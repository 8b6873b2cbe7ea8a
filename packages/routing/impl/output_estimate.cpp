#include <godwittrestle/routing/output_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace godwittrestle::routing
{
	namespace
	{
		// Weight of the assumed initial values, as a number of ended streams.
		constexpr double prior_outcomes = 10;
		// Assumes that hints err about as much as streams differ in length.
		constexpr double prior_slope = 0.5;
		constexpr double newest_weight = 0.02;
		// Minimum remaining output of a running stream, as a part of its predicted output.
		constexpr double min_remaining_part = 0.2;

		double log_of(token_count tokens)
		{
			return std::log(std::max(1.0, static_cast<double>(tokens.count())));
		}

		// Moves an average towards a new sample. count: number of samples, including the new one and the assumed ones.
		void update_average(double& value, double sample, double count)
		{
			value += std::max(newest_weight, 1.0 / count) * (sample - value);
		}
	}

	void output_estimate::note_hint(token_count hint)
	{
		++this->hints;
		auto const difference = log_of(hint) - this->mean_hint;
		update_average(this->mean_hint, log_of(hint), this->hints);
		update_average(this->hint_variance, difference * (log_of(hint) - this->mean_hint), this->hints);
	}

	void output_estimate::note_outcome(token_count hint, token_count made)
	{
		++this->outcomes;
		auto const hint_difference = log_of(hint) - this->mean_hint;
		auto const error = log_of(made) - log_of(hint);
		auto const made_difference = hint_difference + error - this->offset;
		auto const deviation = made_difference - this->slope() * hint_difference;
		auto const all = this->outcomes + prior_outcomes;
		update_average(this->offset, error, all);
		update_average(this->residual_variance, deviation * deviation, all);
		update_average(this->covariance, hint_difference * made_difference, this->outcomes);
	}

	double output_estimate::slope() const noexcept
	{
		auto const assumed = prior_slope * prior_outcomes;
		auto const seen = std::min<double>(this->outcomes, 1 / newest_weight);
		if (this->hint_variance <= 0)
		{
			return prior_slope;
		}
		auto const measured = std::clamp(this->covariance / this->hint_variance, 0.0, 1.0);
		return (assumed + measured * seen) / (prior_outcomes + seen);
	}

	token_count output_estimate::predict(token_count hint, token_count limit) const
	{
		auto const known = this->hints > 0 ? this->mean_hint : log_of(hint);
		auto const median = known + this->offset + this->slope() * (log_of(hint) - known);
		// The mean of a lognormal distribution lies above its median.
		auto const expected = median + this->residual_variance / 2;
		auto const tokens = token_count(static_cast<std::uint32_t>(std::exp(expected)));
		return limit.count() == 0 ? tokens : std::min(tokens, limit);
	}

	token_count output_estimate::predict(token_count hint, token_count limit, token_count made) const
	{
		auto const expected = this->predict(hint, limit);
		auto const remaining = token_count(static_cast<std::uint32_t>(expected.count() * min_remaining_part));
		auto const tokens = std::max(expected, made + remaining);
		return limit.count() == 0 ? tokens : std::min(tokens, std::max(limit, made));
	}
}
