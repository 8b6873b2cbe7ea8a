#include <godwittrestle/http/port_probe.hpp>

#include <memory>
#include <tuple>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace godwittrestle::http
{
	namespace
	{
		using boost::asio::ip::tcp;

		constexpr auto token = boost::asio::as_tuple(boost::asio::use_awaitable);
	}

	std::string_view to_string(port_state state) noexcept
	{
		switch (state)
		{
			case port_state::open:
				return "open";
			case port_state::refused:
				return "refused";
			case port_state::unknown:
				return "unknown";
		}
		return "unknown";
	}

	boost::asio::awaitable<port_state> probe_port(
		boost::asio::any_io_executor executor, endpoint where, duration timeout)
	{
		boost::system::error_code malformed;
		tcp::endpoint const target(boost::asio::ip::make_address(where.address, malformed), where.port);
		if (malformed)
		{
			co_return port_state::unknown;
		}
		auto const socket = std::make_shared<tcp::socket>(executor);
		boost::asio::steady_timer timer(executor, timeout);
		timer.async_wait(
			[socket](boost::system::error_code const& error)
			{
				boost::system::error_code ignored;
				if (!error)
				{
					std::ignore = socket->close(ignored);
				}
			});
		auto const [error] = co_await socket->async_connect(target, token);
		timer.cancel();
		if (!error)
		{
			co_return port_state::open;
		}
		co_return error == boost::asio::error::connection_refused ? port_state::refused : port_state::unknown;
	}
}
