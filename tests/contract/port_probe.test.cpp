#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <godwittrestle/http/port_probe.hpp>

#include "test_servers.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	constexpr duration timeout = milliseconds(500);

	http::port_state probe(boost::asio::io_context& loop, std::string const& address)
	{
		auto const where = http::parse_endpoint(address, "test").value();
		return run_to_end(loop, http::probe_port(loop.get_executor(), where, timeout));
	}
}

TEST_CASE("a port is found to be open or refused", "[port_probe]")
{
	boost::asio::io_context loop;
	fixed_response_server server(loop, "", fixed_response_server::after_response::stays_silent);
	REQUIRE(probe(loop, server.address()) == http::port_state::open);
	REQUIRE(probe(loop, refused_address(loop)) == http::port_state::refused);
}
