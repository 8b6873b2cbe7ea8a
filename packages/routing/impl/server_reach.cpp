#include <godwittrestle/routing/server_reach.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	namespace
	{
		// A server may fall silent for a moment, and so may two at once; a daemon with calls to several servers hears
		// from one of them within this time.
		constexpr duration max_silence_of_all = milliseconds(300);
		constexpr std::size_t min_failed_servers = 3;
		// A new connection that failed longer ago tells nothing of the present.
		constexpr duration failed_connect_time = seconds(1);
	}

	void server_reach::note_heard(time_point now)
	{
		this->heard_at = std::max(this->heard_at, now);
		this->failed.clear();
	}

	void server_reach::note_failure(server_id const& server)
	{
		this->failed.insert(server);
	}

	void server_reach::note_connect(server_id const& server, bool is_connected, time_point now)
	{
		if (is_connected)
		{
			this->unconnected.clear();
		}
		else
		{
			this->unconnected[server] = now;
		}
	}

	bool server_reach::can_connect(time_point now) const
	{
		auto const failed_lately = std::ranges::count_if(
			this->unconnected, [now](auto const& item) { return now - item.second <= failed_connect_time; });
		return static_cast<std::size_t>(failed_lately) < min_failed_servers;
	}

	bool server_reach::is_cut_off(std::size_t known_servers, time_point now) const
	{
		auto const required = std::min(known_servers, min_failed_servers);
		return required > 0 && this->failed.size() >= required && this->unheard_for(now) > max_silence_of_all;
	}

	bool server_reach::is_doubtful() const noexcept
	{
		return this->failed.size() >= min_failed_servers;
	}

	duration server_reach::unheard_for(time_point now) const
	{
		return now - this->heard_at;
	}
}
