#include <godwittrestle/http/connection_state.hpp>

#include <tuple>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace godwittrestle::http
{
	connection_state peek_state(boost::asio::ip::tcp::socket& socket)
	{
		boost::system::error_code error;
		if (socket.non_blocking(true, error))
		{
			return connection_state::closed;
		}
		char byte = 0;
		std::ignore = socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
		if (error == boost::asio::error::would_block)
		{
			return connection_state::no_data;
		}
		return error ? connection_state::closed : connection_state::readable;
	}
}
