#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "gateway_fixture.hpp"
#include "pausing_engine.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// Engines that fall silent in the middle of a stream, while another engine is listed that may not have room for it. A
// server's silence is no reason to end an answer: it is read on until a place elsewhere is held, or the caller leaves.
namespace
{
	namespace asio = boost::asio;
	using routing::server_role;

	constexpr duration stream_timeout = seconds(14);
	constexpr duration patience = milliseconds(3600);
	constexpr duration time_to_give_back = milliseconds(500);

	routing::route make_stream_route(std::uint32_t max_servers = 2)
	{
		auto route = make_route(routing::call_kind::streaming, max_servers, true);
		route.timeout = stream_timeout;
		route.caller_patience = patience;
		return route;
	}

	engine_plan silent_for(duration silence, int last_before_silence = 1)
	{
		engine_plan plan;
		plan.last_before_silence = last_before_silence;
		plan.silence = silence;
		return plan;
	}

	// Two engines, of which the first gets each stream.
	class two_engines
	{
	  public:
		two_engines(engine_plan first_plan, engine_plan second_plan,
			routing::service service = make_reserving_service(), std::uint32_t max_servers = 2)
			: fixture(make_stream_route(max_servers), std::move(service))
			, first(fixture.loop, first_plan)
			, second(fixture.loop, second_plan)
		{
			this->fixture.add_server("a", this->first.address(), server_role::decode);
			this->fixture.add_server("b", this->second.address(), server_role::decode);
			this->put_second_later();
		}

		// What still runs in the background refers to the forwarder, which is destroyed before the event loop.
		~two_engines()
		{
			constexpr std::chrono::milliseconds time_for_answers(50);
			this->fixture.run_until(
				[this]
				{
					auto const is_queue_empty = this->fixture.shared.stream_queue.size() == 0;
					return is_queue_empty && this->first.asked() == 0 && this->second.asked() == 0;
				});
			this->fixture.loop.restart();
			this->fixture.loop.run_for(time_for_answers);
		}

		two_engines(two_engines const&) = delete;
		two_engines& operator=(two_engines const&) = delete;
		two_engines(two_engines&&) = delete;
		two_engines& operator=(two_engines&&) = delete;

		// More work of others at the second engine makes the first one the first choice.
		void put_second_later()
		{
			this->fixture.shared.servers.find(server_id("b"))
				->load.set_share(instance_id("o"), {1, 0, 100}, daemon::monotonic_now());
		}

		// Runs a function some time from now.
		void after(duration time, std::function<void()> work)
		{
			auto const timer = std::make_shared<asio::steady_timer>(this->fixture.loop, time);
			timer->async_wait([timer, work = std::move(work)](boost::system::error_code const&) { work(); });
		}

		gateway_fixture fixture;
		pausing_engine first;
		pausing_engine second;
	};

	// Returns whether the caller got each event once, in order, and the end of the answer.
	bool is_whole(std::string const& answer, int events = engine_plan().events)
	{
		std::size_t position = 0;
		for (int number = 1; number <= events; ++number)
		{
			auto const line = fmt::format("id: {}\n", number);
			position = answer.find(line, position);
			if (position == std::string::npos || answer.find(line, position + 1) != std::string::npos)
			{
				return false;
			}
		}
		return is_complete_stream(answer);
	}
}

// Guards against streams that are broken off although their engine is only silent (LOST): the other one has no room.
TEST_CASE("a stream whose engine is silent goes on there when the other engine has no room", "[silent_no_room]")
{
	auto const silence = GENERATE(milliseconds(1000), milliseconds(1600), milliseconds(2500), milliseconds(3400));
	auto const events_before = GENERATE(0, 1, 3);
	two_engines engines(silent_for(silence, events_before), engine_plan());
	engines.second.set_room(false);
	auto const answer = engines.fixture.send_request("POST", stream_timeout);
	CAPTURE(answer, std::chrono::duration_cast<milliseconds>(silence).count(), events_before);
	CHECK(is_whole(answer));
	CHECK(engines.first.streams() == 1);
	CHECK(engines.second.streams() == 0);
}

TEST_CASE("a stream waits for its only engine as long as its caller does", "[silent_no_room]")
{
	gateway_fixture fixture(make_stream_route(), make_reserving_service());
	pausing_engine engine(fixture.loop, silent_for(milliseconds(3400)));
	fixture.add_server("a", engine.address(), server_role::decode);
	auto const answer = fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_whole(answer));
	CHECK(engine.streams() == 1);
}

// The other error: an engine that is frozen for good is left as soon as there is a place.
TEST_CASE("a stream leaves an engine that stays silent as soon as the other engine has room", "[silent_no_room]")
{
	auto const room_after = GENERATE(milliseconds(0), milliseconds(1900));
	two_engines engines(silent_for(stream_timeout), engine_plan());
	engines.second.set_room(room_after == milliseconds(0));
	if (room_after > milliseconds(0))
	{
		engines.after(room_after, [&] { engines.second.set_room(true); });
	}
	auto const begun_at = daemon::monotonic_now();
	auto const answer = engines.fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_whole(answer));
	CHECK(engines.first.streams() == 1);
	CHECK(engines.second.streams() == 1);
	CHECK(daemon::monotonic_now() - begun_at < patience);
}

// Guards against two runs at once (TWICE).
TEST_CASE("a silent engine is left as soon as another one has accepted the stream", "[silent_no_room]")
{
	constexpr auto time_to_close = milliseconds(50);
	two_engines engines(silent_for(milliseconds(2200)), engine_plan());
	auto was_left = false;
	engines.second.on_stream(
		[&] { engines.after(time_to_close, [&] { was_left = engines.first.left_streams() == 1; }); });
	auto const answer = engines.fixture.send_request("POST", stream_timeout);
	engines.fixture.run_until([&] { return was_left; });
	CAPTURE(answer);
	CHECK(is_whole(answer));
	CHECK(engines.second.streams() == 1);
}

TEST_CASE("an engine that goes on while another place is sought keeps the stream", "[silent_no_room]")
{
	auto second_plan = engine_plan();
	second_plan.reservation_time = milliseconds(700);
	two_engines engines(silent_for(milliseconds(1900)), second_plan);
	auto const answer = engines.fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_whole(answer));
	CHECK(engines.first.streams() == 1);
	CHECK(engines.second.streams() == 0);
	// The reservation is granted after the answer has ended.
	engines.fixture.run_until([&] { return engines.second.granted() > 0; });
	auto const granted_at = daemon::monotonic_now();
	engines.fixture.run_until(
		[&] { return engines.second.kept() == 0 || daemon::monotonic_now() - granted_at > time_to_give_back; });
	CHECK(engines.second.kept() == 0);
}

TEST_CASE("nothing stays reserved for a caller that leaves while another place is sought", "[silent_no_room]")
{
	auto second_plan = engine_plan();
	second_plan.reservation_time = milliseconds(700);
	two_engines engines(silent_for(stream_timeout), second_plan);
	auto caller = engines.fixture.begin_request();
	auto const begun_at = daemon::monotonic_now();
	engines.fixture.run_until([&] { return daemon::monotonic_now() - begun_at > milliseconds(1800); });
	caller.close();
	engines.fixture.run_until([&] { return daemon::monotonic_now() - begun_at > milliseconds(3000); });
	CHECK(engines.second.granted() > 0);
	CHECK(engines.second.kept() == 0);
	CHECK(engines.second.streams() == 0);
	CHECK(engines.fixture.request_forwarder.running() == 0);
}

TEST_CASE("a stream that falls silent at its second engine too goes on there", "[silent_no_room]")
{
	two_engines engines(silent_for(stream_timeout), silent_for(milliseconds(2500), 2), make_reserving_service(), 3);
	pausing_engine third(engines.fixture.loop, engine_plan());
	third.set_room(false);
	engines.fixture.add_server("c", third.address(), server_role::decode);
	auto const answer = engines.fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_whole(answer));
	CHECK(engines.second.streams() == 1);
	CHECK(third.streams() == 0);
}

// Guards against streams that are broken off since the engine that took them over in the end refuses them (LOST).
TEST_CASE("a stream goes on at its silent engine when the other one refuses it", "[silent_no_room]")
{
	auto const has_reservations = GENERATE(true, false);
	auto const silence = GENERATE(milliseconds(1600), milliseconds(2500), milliseconds(3400));
	auto second_plan = engine_plan();
	second_plan.refuses_streams = true;
	two_engines engines(
		silent_for(silence), second_plan, has_reservations ? make_reserving_service() : routing::service());
	auto const answer = engines.fixture.send_request("POST", stream_timeout);
	CAPTURE(answer, has_reservations);
	CHECK(is_whole(answer));
	CHECK(engines.first.streams() == 1);
	CHECK(engines.second.streams() == 1);
}

TEST_CASE("a silent stream outlives a configuration that drops its route", "[silent_no_room]")
{
	two_engines engines(silent_for(milliseconds(2500)), engine_plan());
	engines.second.set_room(false);
	engines.after(milliseconds(1800),
		[&]
		{
			routing::configuration config;
			config.version = platform_version(2);
			engines.fixture.shared.routes = std::make_shared<routing::route_table const>(std::move(config));
		});
	auto const answer = engines.fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_whole(answer));
	CHECK(engines.second.streams() == 0);
}

TEST_CASE("a silent stream stays with its software version when no other engine has it", "[silent_no_room]")
{
	two_engines engines(silent_for(milliseconds(2500)), engine_plan());
	auto newer = engines.fixture.shared.servers.find(server_id("b"))->entry;
	newer.version = software_version("v2");
	engines.fixture.shared.servers.put(newer);
	engines.put_second_later();
	auto const answer = engines.fixture.send_request("POST", stream_timeout);
	CAPTURE(answer);
	CHECK(is_whole(answer));
	CHECK(engines.first.streams() == 1);
	CHECK(engines.second.streams() == 0);
}
