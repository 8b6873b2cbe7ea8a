#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

// Small stand-ins for the users' store, servers and callers, for the cases of this review. A thread serves each
// connection, and the process ends without joining them.
namespace review
{
	namespace asio = boost::asio;
	namespace beast = boost::beast;
	using asio::ip::tcp;
	using boost::system::error_code;
	using request = beast::http::request<beast::http::string_body>;
	using clock = std::chrono::steady_clock;
	using std::chrono::milliseconds;
	using header_list = std::vector<std::pair<std::string, std::string>>;

	// Exit codes of a case.
	inline constexpr int rule_held = 0;
	inline constexpr int rule_broken = 1;
	inline constexpr int case_failed = 2;

	// What a case was called with: PROGRAM FOLDER NETWORK TROUBLE RECORD.
	struct case_arguments
	{
		// A temporary folder for the settings files.
		std::string folder;
		// The first three octets of a loopback network that no other run uses.
		std::string network;
		// Whether the case plays its disruption.
		bool has_trouble = false;
		// Path of the file for what was sent, answered and run.
		std::string record;

		// Returns an address in the network.
		[[nodiscard]] std::string ip(int host) const;
	};

	[[nodiscard]] case_arguments read_arguments(int count, char const* const* arguments);

	// A file of lines, each with the seconds since the start of the case. Thread-safe.
	class record_file
	{
	  public:
		explicit record_file(std::string const& path);

		void add(std::string const& line);
		// Returns the seconds since the start of the case.
		[[nodiscard]] double seconds() const;

	  private:
		std::mutex mutex;
		std::ofstream file;
		clock::time_point const started = clock::now();
	};

	// One connection of a caller to a stand-in.
	class connection
	{
	  public:
		explicit connection(tcp::socket opened);

		// Reads one request. Returns false when the caller has closed or sent something else.
		[[nodiscard]] bool read(request& into);
		// Returns false when the caller has closed.
		bool write(std::string const& bytes);
		// Writes, unless the caller takes nothing for so long: then it resets the connection and returns false.
		[[nodiscard]] bool write_unless_unread(std::string const& bytes, milliseconds longest);
		void close();

		// Bytes that a faulty stand-in still owes on this connection.
		std::string owed;

	  private:
		tcp::socket socket;
		beast::flat_buffer buffer;
	};

	// Serves HTTP/1.1. The handler writes the answer; it is called on the connection's thread.
	class http_server
	{
	  public:
		using handler = std::function<void(connection&, request const&)>;

		http_server(std::string const& ip, handler respond);

		[[nodiscard]] std::string const& address() const noexcept;

	  private:
		void accept();

		asio::io_context loop;
		tcp::acceptor acceptor;
		std::string where;
		handler handle;
	};

	// Returns the bytes of an answer with a length.
	[[nodiscard]] std::string make_answer(unsigned status, header_list const& headers, std::string const& body);
	// Returns the bytes of an answer that ends with its connection.
	[[nodiscard]] std::string make_unframed_answer(
		unsigned status, header_list const& headers, std::string const& body);
	// Returns the head of an answer in chunks, and one chunk. An empty text gives the last chunk.
	[[nodiscard]] std::string make_chunked_head(unsigned status, header_list const& headers);
	[[nodiscard]] std::string make_chunk(std::string const& text);

	// Returns the value of a request's header; empty when it has none.
	[[nodiscard]] std::string header_of(request const& message, std::string const& name);
	// Returns the path without the query.
	[[nodiscard]] std::string path_of(request const& message);
	// Returns a number of the query; 0 when it has none.
	[[nodiscard]] std::uint64_t query_number(request const& message, std::string const& name);

	// The users' store with the calls that a system which only reads may make. Thread-safe.
	class store
	{
	  public:
		explicit store(std::string const& ip);

		// The time of the return is that of the store's ack.
		void put(std::string const& key, std::string const& value);
		void remove(std::string const& key);
		[[nodiscard]] std::string const& address() const noexcept;

	  private:
		struct change
		{
			std::string key;
			// Nothing for a removal.
			std::optional<std::string> value;
			std::uint64_t revision = 0;
		};

		void serve(connection& to, request const& message);
		[[nodiscard]] std::string list();
		[[nodiscard]] std::string watch(std::uint64_t after, milliseconds wait);
		[[nodiscard]] static std::string describe(change const& each);

		std::mutex mutex;
		std::condition_variable changed;
		std::map<std::string, change> items;
		std::vector<change> history;
		std::uint64_t revision = 1;
		http_server server;
	};

	// Passes connections on to an address. Those that are open can be made silent for good, while new ones work.
	class silencing_proxy
	{
	  public:
		silencing_proxy(std::string const& ip, std::string target);

		void silence_open_connections();
		[[nodiscard]] std::string const& address() const noexcept;

	  private:
		void accept();
		void pass_on(tcp::socket& from, tcp::socket& to, std::uint64_t generation);

		asio::io_context loop;
		tcp::acceptor acceptor;
		std::string where;
		std::string target;
		// Rises when connections are made silent. A connection carries bytes while it is of the present generation.
		std::atomic<std::uint64_t> present = 0;
	};

	// What a caller has got.
	struct caller_answer
	{
		bool is_connected = false;
		// Whether the answer was read to its end.
		bool is_whole = false;
		// 0 when no head came.
		unsigned status = 0;
		std::map<std::string, std::string> headers;
		std::string body;
	};

	// Sends a request on a new connection and reads the answer.
	[[nodiscard]] caller_answer call(std::string const& address, request message, milliseconds timeout);

	// A caller's connection that is kept for several requests.
	class caller_channel
	{
	  public:
		// from: the caller's own address.
		caller_channel(std::string const& from, std::string const& address, milliseconds timeout);

		// Sends a request and reads the answer.
		[[nodiscard]] caller_answer exchange(request message, milliseconds timeout);
		// Returns whether another request may be sent.
		[[nodiscard]] bool is_open() const noexcept;

	  private:
		void finish();

		asio::io_context loop;
		beast::tcp_stream stream;
		beast::flat_buffer buffer;
		bool is_connected = false;
	};

	// Returns a request as callers send it.
	[[nodiscard]] request make_request(std::string const& method, std::string const& target, std::string const& attempt,
		milliseconds time_limit, std::string const& body);

	// Returns an attempt id that no other request of this run has.
	[[nodiscard]] std::string next_attempt();

	// A process of the system.
	struct daemon_address
	{
		std::string ip;

		[[nodiscard]] std::string frontend() const;
		[[nodiscard]] std::string ready() const;
		[[nodiscard]] std::string control() const;
	};

	// Writes the settings file FOLDER/daemon-NUMBER.json.
	void write_settings(case_arguments const& arguments, int number, daemon_address const& own,
		std::vector<std::string> const& seeds, std::string const& store_address, int memory_mb = 260);

	// Returns the id of a daemon's process, as the script wrote it.
	[[nodiscard]] int process_of(case_arguments const& arguments, int number);

	// Tells the script that the stand-ins serve: it starts the daemons now.
	void announce_standins(case_arguments const& arguments);

	// Waits until each daemon says that it is ready. Returns false after 15 s.
	[[nodiscard]] bool wait_until_ready(std::vector<daemon_address> const& daemons);

	// Returns the time in milliseconds since 1970.
	[[nodiscard]] std::int64_t unix_milliseconds();

	// Ends the process at once with the exit code of the case.
	[[noreturn]] void end_case(record_file& record, int code, std::string const& verdict);
}
