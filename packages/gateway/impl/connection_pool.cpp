#include <godwittrestle/gateway/connection_pool.hpp>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>

#include <godwittrestle/daemon/core_loop.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		// Idle connections are closed this long before the server closes them.
		constexpr duration idle_margin = milliseconds(600);
		// Assumed for servers that don't state how long they keep idle connections.
		constexpr duration default_idle_timeout = seconds(4);

		duration idle_time(http::upstream const& connection)
		{
			auto const given = connection.keep_alive().idle_timeout.value_or(default_idle_timeout);
			return std::max(duration{}, given - idle_margin);
		}
	}

	connection_pool::connection_pool(
		asio::any_io_executor io_executor, connect_callback notify_connect, idle_end_callback notify_idle_end)
		: executor(std::move(io_executor))
		, on_connect(std::move(notify_connect))
		, on_idle_end(std::move(notify_idle_end))
	{
	}

	asio::awaitable<server_connection> connection_pool::acquire(routing::registered_server const& server,
		std::size_t limit, duration max_idle, duration timeout, connection_preference preference)
	{
		auto& connections = this->servers[server.id];
		if (connections.address != server.address)
		{
			connections = server_connections{server.started, server.address, {}, 0};
		}
		if (connections.started < server.started)
		{
			this->begin_process(connections, server.started);
		}
		if (auto idle = this->take_idle(server.id, connections, max_idle, preference, daemon::monotonic_now()))
		{
			++connections.in_use;
			co_return idle;
		}
		if (connections.in_use + connections.idle.size() >= limit)
		{
			co_return server_connection();
		}
		auto const where = http::parse_endpoint(server.address, server.id.str());
		if (!where)
		{
			co_return server_connection();
		}
		++connections.in_use;
		server_connection fresh{std::make_shared<http::upstream>(this->executor, *where)};
		auto const is_connected = co_await fresh.stream->connect(timeout);
		this->on_connect(server.id, is_connected);
		if (!is_connected)
		{
			this->release(server, server_connection());
			co_return server_connection();
		}
		fresh.opened_at = daemon::monotonic_now();
		co_return fresh;
	}

	void connection_pool::release(routing::registered_server const& server, server_connection const& connection)
	{
		auto const known = this->servers.find(server.id);
		auto const is_current = known != this->servers.end() && known->second.address == server.address;
		if (is_current && known->second.in_use > 0)
		{
			--known->second.in_use;
		}
		if (!connection)
		{
			return;
		}
		auto const is_of_present = is_current && connection.holder.value_or(server.started) >= known->second.started;
		if (this->is_closed || !is_of_present || !connection.stream->is_reusable())
		{
			connection.stream->close();
			return;
		}
		known->second.idle.push_back({connection, daemon::monotonic_now()});
	}

	void connection_pool::begin_process(server_connections& connections, incarnation started)
	{
		connections.started = started;
		std::erase_if(connections.idle,
			[started](idle_connection& each)
			{
				auto const is_of_earlier = each.connection.holder.value_or(incarnation()) < started;
				if (is_of_earlier)
				{
					each.connection.stream->close();
				}
				return is_of_earlier;
			});
	}

	void connection_pool::remove_server(server_id const& server)
	{
		auto const known = this->servers.find(server);
		if (known == this->servers.end())
		{
			return;
		}
		std::ranges::for_each(known->second.idle, [](idle_connection& each) { each.connection.stream->close(); });
		this->servers.erase(known);
	}

	void connection_pool::close()
	{
		this->is_closed = true;
		this->servers.clear();
	}

	void connection_pool::close_expired(time_point now)
	{
		for (auto& [server, connections] : this->servers)
		{
			auto has_ended = false;
			std::erase_if(connections.idle,
				[&](idle_connection& each)
				{
					auto const& stream = each.connection.stream;
					auto const is_ended = !stream->is_open_without_data();
					auto const is_over = is_ended || now - each.since > idle_time(*stream);
					if (is_over)
					{
						stream->close();
					}
					has_ended = has_ended || is_ended;
					return is_over;
				});
			if (has_ended)
			{
				this->on_idle_end(server);
			}
		}
	}

	std::size_t connection_pool::idle_connections() const
	{
		auto const idle = this->servers | std::views::values |
						  std::views::transform([](server_connections const& each) { return each.idle.size(); });
		return std::accumulate(idle.begin(), idle.end(), std::size_t{0});
	}

	server_connection connection_pool::take_idle(server_id const& server, server_connections& connections,
		duration max_idle, connection_preference preference, time_point now)
	{
		auto const is_preferred = [preference](idle_connection const& each)
		{
			return preference == connection_preference::latest || each.connection.holder.has_value();
		};
		while (!connections.idle.empty())
		{
			auto const preferred = std::find_if(connections.idle.rbegin(), connections.idle.rend(), is_preferred);
			auto const taken =
				preferred == connections.idle.rend() ? std::prev(connections.idle.end()) : std::prev(preferred.base());
			auto const candidate = std::move(*taken);
			connections.idle.erase(taken);
			auto const& stream = candidate.connection.stream;
			auto const age = now - candidate.since;
			auto const is_open = stream->is_open_without_data();
			if (is_open && age <= std::min(max_idle, idle_time(*stream)))
			{
				return candidate.connection;
			}
			stream->close();
			if (!is_open)
			{
				this->on_idle_end(server);
			}
		}
		return {};
	}
}
