#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/http/server.hpp>
#include <godwittrestle/routing.hpp>

namespace godwittrestle::testing
{
	// Events of each stream of a streaming_server, unless the request asks for another number of them ("Events"); their
	// ids are 1 to this number.
	inline constexpr int events_per_stream = 40;

	// A backend server on a thread of its own, with a version of its software. It answers each request with a stream
	// whose events have this version as data, and goes on after the event that the request names as the last one. It
	// reports the streams that it runs; one whose daemon has been killed runs on for a while, as after a loss of power,
	// which the server does not notice at once.
	class streaming_server
	{
	  public:
		// role: what the server's entry states; a plain server is one without a stage.
		streaming_server(std::string id, std::string version, routing::server_role role = routing::server_role::decode);
		~streaming_server();

		streaming_server(streaming_server const&) = delete;
		streaming_server& operator=(streaming_server const&) = delete;
		streaming_server(streaming_server&&) = delete;
		streaming_server& operator=(streaming_server&&) = delete;

		// Returns the server's entry in the registry.
		[[nodiscard]] routing::registered_server entry() const;

		// Breaks off all streams under way.
		void break_streams();

		// Sets whether the server answers questions for its report; otherwise it answers 404.
		void set_reporting(bool reports);

		// Sets where the server states its start; in its entry and its report unless set.
		void set_start_stated(bool in_entry, bool in_report);

		// Sets how long the server takes to answer a question for its report.
		void set_report_delay(std::chrono::milliseconds delay);

		// Ends as a crash does, and starts again under the same id and at the same address with another version. What
		// entry() returned before is then wrong.
		void restart(std::string const& new_version);

		// Lets the next question for the report end the process that answers it, as restart() does: when the answer
		// leaves, a process with another version listens at the address, and the connection closes after the answer.
		void restart_at_next_report(std::string new_version);

		// Returns whether a question for the report has ended a process.
		[[nodiscard]] bool has_restarted_at_report() const;

		// Closes each connection after its next answer from now on, and says so in the answer.
		void close_after_answers();

		// Returns how often each attempt began to run.
		[[nodiscard]] std::map<std::string, int> run_counts() const;

	  private:
		[[nodiscard]] boost::asio::awaitable<void> serve(http::request message, http::exchange& http_exchange);
		[[nodiscard]] boost::asio::awaitable<void> stream(http::request const& message, http::exchange& http_exchange);

		// Ends the process and starts one of another version. Must be called on the server's thread.
		void replace_process(std::string const& new_version);

		// Listens at the port; 0 for any.
		void listen(unsigned short port);

		std::string id;
		std::string version;
		routing::server_role role;
		// Number of starts, which the server states as its start.
		std::uint64_t starts = 1;
		std::atomic<unsigned> breaks = 0;
		std::atomic<bool> is_reporting = true;
		std::atomic<bool> is_start_in_entry = true;
		std::atomic<bool> is_start_in_report = true;
		std::atomic<std::chrono::milliseconds> report_delay = std::chrono::milliseconds(0);
		// Attempts whose streams run. Used only on the server's thread.
		std::set<std::string> running;
		mutable std::mutex mutex;
		std::map<std::string, int> runs;
		// Version of the process that follows the one that answers the next question for its report; empty for none.
		std::string version_after_report;
		std::atomic<bool> was_ended_by_report = false;
		daemon::io_thread thread;
		std::unique_ptr<http::server> listener;
	};

	using server_list = std::vector<std::unique_ptr<streaming_server>>;

	// Starts servers of one version.
	[[nodiscard]] server_list make_servers(
		std::size_t count, std::string const& version, routing::server_role role = routing::server_role::decode);

	// Returns the registry entries of servers.
	[[nodiscard]] std::vector<routing::registered_server> entries_of(server_list const& servers);

	// What a caller got of one stream, over all its tries.
	struct stream_outcome
	{
		bool has_begun = false;
		bool is_complete = false;
		// Whether the events come from servers of several versions.
		bool is_mixed = false;
		// Whether the caller has taken the stream up again, and got further events then.
		bool was_taken_up = false;
		bool went_on = false;
	};

	struct stream_counts
	{
		int begun = 0;
		int complete = 0;
		int mixed = 0;
		int taken_up = 0;
		int went_on = 0;
	};

	// Callers that each ask for one stream after the other, and take up a stream that broke off at the next daemon.
	// They pause for a moment after a try that brought nothing.
	class stream_callers
	{
	  public:
		stream_callers(std::vector<http::endpoint> daemons, std::size_t count);
		~stream_callers();

		stream_callers(stream_callers const&) = delete;
		stream_callers& operator=(stream_callers const&) = delete;
		stream_callers(stream_callers&&) = delete;
		stream_callers& operator=(stream_callers&&) = delete;

		// Waits until each caller has its last stream, and returns what all of them got.
		[[nodiscard]] stream_counts finish();

	  private:
		void run(std::size_t caller);
		[[nodiscard]] stream_outcome run_stream(std::string const& name, std::size_t first_daemon) const;

		std::vector<http::endpoint> addresses;
		std::atomic<bool> is_over = false;
		std::vector<stream_counts> counts;
		std::vector<std::thread> threads;
	};
}
