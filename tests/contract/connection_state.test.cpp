#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <godwittrestle/http/connection_state.hpp>

using namespace godwittrestle;

namespace
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	// Both ends of a TCP connection.
	struct connection
	{
		connection()
		{
			tcp::acceptor acceptor(this->loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
			this->local.connect(acceptor.local_endpoint());
			acceptor.accept(this->remote);
		}

		// Waits until the local end has received bytes or the remote end has closed.
		void wait_until_readable()
		{
			this->local.wait(tcp::socket::wait_read);
		}

		asio::io_context loop;
		tcp::socket local{loop};
		tcp::socket remote{loop};
	};
}

TEST_CASE("inspecting a connection without data does not block", "[connection]")
{
	connection pair;
	REQUIRE(http::peek_state(pair.local) == http::connection_state::no_data);
	REQUIRE(http::peek_state(pair.local) == http::connection_state::no_data);
}

TEST_CASE("inspecting a connection does not consume its bytes", "[connection]")
{
	connection pair;
	asio::write(pair.remote, asio::buffer(std::string("abc")));
	pair.wait_until_readable();
	REQUIRE(http::peek_state(pair.local) == http::connection_state::readable);
	std::string received(3, ' ');
	REQUIRE(asio::read(pair.local, asio::buffer(received)) == 3);
	REQUIRE(received == "abc");
	REQUIRE(http::peek_state(pair.local) == http::connection_state::no_data);
}

TEST_CASE("a connection that the peer has closed or reset is reported as closed", "[connection]")
{
	connection pair;
	if (GENERATE(false, true))
	{
		pair.remote.set_option(asio::socket_base::linger(true, 0));
	}
	pair.remote.close();
	pair.wait_until_readable();
	REQUIRE(http::peek_state(pair.local) == http::connection_state::closed);
	pair.local.close();
	REQUIRE(http::peek_state(pair.local) == http::connection_state::closed);
}
