#pragma once

#include <cstdint>

#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// Predicts the output length of a stream, in tokens, from its caller's estimate (the hint). Hints are right at the
	// median but spread widely: the largest are mostly too large and the smallest too small. The prediction lies
	// between the hint and the average output; the outcomes of earlier streams decide how close to either. Without this
	// correction, engines reserve memory for long hints that do not come true, and streams with short hints outgrow
	// their reservations. Works on the logarithms of token counts.
	class output_estimate
	{
	  public:
		// Records the hint of a new stream.
		void note_hint(token_count hint);

		// Records the output length of a stream that ended by itself.
		void note_outcome(token_count hint, token_count made);

		// Returns the expected output length of a stream. limit: the maximum that the caller has set, 0 for none.
		[[nodiscard]] token_count predict(token_count hint, token_count limit) const;

		// Returns the expected output length of a stream that has made some tokens already and continues.
		[[nodiscard]] token_count predict(token_count hint, token_count limit, token_count made) const;

	  private:
		[[nodiscard]] double slope() const noexcept;

		std::uint32_t hints = 0;
		std::uint32_t outcomes = 0;
		double mean_hint = 0;
		double hint_variance = 0;
		// Covariance of the logarithms of hint and output, over ended streams.
		double covariance = 0;
		// Average logarithm of output / hint, over ended streams.
		double offset = 0;
		// Variance of the logarithm of the output around the prediction. The initial value is an assumption; ended
		// streams replace it gradually.
		double residual_variance = 0.12;
	};
}
