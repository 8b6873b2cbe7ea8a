#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/routing.hpp>

namespace godwittrestle::testing
{
	// What the engines have sent in one run of an attempt.
	struct engine_run
	{
		std::string attempt;
		// The daemon that asked.
		std::size_t daemon = 0;
		// The address that it asked, of all daemons' engines.
		std::size_t engine = 0;
		int first = 0;
		// The last event that was written in full.
		int last = 0;
		bool is_over = false;
		// Whether the engine has broken it off.
		bool is_broken = false;
		std::chrono::steady_clock::time_point ended_at;
	};

	// Returns the bytes of an event of breaking_engines.
	[[nodiscard]] std::string event_text(int number);

	// Engines of one version with an address of their own for each daemon, so that a run shows which daemon asked. The
	// request says how many events a stream has ("Events"), whether it is sent without chunks ("Unframed"), behind
	// which event a run that has written another one breaks off ("Break-After") and how ("Break-How": inside for bytes
	// of the next event, ended for the end of the chunks behind them, otherwise behind the event; "Break-Reset").
	class breaking_engines
	{
	  public:
		explicit breaking_engines(std::size_t daemons);
		~breaking_engines();

		breaking_engines(breaking_engines const&) = delete;
		breaking_engines& operator=(breaking_engines const&) = delete;
		breaking_engines(breaking_engines&&) = delete;
		breaking_engines& operator=(breaking_engines&&) = delete;

		// Returns the engines' entries for a daemon. is_cut_off: with addresses at which nothing listens.
		[[nodiscard]] std::vector<routing::registered_server> entries(
			std::size_t daemon, bool is_cut_off = false) const;

		// Returns the runs of the attempts whose names begin so, in the order of their beginnings.
		[[nodiscard]] std::vector<engine_run> runs(std::string const& stream) const;

		// Breaks off all runs before their next event, as their requests say.
		void break_runs();

	  private:
		[[nodiscard]] boost::asio::awaitable<void> accept(boost::asio::ip::tcp::acceptor& acceptor, std::size_t engine);
		[[nodiscard]] boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, std::size_t engine);
		// Returns whether the connection can be used again.
		[[nodiscard]] boost::asio::awaitable<bool> stream(
			boost::asio::ip::tcp::socket& socket, std::string head, std::size_t engine);
		[[nodiscard]] std::string report() const;
		// Records the last event of a run that is sent in full.
		void note_last(std::size_t position, int event);
		void note_end(std::size_t position, bool is_broken);

		daemon::io_thread thread;
		std::deque<boost::asio::ip::tcp::acceptor> acceptors;
		mutable std::mutex mutex;
		std::vector<engine_run> all_runs;
		std::atomic<unsigned> breaks = 0;
	};
}
