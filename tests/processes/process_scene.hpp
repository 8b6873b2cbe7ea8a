#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <godwittrestle/http.hpp>

#include "child_process.hpp"

namespace godwittrestle::testing
{
	// What a caller of a real daemon has seen.
	struct caller_record
	{
		unsigned status = 0;
		std::string outcome;
		std::string replay;
		std::string text;
		std::vector<std::string> ids;
		bool is_done = false;
		bool is_whole = false;
		bool is_lost = false;
	};

	// A caller in a thread of its own; it hangs up when it is destroyed.
	class process_caller
	{
	  public:
		process_caller(http::endpoint where, http::request message);
		~process_caller();

		process_caller(process_caller const&) = delete;
		process_caller& operator=(process_caller const&) = delete;
		process_caller(process_caller&&) = delete;
		process_caller& operator=(process_caller&&) = delete;

		[[nodiscard]] caller_record seen() const;

	  private:
		boost::asio::awaitable<void> run(http::endpoint where, http::request message);
		void take(http::sse_event const& event);

		boost::asio::io_context loop{1};
		http::client client;
		mutable std::mutex mutex;
		caller_record record;
		std::jthread thread;
	};

	// Stand-ins and daemons as separate processes on the loopback address.
	class process_scene
	{
	  public:
		// first_port: the first of 100 ports that are used.
		// daemon_arguments: given to every daemon besides its addresses.
		process_scene(
			unsigned short first_port, std::string log_folder, int daemons, std::vector<std::string> daemon_arguments);

		// Waits until the condition holds; returns false when it does not in time.
		[[nodiscard]] static bool wait_for(std::function<bool()> const& condition, std::chrono::milliseconds within);

		void start_daemon(std::string const& name);
		void signal(std::string const& name, int number);
		[[nodiscard]] std::optional<int> exit_code(std::string const& name);
		void control(std::string const& name, boost::json::object const& switches);
		void publish(std::string const& document);
		// Returns an operator's answer, or null when the daemon does not give one.
		[[nodiscard]] boost::json::value ask(std::string const& daemon, std::string const& target);
		[[nodiscard]] http::endpoint caller_address(std::string const& daemon) const;
		[[nodiscard]] std::vector<std::string> daemons() const;
		[[nodiscard]] std::string issue_key(std::string const& daemon);
		// How often a call ran on all plain servers.
		[[nodiscard]] std::int64_t runs(std::string const& call);
		// Requests that all engines hold memory for.
		[[nodiscard]] std::size_t held();
		[[nodiscard]] bool is_ready(std::string const& daemon);
		// How often an event stands in the time lines of all daemons.
		[[nodiscard]] std::size_t count_events(std::string const& event);

	  private:
		[[nodiscard]] http::endpoint endpoint_of(std::string const& name) const;
		[[nodiscard]] std::optional<http::response> call(http::endpoint const& where, http::request message) const;
		void start_standin(std::string const& name, std::vector<std::string> const& arguments);
		void publish_instances();

		unsigned short first_port;
		std::string log_folder;
		int daemon_count;
		std::vector<std::string> daemon_arguments;
		std::map<std::string, unsigned short> ports;
		std::map<std::string, std::unique_ptr<child_process>> processes;
	};
}
