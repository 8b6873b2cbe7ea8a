#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/types.h>

// Small stand-ins for the users' platform: the store, backend servers, clients, and the daemons as child processes. All
// stand-ins of a case share one event loop and one thread.
namespace review
{
	namespace asio = boost::asio;
	namespace beast = boost::beast;
	using std::chrono::milliseconds;
	using std::chrono::seconds;
	using clock = std::chrono::steady_clock;
	using time_point = clock::time_point;

	// Exit codes of a case.
	inline constexpr int rule_held = 0;
	inline constexpr int rule_broken = 1;
	inline constexpr int could_not_run = 2;

	using header = std::pair<std::string, std::string>;
	using incoming_request = beast::http::request<beast::http::string_body>;

	[[nodiscard]] std::string header_of(incoming_request const& message, std::string const& name);

	// Returns an address of 127.0.0.0/8 that depends on the process, so that cases may run side by side.
	[[nodiscard]] std::string loopback_address(int number);
	// Returns a port that is free on the address.
	[[nodiscard]] unsigned short free_port(std::string const& address);

	// Writes lines with the milliseconds since the start to record.txt.
	class record
	{
	  public:
		explicit record(std::string const& path);
		void line(std::string const& text);
		[[nodiscard]] double milliseconds_since_start() const;

	  private:
		std::ofstream file;
		time_point started = clock::now();
	};

	[[nodiscard]] asio::awaitable<void> sleep_for(clock::duration time);

	// One channel on which a request is answered.
	class channel
	{
	  public:
		explicit channel(asio::ip::tcp::socket socket);

		// Each function returns false when the peer has closed the channel.
		[[nodiscard]] asio::awaitable<bool> write(std::string bytes);
		[[nodiscard]] asio::awaitable<bool> answer(
			unsigned status, std::vector<header> const& headers, std::string const& body);
		[[nodiscard]] asio::awaitable<bool> begin_stream(std::vector<header> const& headers);
		[[nodiscard]] asio::awaitable<bool> write_chunk(std::string const& piece);
		[[nodiscard]] asio::awaitable<bool> end_stream();
		void close();

		beast::tcp_stream stream;
		beast::flat_buffer buffer;
		// The bytes of the last whole answer.
		std::string last_answer;
		// Bytes of an extra answer that are sent when the next request has arrived.
		std::string late_extra;
		bool is_closed = false;
	};

	// Listens on an address and runs a handler for each request.
	class http_listener
	{
	  public:
		using handler = std::function<asio::awaitable<void>(incoming_request const&, channel&)>;

		http_listener(asio::io_context& loop, std::string const& address, handler respond);

		[[nodiscard]] std::string address() const;
		// Stops listening and resets all channels.
		void close();
		// Listens again on the same port.
		void open();

	  private:
		void listen(unsigned short port);
		[[nodiscard]] asio::awaitable<void> accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor);
		[[nodiscard]] asio::awaitable<void> serve(std::shared_ptr<channel> link);

		asio::io_context* loop;
		asio::ip::address ip;
		unsigned short port = 0;
		std::shared_ptr<asio::ip::tcp::acceptor> listening;
		std::vector<std::weak_ptr<channel>> channels;
		handler respond;
	};

	// The platform's store as PROTOCOL.md describes it: items, one revision counter, a history for watches, and
	// Store-Era, which rises by one when the store comes back from a copy.
	class store
	{
	  public:
		store(asio::io_context& loop, std::string const& address);

		[[nodiscard]] std::string address() const;
		void put(std::string const& key, std::string const& value);
		void remove(std::string const& key);
		[[nodiscard]] std::uint64_t revision() const noexcept;
		[[nodiscard]] std::uint64_t era() const noexcept;
		// Keeps the present state as the copy from which the store may come back.
		void copy();
		// The store is away: all channels are reset and new ones are refused.
		void go_away();
		// Comes back with what it held. Nothing is lost.
		void come_back();
		// Comes back from the copy. What was written since is lost, and its revisions are given out again.
		void come_back_from_copy();

	  private:
		struct item
		{
			std::uint64_t revision = 0;
			std::string key;
			std::optional<std::string> value;
		};

		struct content
		{
			std::map<std::string, item> items;
			std::vector<item> history;
			std::uint64_t revision = 10;
		};

		[[nodiscard]] asio::awaitable<void> serve(incoming_request const& message, channel& link);
		[[nodiscard]] std::string list() const;
		[[nodiscard]] std::string changes_after(std::uint64_t after) const;

		content now;
		content saved;
		std::uint64_t current_era = 1;
		http_listener listener;
	};

	// The answer to one request of a client.
	struct client_answer
	{
		// Whether the whole request was sent.
		bool is_sent = false;
		// 0 when no head arrived.
		unsigned status = 0;
		bool has_seal = false;
		bool is_whole = false;
		bool says_leaving = false;
		std::string server;
		std::string body;
	};

	struct client_request
	{
		std::string method = "POST";
		std::string host = "app.example";
		std::string path;
		std::string attempt;
		std::vector<header> headers;
		std::string body;
		// The second half of the body is sent this much later than the first.
		clock::duration upload_time{};
	};

	// Sends one request on a new channel and reads its answer to the end, or until the time limit.
	[[nodiscard]] asio::awaitable<client_answer> send_request(
		std::string address, client_request message, clock::duration time_limit);

	struct daemon_addresses
	{
		std::string name;
		std::string ip;
		std::string frontend;
		std::string ready;
		std::string control;
	};

	[[nodiscard]] daemon_addresses choose_daemon_addresses(int number);

	// A daemon of the project as a process of its own.
	class daemon_process
	{
	  public:
		daemon_process(std::string program, std::string folder, daemon_addresses own, std::string store_address,
			std::vector<std::string> seeds);
		~daemon_process();

		daemon_process(daemon_process const&) = delete;
		daemon_process& operator=(daemon_process const&) = delete;
		daemon_process(daemon_process&&) = delete;
		daemon_process& operator=(daemon_process&&) = delete;

		// bootstrap: whether the whole system starts for the first time.
		void start(bool bootstrap);
		// Sends SIGKILL and waits for the end.
		void kill();
		// Sends SIGTERM.
		void terminate();
		// Returns whether the process has ended by itself.
		[[nodiscard]] bool has_ended();

		daemon_addresses addresses;

	  private:
		std::string program;
		std::string folder;
		std::string store_address;
		std::vector<std::string> seeds;
		pid_t process = -1;
	};

	// Returns whether the daemon answers 200 to the platform's question whether it is ready, asked until the time
	// limit.
	[[nodiscard]] asio::awaitable<bool> wait_until_ready(std::string ready_address, clock::duration time_limit);

	// What the program of a case was started with.
	struct case_arguments
	{
		std::string name;
		std::string daemon_program;
		std::string folder;
		std::string record_path;
		bool has_trouble = true;
	};

	// Runs one case on the event loop. Returns its exit code.
	using case_function = std::function<asio::awaitable<int>(asio::io_context&, case_arguments const&, record&)>;
}
