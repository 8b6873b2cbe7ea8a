// Measures the messages between daemons with and without a server that states a limit, in virtual time.
#include <iostream>
#include <vector>

#include <fmt/format.h>

#include "limited_fleet.hpp"

namespace
{
	using namespace godwittrestle;

	// Prints the messages and bytes that a daemon sends a second. requests: a second, from the callers of all daemons.
	void measure(std::size_t daemons, double requests, std::optional<double> limit)
	{
		constexpr std::uint64_t seed = 1;
		constexpr duration settling_time = seconds(20);
		constexpr duration measured_time = seconds(20);
		testing::limited_fleet fleet(daemons, seed);
		fleet.set_load(std::vector<double>(daemons, requests / static_cast<double>(daemons)));
		for (std::size_t daemon = 0; daemon < daemons; ++daemon)
		{
			fleet.start(daemon);
		}
		fleet.set_limit(limit);
		fleet.run_for(settling_time);
		auto const messages_before = fleet.sent_messages();
		auto const bytes_before = fleet.sent_bytes();
		auto const from = fleet.now();
		fleet.run_for(measured_time);
		auto const daemon_seconds = static_cast<double>(daemons) * std::chrono::duration<double>(measured_time).count();
		std::cout << fmt::format(
			"daemons={:<4} requests/s={:<4} limit={:<5}: {:6.2f} messages/s {:8.0f} bytes/s for each daemon, "
			"{:6.2f} requests/s at the server\n",
			daemons, requests, limit ? fmt::format("{}", *limit) : "none",
			static_cast<double>(fleet.sent_messages() - messages_before) / daemon_seconds,
			static_cast<double>(fleet.sent_bytes() - bytes_before) / daemon_seconds,
			static_cast<double>(fleet.arrivals_since(from)) / std::chrono::duration<double>(measured_time).count());
	}
}

int main()
{
	constexpr double requests = 60;
	for (std::size_t const daemons : {1U, 6U, 12U, 30U, 100U, 300U})
	{
		measure(daemons, requests, std::nullopt);
		measure(daemons, requests, 50);
		measure(daemons, requests, 5);
	}
	return 0;
}
