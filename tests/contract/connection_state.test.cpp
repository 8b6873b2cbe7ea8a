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

	// The two ends of a connection.
	struct connection
	{
		connection()
		{
			tcp::acceptor acceptor(this->loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
			this->near.connect(acceptor.local_endpoint());
			acceptor.accept(this->far);
		}

		// Waits until something has come to the near end, or its peer has closed.
		void await_near()
		{
			this->near.wait(tcp::socket::wait_read);
		}

		asio::io_context loop;
		tcp::socket near{loop};
		tcp::socket far{loop};
	};
}

TEST_CASE("a look at a silent connection does not wait for its peer", "[connection]")
{
	connection pair;
	REQUIRE(http::peek_state(pair.near) == http::connection_state::no_data);
	REQUIRE(http::peek_state(pair.near) == http::connection_state::no_data);
}

TEST_CASE("a look takes nothing from the connection", "[connection]")
{
	connection pair;
	asio::write(pair.far, asio::buffer(std::string("abc")));
	pair.await_near();
	REQUIRE(http::peek_state(pair.near) == http::connection_state::readable);
	std::string received(3, ' ');
	REQUIRE(asio::read(pair.near, asio::buffer(received)) == 3);
	REQUIRE(received == "abc");
	REQUIRE(http::peek_state(pair.near) == http::connection_state::no_data);
}

TEST_CASE("a connection that the peer has closed or reset is closed", "[connection]")
{
	connection pair;
	if (GENERATE(false, true))
	{
		pair.far.set_option(asio::socket_base::linger(true, 0));
	}
	pair.far.close();
	pair.await_near();
	REQUIRE(http::peek_state(pair.near) == http::connection_state::closed);
	pair.near.close();
	REQUIRE(http::peek_state(pair.near) == http::connection_state::closed);
}
