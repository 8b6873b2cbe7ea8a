#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <tuple>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/http/server.hpp>

using namespace godwittrestle;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	constexpr std::size_t large_body_bytes = 900'000;

	// A server on its own thread that answers each request with 200.
	class answering_server
	{
	  public:
		explicit answering_server(http::server_limits const& limits)
			: server(this->thread.context().get_executor(), {"127.0.0.1", 0}, limits,
				  [](http::request, http::exchange& http_exchange) -> asio::awaitable<void>
				  {
					  http::response answer;
					  std::ignore = co_await http_exchange.reply(std::move(answer));
				  },
				  {[this](http::unread_reason reason, http::request const&) { this->reason = reason; }, {}})
		{
			this->server.start();
			this->thread.start();
		}

		~answering_server()
		{
			this->thread.stop();
		}

		answering_server(answering_server const&) = delete;
		answering_server& operator=(answering_server const&) = delete;
		answering_server(answering_server&&) = delete;
		answering_server& operator=(answering_server&&) = delete;

		[[nodiscard]] tcp::socket connect()
		{
			tcp::socket socket(this->callers);
			socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), this->server.port()));
			return socket;
		}

		std::atomic<http::unread_reason> reason = http::unread_reason::peer_closed;

	  private:
		asio::io_context callers;
		daemon::io_thread thread;
		http::server server;
	};

	// Reads until the connection ends.
	std::string read_all(tcp::socket& socket)
	{
		std::string received;
		boost::system::error_code error;
		asio::read(socket, asio::dynamic_buffer(received), error);
		return received;
	}

	std::string head_of(std::size_t body_bytes, std::string const& more = "")
	{
		return "POST / HTTP/1.1\r\nHost: a\r\n" + more + "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
	}
}

// The socket was closed with unread bytes, so the kernel sent a reset that could take the refusal with it.
TEST_CASE("a refusal reaches a caller that reads it only after it has sent its body", "[unread]")
{
	http::server_limits limits;
	limits.body_bytes = 1000;
	limits.header_bytes = 4096;
	answering_server server(limits);
	auto const has_large_header = GENERATE(false, true);
	std::string const filler(10'000, 'a');
	auto socket = server.connect();
	boost::system::error_code error;
	asio::write(
		socket, asio::buffer(head_of(large_body_bytes, has_large_header ? "X-A: " + filler + "\r\n" : "")), error);
	std::string const piece(large_body_bytes / 9, 'b');
	for (int number = 0; number < 9; ++number)
	{
		asio::write(socket, asio::buffer(piece), error);
		std::this_thread::sleep_for(std::chrono::milliseconds(5));
	}
	CHECK_FALSE(error);
	auto const expected = has_large_header ? "HTTP/1.1 431" : "HTTP/1.1 413";
	CHECK(read_all(socket).starts_with(expected));
}

// The time limit closed the connection, so the refusal could not be written.
TEST_CASE("a request that does not arrive in time is answered with 408", "[unread]")
{
	http::server_limits limits;
	limits.header_timeout = milliseconds(100);
	limits.read_timeout = milliseconds(100);
	answering_server server(limits);
	auto socket = server.connect();
	SECTION("the body stalls")
	{
		asio::write(socket, asio::buffer(head_of(8) + "half"));
		CHECK(read_all(socket).starts_with("HTTP/1.1 408"));
		CHECK(server.reason == http::unread_reason::body_timeout);
	}
	SECTION("the header stalls")
	{
		asio::write(socket, asio::buffer(std::string_view("POST / HTTP/1.1\r\nHost")));
		CHECK(read_all(socket).starts_with("HTTP/1.1 408"));
		CHECK(server.reason == http::unread_reason::header_timeout);
	}
}

TEST_CASE("a time limit of one request does not end a later one on the connection", "[unread]")
{
	http::server_limits limits;
	limits.read_timeout = milliseconds(400);
	limits.write_timeout = milliseconds(400);
	answering_server server(limits);
	auto socket = server.connect();
	for (int number = 0; number < 3; ++number)
	{
		asio::write(socket, asio::buffer(head_of(8) + "half"));
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
		asio::write(socket, asio::buffer(std::string_view("half")));
		std::string received;
		boost::system::error_code error;
		asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
		CHECK(received.starts_with("HTTP/1.1 200"));
		std::this_thread::sleep_for(std::chrono::milliseconds(450));
	}
}
