#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "daemon_group.hpp"
#include "open_stream.hpp"
#include "slow_prefill_server.hpp"
#include "stream_answers.hpp"
#include "streaming_servers.hpp"
#include "test_protocol.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// Streams that begin at a server's new process while its entry still is that of the process before.
namespace
{
	constexpr std::chrono::milliseconds prefill_time{300};

	void sleep(std::chrono::milliseconds time)
	{
		std::this_thread::sleep_for(time);
	}

	// A server whose process is replaced by one of version v1.1 under its id, and others of both versions that may take
	// its streams over. No daemon has had a connection to the server, and it is the only decode engine that is listed
	// until list_all(), so streams begin there.
	class replaced_server
	{
	  public:
		explicit replaced_server(std::size_t daemon_count, std::vector<routing::registered_server> further = {})
			: always_listed(std::move(further))
			, daemons(daemon_count, make_long_route(), this->other_entries())
		{
			sleep(settle_time);
			this->list_alone();
		}

		// Replaces the process. Its entry stays as it was.
		void replace()
		{
			this->server.restart("v1.1");
		}

		// Writes the entry of the present process.
		void write_entry()
		{
			this->written = this->server.entry();
		}

		void list_alone()
		{
			auto listed = this->always_listed;
			listed.push_back(this->written);
			this->daemons.publish(std::move(listed));
			sleep(settle_time);
		}

		void list_all()
		{
			auto listed = this->other_entries();
			listed.push_back(this->written);
			this->daemons.publish(std::move(listed));
			sleep(settle_time);
		}

	  private:
		[[nodiscard]] std::vector<routing::registered_server> other_entries() const
		{
			auto listed = this->always_listed;
			std::ranges::copy(entries_of(this->old_servers), std::back_inserter(listed));
			std::ranges::copy(entries_of(this->new_servers), std::back_inserter(listed));
			return listed;
		}

		std::vector<routing::registered_server> always_listed;
		server_list old_servers = make_servers(2, "v1");
		server_list new_servers = make_servers(2, "v1.1");

	  public:
		streaming_server server{"replaced", "v1"};

	  private:
		routing::registered_server written = this->server.entry();

	  public:
		daemon_group daemons;
	};
}

// Guards against a stream that is recorded under the entry of the process before, since its server had no connection
// to this daemon that could break (ORDER).
TEST_CASE("a stream of a new process goes on at its version once the entry is read", "[stream_processes]")
{
	replaced_server system(1);
	system.replace();
	open_stream stream(system.daemons.addresses()[0], "t1", events_asked);
	REQUIRE(stream.read_until("id: 3\n"));
	system.write_entry();
	system.list_all();
	system.server.break_streams();
	auto const& answer = stream.read_rest();
	REQUIRE(holds(answer, "v1.1"));
	REQUIRE_FALSE(holds(answer, "v1"));
	REQUIRE(is_complete(answer));
}

// As before, but the stream breaks off before the entry is read: the daemon waits for it.
TEST_CASE("a stream of a new process that breaks off goes on when the entry is read", "[stream_processes]")
{
	replaced_server system(1);
	system.replace();
	open_stream stream(system.daemons.addresses()[0], "t1", events_asked);
	REQUIRE(stream.read_until("id: 20\n"));
	system.server.break_streams();
	sleep(std::chrono::milliseconds(100));
	system.write_entry();
	system.list_all();
	auto const& answer = stream.read_rest();
	REQUIRE(holds(answer, "v1.1"));
	REQUIRE_FALSE(holds(answer, "v1"));
	REQUIRE(is_complete(answer));
}

// Guards against a daemon that was told of a stream under the version of the process before (ORDER).
TEST_CASE("a stream of a new process is taken up at its version at another daemon", "[stream_processes]")
{
	replaced_server system(2);
	sleep(meeting_time);
	system.replace();
	open_stream stream(system.daemons.addresses()[0], "t1", events_asked);
	REQUIRE(stream.read_until("id: 20\n"));
	system.write_entry();
	system.list_all();
	system.daemons.kill({0});
	auto const answer = send_to_daemon(system.daemons.addresses()[1], "POST",
		{{"Attempt", "t2"}, {"Resumes", "t1"}, {"Last-Event-Id", "20"}, {"Events", "30"}});
	CAPTURE(answer);
	REQUIRE(holds(answer, "v1.1"));
	REQUIRE_FALSE(holds(answer, "v1"));
	REQUIRE(answer.find("id: 30\n") != std::string::npos);
}

// Guards against a stream that is recorded from a record which was replaced while its prompt was prefilled (ORDER).
TEST_CASE("a stream whose server is replaced during the prefill goes on at the new version", "[stream_processes]")
{
	slow_prefill_server prefill(prefill_time);
	replaced_server system(1, {prefill.entry()});
	open_stream stream(system.daemons.addresses()[0], "t1", events_asked);
	sleep(prefill_time / 3);
	REQUIRE(prefill.calls() > 0);
	system.replace();
	system.write_entry();
	system.list_all();
	REQUIRE(stream.read_until("id: 3\n"));
	REQUIRE(prefill.calls() > 0);
	system.server.break_streams();
	auto const& answer = stream.read_rest();
	CAPTURE(answer);
	REQUIRE(is_complete(answer));
	REQUIRE(holds(answer, "v1") != holds(answer, "v1.1"));
}
