#pragma once

#include <compare>

namespace godwittrestle::routing
{
	// A number of requests a second.
	class request_rate
	{
	  public:
		constexpr request_rate() noexcept = default;

		constexpr explicit request_rate(double value) noexcept
			: requests_per_second(value)
		{
		}

		[[nodiscard]] constexpr double per_second() const noexcept
		{
			return this->requests_per_second;
		}

		[[nodiscard]] constexpr auto operator<=>(request_rate const&) const noexcept = default;

	  private:
		double requests_per_second = 0;
	};
}
