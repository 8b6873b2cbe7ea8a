#include <catch2/catch.hpp>

#include <memory>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <godwittrestle/daemon/core_loop.hpp>
#include <godwittrestle/gateway/server_end_check.hpp>

using namespace godwittrestle;

namespace
{
	namespace asio = boost::asio;
	using routing::process_evidence;

	constexpr std::chrono::milliseconds answer_time{30};

	// A check whose question is answered after some time, with the start that the server has when it is asked.
	struct checked_server
	{
		asio::io_context loop{1};
		routing::server_pointer record = []
		{
			auto const server = std::make_shared<routing::server_record>();
			server->entry.id = server_id("a");
			server->entry.address = "127.0.0.1:1";
			server->entry.role = routing::server_role::decode;
			server->entry.started = incarnation(1);
			return server;
		}();
		incarnation start{1};
		int questions = 0;
		std::vector<process_evidence> answers;
		gateway::server_end_check check{loop.get_executor(), [](decide::record_event const&) {},
			[this](routing::server_pointer)
			{
				return this->answer();
			}};

		asio::awaitable<process_evidence> answer()
		{
			++this->questions;
			process_evidence seen;
			seen.statement = routing::start_stated{this->start};
			asio::steady_timer timer(this->loop, answer_time);
			co_await timer.async_wait(asio::use_awaitable);
			co_return seen;
		}

		void ask(time_point since)
		{
			asio::co_spawn(this->loop, this->ask_and_record(since), asio::detached);
		}

		asio::awaitable<void> ask_and_record(time_point since)
		{
			auto const seen = co_await this->check.ask_start(this->record, since);
			this->answers.push_back(seen);
		}
	};
}

TEST_CASE("calls that wait for a server's start share one question", "[server_end_check]")
{
	checked_server server;
	auto const since = daemon::monotonic_now();
	server.ask(since);
	server.ask(since);
	server.ask(since);
	server.loop.run();
	REQUIRE(server.questions == 1);
	REQUIRE(server.answers.size() == 3);
}

// Guards against an answer of a process that has ended since, taken for one about the process there now.
TEST_CASE("a question that was asked before a connection ended tells nothing of the server since", "[server_end_check]")
{
	checked_server server;
	server.ask(daemon::monotonic_now());
	server.loop.run_for(answer_time / 3);
	REQUIRE(server.questions == 1);
	server.start = incarnation(2);
	server.ask(daemon::monotonic_now());
	server.ask(daemon::monotonic_now());
	server.loop.run();
	REQUIRE(server.questions == 2);
	REQUIRE(server.answers.size() == 3);
	REQUIRE(server.answers[0].stated() == incarnation(1));
	REQUIRE(server.answers[1].stated() == incarnation(2));
	REQUIRE(server.answers[2].stated() == incarnation(2));
}
