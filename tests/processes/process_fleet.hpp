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
	// The part of an answer that a caller of a real daemon has received so far.
	struct received_answer
	{
		unsigned status = 0;
		std::string outcome;
		std::string replay;
		std::string text;
		// Event ids of the received tokens.
		std::vector<std::string> ids;
		// The HTTP call has ended, with or without an answer.
		bool is_done = false;
		// The event stream ended with "[DONE]".
		bool is_complete = false;
		// The call ended without an HTTP response.
		bool has_no_response = false;
	};

	// Sends one HTTP request from a thread of its own. The destructor closes the connection.
	class http_caller
	{
	  public:
		http_caller(http::endpoint where, http::request message);
		~http_caller();

		http_caller(http_caller const&) = delete;
		http_caller& operator=(http_caller const&) = delete;
		http_caller(http_caller&&) = delete;
		http_caller& operator=(http_caller&&) = delete;

		// Returns a copy of the answer as received so far. Callable from any thread.
		[[nodiscard]] received_answer answer_so_far() const;

	  private:
		boost::asio::awaitable<void> run(http::endpoint where, http::request message);
		// Adds an event of the stream to the received answer.
		void add_event(http::sse_event const& event);

		boost::asio::io_context loop{1};
		http::client client;
		mutable std::mutex mutex;
		received_answer answer_state;
		std::jthread thread;
	};

	// Runs daemons, and stand-ins for the platform, engines and plain servers, as separate processes on the loopback
	// address.
	class process_fleet
	{
	  public:
		// Starts all processes. first_port: the first of 100 consecutive ports to use. daemon_arguments: command line
		// arguments of every daemon, in addition to its addresses.
		process_fleet(
			unsigned short first_port, std::string log_folder, int daemons, std::vector<std::string> daemon_arguments);

		// Waits until the condition holds. Returns false if it does not hold within the given time.
		[[nodiscard]] static bool wait_for(std::function<bool()> const& condition, std::chrono::milliseconds within);

		void start_daemon(std::string const& name);
		void signal(std::string const& name, int number);
		[[nodiscard]] std::optional<int> exit_code(std::string const& name);
		// Sets fault switches of a stand-in, such as "silent".
		void set_switches(std::string const& name, boost::json::object const& switches);
		void publish(std::string const& document);
		// Returns the JSON that a daemon answers to a GET at its operator address, or null if it does not answer with
		// valid JSON.
		[[nodiscard]] boost::json::value get_operator_json(std::string const& daemon, std::string const& target);
		[[nodiscard]] http::endpoint caller_address(std::string const& daemon) const;
		[[nodiscard]] std::vector<std::string> daemons() const;
		[[nodiscard]] std::string issue_key(std::string const& daemon);
		// Returns how often a call ran, summed over all plain servers.
		[[nodiscard]] std::int64_t count_runs(std::string const& call);
		// Returns the number of requests for which engines hold memory, summed over all engines.
		[[nodiscard]] std::size_t count_held_requests();
		[[nodiscard]] bool is_ready(std::string const& daemon);
		// Returns how often an event occurs in the timelines of all running daemons.
		[[nodiscard]] std::size_t count_events(std::string const& event);

	  private:
		[[nodiscard]] http::endpoint endpoint_of(std::string const& name) const;
		[[nodiscard]] std::optional<http::response> send_request(
			http::endpoint const& where, http::request message) const;
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
