#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/gateway/event_log.hpp>
#include <godwittrestle/routing/directory.hpp>
#include <godwittrestle/routing/process_evidence.hpp>
#include <godwittrestle/routing/server.hpp>

namespace godwittrestle::gateway
{
	// Finds out what has become of the process of a backend server after a connection to it has ended. A connection
	// also ends when the network, the server or this daemon resets it. A host that refuses new connections shows that
	// the process is gone, and the start that an engine states shows whether another process has taken its place. Used
	// only on the thread that serves callers.
	class server_end_check
	{
	  public:
		// Asks a server for its start. Returns what that has shown; evidence without a statement when the server gave
		// no answer.
		using start_question =
			std::function<boost::asio::awaitable<routing::process_evidence>(routing::server_pointer server)>;
		// Called with what the check has shown.
		using result_callback = std::function<void(routing::process_evidence const&)>;

		server_end_check(boost::asio::any_io_executor executor, event_log log, start_question question);

		// Checks the port of a server. Calls for one server that wait at the same time share one check. The callback is
		// called when it has ended, never within this call.
		void check_port(routing::registered_server const& server, result_callback callback);

		// Asks a server that states its start for it, and checks the port when it gives no answer. Calls for one server
		// that wait at the same time share one question, and an answer that has just arrived is used again. server: its
		// record when the call in question was sent; its entry may have been removed since. since: time of what led to
		// the question; one that was sent earlier is not shared. longest_wait: time after which evidence without a
		// statement is returned; the question goes on, and its answer is there for the next call.
		[[nodiscard]] boost::asio::awaitable<routing::process_evidence> ask_start(
			routing::server_pointer server, time_point since, duration longest_wait = duration::max());

	  private:
		enum class question_kind : std::uint8_t
		{
			port,
			start,
		};

		using check_key = std::tuple<server_id, std::string, incarnation, question_kind>;

		struct recent_answer
		{
			routing::process_evidence seen;
			time_point answered_at;
		};

		// Returns an answer that has just arrived to a question that was sent after a time.
		[[nodiscard]] std::optional<routing::process_evidence> find_recent(
			routing::registered_server const& server, time_point since, time_point now) const;
		// Adds the callback to those that wait for a check, and begins it if there is none.
		void start(
			routing::registered_server const& server, routing::server_pointer const& asked, result_callback callback);
		// Runs one check. asked: the server that is asked for its start; null when only the port is checked.
		[[nodiscard]] boost::asio::awaitable<void> run(
			routing::registered_server server, routing::server_pointer asked);
		// Asks the server, and looks at its port when it gives no answer.
		[[nodiscard]] boost::asio::awaitable<routing::process_evidence> collect(
			routing::registered_server server, routing::server_pointer asked);
		// Logs the exception that is being handled.
		void log_exception(routing::registered_server const& server) const;
		void log_check(routing::registered_server const& server, routing::process_evidence const& seen,
			std::size_t waiting_calls) const;

		boost::asio::any_io_executor executor;
		event_log log;
		start_question question;
		std::map<check_key, std::vector<result_callback>> waiting;
		std::map<check_key, recent_answer> recent;
	};
}
