#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <godwittrestle/daemon/io_thread.hpp>
#include <godwittrestle/http/server.hpp>

using namespace godwittrestle;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	constexpr std::size_t header_bytes = 1000;
	constexpr std::size_t body_bytes = 200'000;

	// A server that answers each request with the size of its body. A request for /hold is answered by a stream that
	// ends with its connection.
	class measuring_server
	{
	  public:
		explicit measuring_server(std::size_t memory_bytes)
			: server(this->thread.context().get_executor(), {"127.0.0.1", 0}, make_limits(memory_bytes),
				  [this](http::request message, http::exchange& http_exchange)
				  { return this->serve(std::move(message), http_exchange); })
		{
			this->server.start();
			this->thread.start();
		}

		~measuring_server()
		{
			this->thread.stop();
		}

		measuring_server(measuring_server const&) = delete;
		measuring_server& operator=(measuring_server const&) = delete;
		measuring_server(measuring_server&&) = delete;
		measuring_server& operator=(measuring_server&&) = delete;

		[[nodiscard]] tcp::socket send(std::string const& text)
		{
			tcp::socket socket(this->callers);
			socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), this->server.port()));
			asio::write(socket, asio::buffer(text));
			return socket;
		}

		// Returns the status and the head of the answer.
		[[nodiscard]] static std::string read_head(tcp::socket& socket)
		{
			std::string text;
			boost::system::error_code error;
			asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
			return text;
		}

		[[nodiscard]] std::string answer_to(std::string const& text)
		{
			auto socket = this->send(text);
			return read_head(socket).substr(0, std::string_view("HTTP/1.1 200").size());
		}

		// Sends a text in pieces, most likely so that each arrives by itself, and returns all that is answered.
		[[nodiscard]] std::string answers_to_pieces(std::vector<std::string> const& pieces)
		{
			auto socket = this->send("");
			socket.set_option(tcp::no_delay(true));
			boost::system::error_code error;
			for (auto const& piece : pieces)
			{
				asio::write(socket, asio::buffer(piece), error);
				std::this_thread::sleep_for(std::chrono::milliseconds(1));
			}
			std::string text;
			asio::read(socket, asio::dynamic_buffer(text), error);
			return text;
		}

	  private:
		asio::awaitable<void> serve(http::request message, http::exchange& http_exchange)
		{
			if (message.path() != "/hold")
			{
				http::response answer;
				answer.body = std::to_string(message.body.size());
				std::ignore = co_await http_exchange.reply(std::move(answer));
				co_return;
			}
			asio::steady_timer end(this->thread.context(), asio::steady_timer::time_point::max());
			http_exchange.on_close([&] { end.cancel(); });
			http::response head;
			std::ignore = co_await http_exchange.begin_stream(std::move(head));
			std::ignore = co_await end.async_wait(asio::as_tuple(asio::use_awaitable));
		}

		static http::server_limits make_limits(std::size_t memory_bytes)
		{
			http::server_limits limits;
			limits.header_bytes = header_bytes;
			limits.body_bytes = body_bytes;
			limits.memory_bytes = memory_bytes;
			return limits;
		}

		asio::io_context callers;
		daemon::io_thread thread;
		http::server server;
	};

	std::string chunked(std::string const& rest)
	{
		return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + rest;
	}
}

TEST_CASE("trailers and chunk extensions share the head's limit", "[request_limits]")
{
	measuring_server server(body_bytes);
	std::string const within(header_bytes / 2, 'x');
	std::string const beyond(header_bytes, 'x');
	std::string one_byte_chunks;
	for (std::size_t count = 0; count < 10 * header_bytes; ++count)
	{
		one_byte_chunks += "1\r\na\r\n";
	}
	CHECK(server.answer_to(chunked("3\r\nabc\r\n0\r\nA: " + within + "\r\n\r\n")) == "HTTP/1.1 200");
	CHECK(server.answer_to(chunked("3\r\nabc\r\n0\r\nA: " + beyond + "\r\n\r\n")) == "HTTP/1.1 431");
	CHECK(server.answer_to(chunked("3\r\nabc\r\n0\r\nA: " + beyond)) == "HTTP/1.1 431");
	CHECK(server.answer_to(chunked("3;a=" + within + "\r\nabc\r\n0\r\n\r\n")) == "HTTP/1.1 200");
	CHECK(server.answer_to(chunked("3;a=" + beyond + "\r\nabc\r\n0\r\n\r\n")) == "HTTP/1.1 431");
	CHECK(server.answer_to(chunked("3;a=" + beyond)) == "HTTP/1.1 431");
	CHECK(server.answer_to(chunked(one_byte_chunks + "0\r\n\r\n")) == "HTTP/1.1 200");
}

// Guards against a head without end that the parser takes line by line.
TEST_CASE("a head that comes line by line has the same limit", "[request_limits]")
{
	measuring_server server(body_bytes);
	auto const is_beyond = GENERATE(true, false);
	std::string const line = ": " + std::string(46, 'x') + "\r\nA";
	std::vector<std::string> pieces{"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nA"};
	auto const lines = header_bytes / line.size() + 1;
	for (std::size_t count = 0; count < (is_beyond ? lines : lines / 2); ++count)
	{
		pieces.push_back(line);
	}
	pieces.emplace_back(": x\r\n\r\n");
	CAPTURE(is_beyond);
	CHECK(server.answers_to_pieces(pieces).starts_with(is_beyond ? "HTTP/1.1 431" : "HTTP/1.1 200"));
}

TEST_CASE("requests that are split anywhere are read", "[request_limits]")
{
	measuring_server server(body_bytes);
	std::string const text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
							 "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
							 "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab";
	for (std::size_t position = 1; position < text.size(); ++position)
	{
		auto const answers = server.answers_to_pieces({text.substr(0, position), text.substr(position)});
		CAPTURE(position, answers);
		std::size_t served = 0;
		for (auto at = answers.find("HTTP/1.1 200"); at != std::string::npos; at = answers.find("HTTP/1.1 200", at + 1))
		{
			++served;
		}
		REQUIRE(served == 3);
		REQUIRE(answers.ends_with("\r\n\r\n2"));
	}
}

TEST_CASE("a request whose connection ends within it is not served", "[request_limits]")
{
	measuring_server server(body_bytes);
	std::string const text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
	for (std::size_t size = 0; size < text.size(); ++size)
	{
		auto socket = server.send(text.substr(0, size));
		socket.shutdown(tcp::socket::shutdown_send);
		std::string answer;
		boost::system::error_code error;
		asio::read(socket, asio::dynamic_buffer(answer), error);
		CAPTURE(size, answer);
		REQUIRE((size > 0 ? answer.starts_with("HTTP/1.1 400") : answer.empty()));
	}
}

TEST_CASE("a request gets 503 while another one holds the memory, and is served afterwards", "[request_limits]")
{
	measuring_server server(body_bytes);
	auto const rest = " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
					  std::string(body_bytes, 'a');
	auto holder = server.send("POST /hold" + rest);
	REQUIRE(measuring_server::read_head(holder).starts_with("HTTP/1.1 200"));
	auto refused = server.send("POST /" + rest);
	auto const refusal = measuring_server::read_head(refused);
	CHECK(refusal.starts_with("HTTP/1.1 503"));
	CHECK(refusal.find("Retry-After: 1") != std::string::npos);
	holder.close();
	auto is_served = false;
	for (auto tries = 0; tries < 1000 && !is_served; ++tries)
	{
		is_served = server.answer_to("POST /" + rest) == "HTTP/1.1 200";
	}
	CHECK(is_served);
}
