#include <atomic>
#include <future>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <godwittrestle/daemon/caller_api.hpp>
#include <godwittrestle/http/client.hpp>

#include "test_servers.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	daemon::daemon_settings make_settings(unsigned short port)
	{
		daemon::daemon_settings settings;
		settings.instance = instance_id("d1");
		settings.data_centre = data_centre_id("a");
		settings.caller_address = {"127.0.0.1", port};
		settings.ring_capacity = 64;
		settings.caller_limits.header_bytes = 2000;
		settings.caller_limits.body_bytes = 10'000;
		settings.caller_limits.read_timeout = milliseconds(300);
		settings.caller_limits.idle_timeout = milliseconds(300);
		settings.caller_limits.connections = 1100;
		return settings;
	}

	decide::core_settings make_core_settings(daemon::daemon_settings const& settings)
	{
		decide::core_settings core;
		core.instance = settings.instance;
		core.started = incarnation(1);
		core.data_centre = settings.data_centre;
		return core;
	}

	unsigned short free_port()
	{
		asio::io_context loop{1};
		return http::parse_endpoint(refused_address(loop), "").value().port;
	}

	// The server for callers, with a core that has no policy yet.
	class fixture
	{
	  public:
		fixture()
			: port(free_port())
			, settings(make_settings(port))
			, core(make_core_settings(settings), 64,
				  [this](decide::action&& action) { this->dispatch(std::move(action)); })
			, server(core, settings, incarnation(1))
		{
			this->server.start();
			this->core.start();
		}

		~fixture()
		{
			this->core.stop();
			this->server.stop();
		}

		fixture(fixture const&) = delete;
		fixture& operator=(fixture const&) = delete;
		fixture(fixture&&) = delete;
		fixture& operator=(fixture&&) = delete;

		// Sends bytes and returns all bytes that are received until the connection is closed.
		[[nodiscard]] std::string exchange(std::string const& bytes) const
		{
			auto socket = this->connect();
			boost::system::error_code error;
			asio::write(socket, asio::buffer(bytes), error);
			std::string received;
			asio::read(socket, asio::dynamic_buffer(received), error);
			return received;
		}

		[[nodiscard]] tcp::socket connect() const
		{
			tcp::socket socket(this->loop);
			socket.connect({asio::ip::make_address("127.0.0.1"), this->port});
			return socket;
		}

	  private:
		void dispatch(decide::action&& action)
		{
			// A daemon passes record_event actions to the telemetry, not to the server for callers.
			if (!std::holds_alternative<decide::record_event>(action))
			{
				this->server.push(std::move(action));
			}
		}

		mutable asio::io_context loop{1};
		unsigned short port;
		daemon::daemon_settings settings;
		daemon::core_loop core;
		daemon::caller_api server;
	};

	std::string post(std::string const& target, std::string const& body)
	{
		return "POST " + target +
			   " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
			   "\r\n\r\n" + body;
	}
}

TEST_CASE(
	"invalid input gets an error answer with a remedy, or its connection is closed after the timeout", "[caller_api]")
{
	struct row
	{
		char const* name;
		std::string bytes;
		char const* status;
	};
	std::vector<row> const table{
		{"not HTTP", "hello\r\n\r\n", "HTTP/1.1 400"},
		{"header too large", "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n", "HTTP/1.1 431"},
		{"body too large", post("/v1/completions", std::string(20'000, 'x')), "HTTP/1.1 413"},
		{"incomplete request", "POST /v1/completions HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", ""},
		{"no bytes", "", ""},
		{"malformed JSON", post("/v1/completions", "{"), "HTTP/1.1 400"},
		{"no prompt", post("/v1/completions", R"({"model": "m"})"), "HTTP/1.1 400"},
		{"prompt of another type", post("/v1/completions", R"({"model": "m", "prompt": 1})"), "HTTP/1.1 400"},
		{"negative max_tokens", post("/v1/completions", R"({"model": "m", "prompt": "p", "max_tokens": -1})"),
			"HTTP/1.1 400"},
		{"stream that is not a boolean", post("/v1/completions", R"({"model": "m", "prompt": "p", "stream": 1})"),
			"HTTP/1.1 400"},
		{"keys without number", post("/v1/idempotency-keys", "{}"), "HTTP/1.1 400"},
		{"unknown path", post("/nowhere", ""), "HTTP/1.1 404"},
		{"not ready", post("/v1/completions", R"({"model": "m", "prompt": "p"})"), "HTTP/1.1 503"},
	};
	fixture const server;
	for (auto const& each : table)
	{
		CAPTURE(each.name);
		auto const answer = server.exchange(each.bytes);
		CAPTURE(answer);
		REQUIRE(answer.starts_with(each.status));
		REQUIRE((each.status[0] == '\0' || answer.find("\"remedy\"") != std::string::npos));
	}
}

TEST_CASE("a refusal has a Retry-After header", "[caller_api]")
{
	fixture const server;
	auto const answer = server.exchange(post("/v1/completions", R"({"model": "m", "prompt": "p"})"));
	CAPTURE(answer);
	REQUIRE(answer.find("Retry-After: 1") != std::string::npos);
}

TEST_CASE("a thousand idle connections do not delay other requests and are closed", "[caller_api]")
{
	fixture const server;
	constexpr std::size_t connections = 1000;
	std::vector<tcp::socket> idle;
	idle.reserve(connections);
	for (std::size_t count = 0; count < connections; ++count)
	{
		idle.push_back(server.connect());
	}
	REQUIRE(server.exchange("GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
	for (auto& socket : idle)
	{
		char byte = 0;
		boost::system::error_code error;
		// The read fails when the server closes the connection.
		asio::read(socket, asio::buffer(&byte, 1), error);
		REQUIRE(error);
	}
}
