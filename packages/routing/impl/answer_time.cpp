#include <godwittrestle/routing/answer_time.hpp>

#include <algorithm>
#include <chrono>

namespace godwittrestle::routing
{
	namespace
	{
		// Weights of the newest answer in the smoothed time and deviation, as divisors, and the deviations that are
		// added to the smoothed time (RFC 6298).
		constexpr int smoothing_divisor = 8;
		constexpr int deviation_divisor = 4;
		constexpr int added_deviations = 4;
		constexpr int max_doublings = 1;
	}

	void answer_time::note_answer(duration taken) noexcept
	{
		this->silent_since.reset();
		this->doublings = 0;
		if (!this->smoothed)
		{
			this->smoothed = taken;
			this->deviation = taken / 2;
			return;
		}
		auto const difference = taken - *this->smoothed;
		this->deviation += (std::chrono::abs(difference) - this->deviation) / deviation_divisor;
		*this->smoothed += difference / smoothing_divisor;
	}

	void answer_time::note_silence(time_point asked_at, time_point now) noexcept
	{
		if (this->silent_since && asked_at < *this->silent_since)
		{
			return;
		}
		this->silent_since = now;
		this->doublings = std::min(this->doublings + 1, max_doublings);
	}

	duration answer_time::timeout(duration longest) const noexcept
	{
		auto const wanted = this->shown_timeout() * (1 << this->doublings);
		return std::max(shortest_timeout, std::min(wanted, longest));
	}

	duration answer_time::shown_timeout() const noexcept
	{
		return std::max(shortest_timeout, this->expected() + added_deviations * this->deviation);
	}
}
