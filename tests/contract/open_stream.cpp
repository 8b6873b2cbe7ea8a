#include "open_stream.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace godwittrestle::testing
{
	namespace asio = boost::asio;
	using asio::ip::tcp;

	open_stream::open_stream(http::endpoint const& daemon, std::string const& attempt, int events)
		: socket(this->loop)
	{
		this->socket.connect(tcp::endpoint(asio::ip::make_address(daemon.address), daemon.port));
		auto const text = fmt::format("POST /x/y HTTP/1.1\r\nHost: a.example\r\nTime-Left-Ms: 14000\r\n"
									  "Content-Length: 0\r\nConnection: close\r\nAttempt: {}\r\nEvents: {}\r\n\r\n",
			attempt, events);
		asio::write(this->socket, asio::buffer(text));
	}

	bool open_stream::read_until(std::string const& text)
	{
		boost::system::error_code error;
		asio::read_until(this->socket, asio::dynamic_buffer(this->received), text, error);
		return this->received.find(text) != std::string::npos;
	}

	std::string const& open_stream::read_rest()
	{
		boost::system::error_code error;
		asio::read(this->socket, asio::dynamic_buffer(this->received), error);
		return this->received;
	}
}
