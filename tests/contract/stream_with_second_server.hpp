#pragma once

#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "daemon_group.hpp"
#include "open_stream.hpp"
#include "stream_answers.hpp"
#include "streaming_servers.hpp"

namespace godwittrestle::testing
{
	// Where servers state their start.
	struct stated_places
	{
		bool in_entry = true;
		bool in_report = true;
	};

	// A stream that began at a server of version v1, and a second server whose entry is of that version. Servers of
	// version v1.1 are in service too.
	class stream_with_second_server
	{
	  public:
		explicit stream_with_second_server(stated_places places = {})
		{
			for (auto* const each : {&this->first, &this->second, &this->newer})
			{
				each->set_start_stated(places.in_entry, places.in_report);
			}
			this->first_entry = this->first.entry();
			this->second_entry = this->second.entry();
			this->daemons.emplace(1, make_long_route(), std::vector{this->first_entry});
		}

		// Begins the stream, and publishes the other servers then. The second one's entry is that of its first process.
		void begin(int events = events_asked)
		{
			this->stream.emplace(this->daemons->addresses()[0], "t1", events);
			REQUIRE(this->stream->read_until("id: 3\n"));
			this->publish();
		}

		// Publishes the same entries, again.
		void publish()
		{
			this->daemons->publish({this->first_entry, this->second_entry, this->newer.entry()});
			std::this_thread::sleep_for(settle_time);
		}

		// Breaks the stream off at its first server. Returns all that the caller received.
		[[nodiscard]] std::string const& break_off()
		{
			this->first.break_streams();
			return this->stream->read_rest();
		}

		streaming_server first{"first", "v1"};
		streaming_server second{"second", "v1"};
		streaming_server newer{"newer", "v1.1"};
		std::optional<daemon_group> daemons;

	  private:
		routing::registered_server first_entry;
		routing::registered_server second_entry;
		std::optional<open_stream> stream;
	};
}
