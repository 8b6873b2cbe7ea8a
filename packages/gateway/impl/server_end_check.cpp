#include <godwittrestle/gateway/server_end_check.hpp>

#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace godwittrestle::gateway
{
	namespace
	{
		namespace asio = boost::asio;

		constexpr duration probe_timeout = milliseconds(250);
	}

	server_end_check::server_end_check(asio::any_io_executor io_executor, event_log event_sink)
		: executor(std::move(io_executor))
		, log(std::move(event_sink))
	{
	}

	void server_end_check::start(routing::registered_server const& server, result_callback callback)
	{
		auto& callbacks = this->waiting[server.id];
		callbacks.push_back(std::move(callback));
		if (callbacks.size() == 1)
		{
			asio::co_spawn(this->executor, this->run(server), asio::detached);
		}
	}

	asio::awaitable<void> server_end_check::run(routing::registered_server server)
	{
		auto state = http::port_state::unknown;
		if (auto const where = http::parse_endpoint(server.address, server.id.str()))
		{
			state = co_await http::probe_port(this->executor, *where, probe_timeout);
		}
		auto const callbacks = std::exchange(this->waiting[server.id], {});
		this->waiting.erase(server.id);
		this->log(make_event("server_end_checked",
			{{"server", server.id.str()}, {"address", server.address}, {"port", std::string(http::to_string(state))},
				{"broken_calls", fmt::format("{}", callbacks.size())}}));
		for (auto const& each : callbacks)
		{
			each(state);
		}
	}
}
