#include <catch2/catch.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>

#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/gateway/registry_follower.hpp>

#include "scripted_http_server.hpp"
#include "test_servers.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	constexpr unsigned status_ok = 200;
	constexpr unsigned status_gone = 410;

	// Parses a body of the form "REVISION" or "REVISION NEXT_PAGE". The reply contains one server, whose id is the
	// revision.
	gateway::registry_reply read_reply(http::response const& answer)
	{
		gateway::registry_reply reply;
		if (answer.status != status_ok)
		{
			reply.status = answer.status == status_gone ? gateway::registry_status::history_lost
														: gateway::registry_status::refused;
			return reply;
		}
		auto const space = std::min(answer.body.find(' '), answer.body.size());
		auto const revision = parse_number(answer.body.substr(0, space));
		if (!revision)
		{
			return reply;
		}
		reply.status = gateway::registry_status::answered;
		reply.revision = *revision;
		routing::registered_server server;
		server.id = server_id(answer.body.substr(0, space));
		reply.changes.emplace_back(server);
		if (space < answer.body.size())
		{
			reply.next_page = answer.body.substr(space + 1);
		}
		return reply;
	}

	gateway::registry_protocol make_protocol()
	{
		gateway::registry_protocol protocol;
		protocol.list = [](std::string const& after)
		{
			http::request message;
			message.target = "/list?" + after;
			return message;
		};
		protocol.watch = [](std::uint64_t revision, duration)
		{
			http::request message;
			message.target = fmt::format("/watch?{}", revision);
			return message;
		};
		protocol.read_list = read_reply;
		protocol.read_changes = read_reply;
		return protocol;
	}

	std::string make_answer(std::string const& body)
	{
		return http_answer("200 OK", "", body);
	}

	// A registry_follower of a scripted registry. It stores the updates until the test reads them.
	class fixture
	{
	  public:
		explicit fixture(std::deque<std::string> script)
			: registry(std::move(script))
			, follower(
				  this->registry.listen_address(), {milliseconds(150), milliseconds(300)}, make_protocol(),
				  [this](gateway::registry_update update) { this->store_update(std::move(update)); },
				  [](decide::record_event const&) {})
		{
			this->follower.start();
		}

		~fixture()
		{
			this->follower.stop();
		}

		fixture(fixture const&) = delete;
		fixture& operator=(fixture const&) = delete;
		fixture(fixture&&) = delete;
		fixture& operator=(fixture&&) = delete;

		// Waits for the follower's next update and returns it. Throws std::runtime_error after 60 s.
		gateway::registry_update next()
		{
			std::unique_lock lock(this->mutex);
			auto const has_update =
				this->arrived.wait_for(lock, std::chrono::seconds(60), [this] { return !this->updates.empty(); });
			if (!has_update)
			{
				throw std::runtime_error("the follower passed on no update within 60 s");
			}
			auto update = std::move(this->updates.front());
			this->updates.pop_front();
			return update;
		}

		scripted_http_server registry;

	  private:
		void store_update(gateway::registry_update update)
		{
			{
				std::scoped_lock const lock(this->mutex);
				this->updates.push_back(std::move(update));
			}
			this->arrived.notify_one();
		}

		std::mutex mutex;
		std::condition_variable arrived;
		std::deque<gateway::registry_update> updates;
		gateway::registry_follower follower;
	};

	std::vector<std::string> server_ids(gateway::registry_update const& update)
	{
		std::vector<std::string> found;
		std::ranges::transform(update.changes, std::back_inserter(found),
			[](auto const& each) { return std::get<routing::registered_server>(each).id.str(); });
		return found;
	}
}

TEST_CASE("a list is read page by page, and changes are watched from the first page's revision", "[registry]")
{
	fixture fixture({make_answer("5 k1"), make_answer("7"), make_answer("8")});
	auto const all = fixture.next();
	REQUIRE(all.is_complete_list);
	REQUIRE(server_ids(all) == std::vector<std::string>{"5", "7"});
	auto const change = fixture.next();
	REQUIRE_FALSE(change.is_complete_list);
	REQUIRE(server_ids(change) == std::vector<std::string>{"8"});
	auto const calls = fixture.registry.calls();
	REQUIRE(calls[0] == "GET /list?");
	REQUIRE(calls[1] == "GET /list?k1");
	REQUIRE(calls[2] == "GET /watch?5");
}

TEST_CASE("the complete list is read again when the registry no longer has the changes", "[registry]")
{
	fixture fixture({make_answer("5"), http_answer("410 Gone", "", ""), make_answer("9")});
	REQUIRE(fixture.next().is_complete_list);
	auto const again = fixture.next();
	REQUIRE(again.is_complete_list);
	REQUIRE_FALSE(again.is_recovery);
	REQUIRE(server_ids(again) == std::vector<std::string>{"9"});
}

TEST_CASE("a registry that refuses is reported as lost once and as recovered when it answers", "[registry]")
{
	auto const refusal = http_answer("503 Service Unavailable", "", "");
	fixture fixture({make_answer("5"), refusal, refusal, refusal, make_answer("6")});
	REQUIRE(fixture.next().is_complete_list);
	REQUIRE(fixture.next().is_lost);
	auto const back = fixture.next();
	REQUIRE(back.is_recovery);
	REQUIRE_FALSE(back.is_lost);
	REQUIRE(server_ids(back) == std::vector<std::string>{"6"});
	// The follower watches from the last revision that it has read, so it gets the changes made during the outage.
	REQUIRE(fixture.registry.calls().at(4) == "GET /watch?5");
}

TEST_CASE("a lost answer is requested again on a new connection and reported as a recovery", "[registry]")
{
	fixture fixture({make_answer("5"), "", make_answer("6")});
	REQUIRE(fixture.next().is_complete_list);
	auto const change = fixture.next();
	REQUIRE(server_ids(change) == std::vector<std::string>{"6"});
	REQUIRE(change.is_recovery);
}

TEST_CASE("an answer that can't be parsed is ignored", "[registry]")
{
	fixture fixture({make_answer("nonsense"), make_answer("4"), make_answer("nonsense"), make_answer("5")});
	REQUIRE(server_ids(fixture.next()) == std::vector<std::string>{"4"});
	REQUIRE(server_ids(fixture.next()) == std::vector<std::string>{"5"});
}
