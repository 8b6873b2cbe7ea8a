#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/gateway/shared_state.hpp>
#include <godwittrestle/http/upstream.hpp>
#include <godwittrestle/routing.hpp>

namespace godwittrestle::gateway
{
	namespace asio = boost::asio;

	// What a server has answered to the question for its report.
	struct report_answer
	{
		routing::process_statement statement;
		// The callers' attempts that its process runs; null when it did not say.
		std::shared_ptr<std::set<request_id> const> running = nullptr;
	};

	// What is known of the process that a watched server has now.
	struct watched_process
	{
		incarnation process;
		// The process has been the server's only one since this time.
		time_point since;
		// Time at which the watch's first connection was open.
		time_point watched_since;
		// The callers' attempts that it runs; null when it did not say.
		std::shared_ptr<std::set<request_id> const> running = nullptr;
	};

	struct server_watch_hooks
	{
		// Asks a server for its report on a connection. Returns nothing when it gave no answer.
		std::function<asio::awaitable<std::optional<report_answer>>(
			routing::server_pointer server, http::upstream_pointer connection)>
			ask;
		// Called when the process of a server is known that has written its entry.
		std::function<void(routing::server_record const& server)> on_writer_known;
		// Runs work that nobody waits for; part: its name.
		std::function<void(std::string_view part, asio::awaitable<void> work)> run_in_background;
	};

	// Keeps one connection open to each of some servers that state no start, and asks on it again and again, so that
	// the process is known that holds it; see routing::server_watch. These connections carry nothing else. Used only on
	// the thread that serves callers.
	class server_watches
	{
	  public:
		server_watches(asio::any_io_executor executor, shared_state& shared, server_watch_hooks hooks);

		// Watches a server from now on.
		void begin(routing::server_record const& server);

		// Ends the watches of all servers but these.
		void keep_only(std::set<server_id> const& servers);

		// Ends all watches. Must be called before the executor ends.
		void close();

		// Asks the servers at once whose entry may have been written by the process that is watched.
		void ask_undecided();

		// Asks a watched server for a sign of its process after a time. Returns nothing without one. longest_wait: for
		// the answer.
		[[nodiscard]] asio::awaitable<std::optional<watched_process>> ask(
			server_id server, time_point since, duration longest_wait);

		// Returns the process that holds the connection to a server; nothing when none is known.
		[[nodiscard]] std::optional<incarnation> holder(server_id const& server) const;

		[[nodiscard]] bool is_watched(server_id const& server) const;

		// Returns whether a process is named by a watch, and not by the start that it states.
		[[nodiscard]] static bool is_name(incarnation process) noexcept;

		[[nodiscard]] std::size_t size() const noexcept
		{
			return this->servers.size();
		}

	  private:
		struct watched_server;
		using watched_pointer = std::shared_ptr<watched_server>;

		// Watches a server until that is not wanted any more.
		[[nodiscard]] asio::awaitable<void> run(watched_pointer watched);
		// Opens the connection if there is none. Returns whether there is one.
		[[nodiscard]] asio::awaitable<bool> connect(watched_pointer watched, routing::server_pointer server);
		// Asks once, and records the answer.
		[[nodiscard]] asio::awaitable<void> ask_once(watched_pointer watched, routing::server_pointer server);
		// Waits until the next question is due, or the connection has ended.
		[[nodiscard]] asio::awaitable<void> wait(watched_pointer watched);
		void end_connection(watched_server& watched);
		// Wakes those that wait for an answer.
		static void notify_waiting(watched_server& watched);
		[[nodiscard]] incarnation next_name();

		asio::any_io_executor executor;
		shared_state* shared;
		server_watch_hooks hooks;
		std::map<server_id, watched_pointer> servers;
		incarnation last_name;
	};
}
