#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <godwittrestle/gateway/fleet_exchange.hpp>
#include <godwittrestle/gateway/permit_exchange.hpp>

namespace godwittrestle::testing
{
	// Several daemons in virtual time that send requests to one backend server with a limit. The daemons run the
	// product's exchange of notices and permits; callers, network and server are simulated.
	class limited_fleet
	{
	  public:
		limited_fleet(std::size_t daemon_count, std::uint64_t seed);
		~limited_fleet();

		limited_fleet(limited_fleet const&) = delete;
		limited_fleet& operator=(limited_fleet const&) = delete;
		limited_fleet(limited_fleet&&) = delete;
		limited_fleet& operator=(limited_fleet&&) = delete;

		// Sets the limit that the server states in its answers; nothing for none.
		void set_limit(std::optional<double> requests_per_second);

		// Sets the requests a second that callers send to each daemon.
		void set_load(std::vector<double> requests_per_second);

		// Starts a daemon, or starts it again with a new incarnation and without its memory.
		void start(std::size_t daemon);
		void kill(std::size_t daemon);
		void announce_leaving(std::size_t daemon);
		// Stops a daemon for a time: messages, timers and callers wait.
		void freeze(std::size_t daemon, duration time);
		// Drops the messages between a daemon and all others for a time. The daemon still reaches the server.
		void cut(std::size_t daemon, duration time);

		void run_for(duration time);

		// Returns the most requests that arrived at the server, from all daemons, in any window that begins after a
		// time.
		[[nodiscard]] std::size_t most_arrivals(duration after, duration window) const;
		// Returns the requests that arrived at the server from a time on.
		[[nodiscard]] std::size_t arrivals_since(duration after) const;
		// Returns the time since the start of the simulation.
		[[nodiscard]] duration now() const noexcept;
		[[nodiscard]] std::uint64_t sent_messages() const noexcept;
		[[nodiscard]] std::uint64_t sent_bytes() const noexcept;
		// Returns the messages that ask for or answer about permits, and the notices that name limits.
		[[nodiscard]] std::uint64_t messages_about_limits() const noexcept;
		[[nodiscard]] std::size_t size() const noexcept;

	  private:
		struct daemon_state;
		using action = std::function<void()>;

		void schedule(duration after, action work);
		// Runs work at a daemon after a time, later if it is frozen then; not if it has ended or restarted meanwhile.
		void schedule_at(std::size_t daemon, duration after, std::function<void(daemon_state&)> work);
		void send_notices(std::size_t daemon);
		void deliver(std::size_t from, decide::send_peer message);
		void generate_requests(std::size_t daemon);
		void handle_request(daemon_state& daemon);
		void send_to_server(daemon_state& daemon);
		[[nodiscard]] bool is_cut_off(std::size_t daemon) const;
		[[nodiscard]] double draw();

		std::mt19937_64 random;
		time_point clock;
		std::multimap<time_point, action> pending;
		std::vector<std::unique_ptr<daemon_state>> daemons;
		std::vector<double> load;
		std::vector<time_point> cut_until;
		std::optional<double> limit;
		std::vector<time_point> arrivals;
		std::uint64_t incarnations = 0;
		std::uint64_t message_count = 0;
		std::uint64_t byte_count = 0;
		std::uint64_t limit_message_count = 0;
	};
}
