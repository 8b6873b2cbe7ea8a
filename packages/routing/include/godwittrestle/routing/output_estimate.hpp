#pragma once

#include <cstdint>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// Predicts how many tokens a stream will make from its caller's estimate. Callers' estimates are right at the
	// median but spread widely, so the largest are mostly too large and the smallest too small: the prediction lies
	// between the estimate and what streams make on update_average, as near to either as the streams so far have shown.
	// Answers engines whose memory is promised to long estimates that never come true, while streams with short ones
	// outgrow their room. Works on the logarithms of token counts.
	class output_estimate
	{
	  public:
		// Notes the estimate of a new stream.
		void note_hint(token_count hint);

		// Notes how much a stream has made that ended by itself.
		void note_outcome(token_count hint, token_count made);

		// Returns the tokens that a stream will make on update_average. limit: the limit that the caller has set, 0 for
		// none.
		[[nodiscard]] token_count predict(token_count hint, token_count limit) const;

		// Returns the same for a stream that has made some already and goes on.
		[[nodiscard]] token_count predict(token_count hint, token_count limit, token_count made) const;

	  private:
		[[nodiscard]] double slope() const noexcept;

		std::uint32_t hints = 0;
		std::uint32_t outcomes = 0;
		double mean_hint = 0;
		double hint_variance = 0;
		// Of the estimates of ended streams with what they made.
		double covariance = 0;
		// Average of what ended streams made less their estimates.
		double offset = 0;
		// Variance of what was made around the prediction; assumed until streams have ended.
		double residual_variance = 0.12;
	};
}
