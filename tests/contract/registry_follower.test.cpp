#include <catch2/catch.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>

#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/gateway/registry_follower.hpp>

#include "scripted_calls.hpp"
#include "scripted_server.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

namespace
{
	constexpr unsigned status_ok = 200;
	constexpr unsigned status_gone = 410;

	// Bodies are "REVISION" or "REVISION NEXT_PAGE"; each answer holds one server, named like its revision.
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

	std::string answer_of(std::string const& body)
	{
		return http_answer("200 OK", "", body);
	}

	// A follower of a scripted registry; what it learns is waited for.
	class scene
	{
	  public:
		explicit scene(std::deque<std::string> script)
			: registry(std::move(script))
			, follower(
				  this->registry.where(), {milliseconds(150), milliseconds(300)}, make_protocol(),
				  [this](gateway::registry_update update) { this->take(std::move(update)); },
				  [](decide::record_event const&) {})
		{
			this->follower.start();
		}

		~scene()
		{
			this->follower.stop();
		}

		scene(scene const&) = delete;
		scene& operator=(scene const&) = delete;
		scene(scene&&) = delete;
		scene& operator=(scene&&) = delete;

		// Waits for the next thing that the follower tells; fails by exception after a generous time.
		gateway::registry_update next()
		{
			std::unique_lock lock(this->mutex);
			auto const is_there =
				this->arrived.wait_for(lock, std::chrono::seconds(60), [this] { return !this->updates.empty(); });
			if (!is_there)
			{
				throw std::runtime_error("the follower told nothing");
			}
			auto update = std::move(this->updates.front());
			this->updates.pop_front();
			return update;
		}

		scripted_calls registry;

	  private:
		void take(gateway::registry_update update)
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

	std::vector<std::string> names(gateway::registry_update const& update)
	{
		std::vector<std::string> found;
		std::ranges::transform(update.changes, std::back_inserter(found),
			[](auto const& each) { return std::get<routing::registered_server>(each).id.str(); });
		return found;
	}
}

TEST_CASE("a list is read page by page, changes follow from the first page's revision", "[registry]")
{
	scene scene({answer_of("5 k1"), answer_of("7"), answer_of("8")});
	auto const all = scene.next();
	REQUIRE(all.is_complete_list);
	REQUIRE(names(all) == std::vector<std::string>{"5", "7"});
	auto const change = scene.next();
	REQUIRE_FALSE(change.is_complete_list);
	REQUIRE(names(change) == std::vector<std::string>{"8"});
	auto const calls = scene.registry.calls();
	REQUIRE(calls[0] == "GET /list?");
	REQUIRE(calls[1] == "GET /list?k1");
	REQUIRE(calls[2] == "GET /watch?5");
}

TEST_CASE("everything is listed again when the registry has lost the changes", "[registry]")
{
	scene scene({answer_of("5"), http_answer("410 Gone", "", ""), answer_of("9")});
	REQUIRE(scene.next().is_complete_list);
	auto const again = scene.next();
	REQUIRE(again.is_complete_list);
	REQUIRE_FALSE(again.is_recovery);
	REQUIRE(names(again) == std::vector<std::string>{"9"});
}

TEST_CASE("a registry that refuses is told as lost once, and as back when it answers", "[registry]")
{
	auto const refusal = http_answer("503 Service Unavailable", "", "");
	scene scene({answer_of("5"), refusal, refusal, refusal, answer_of("6")});
	REQUIRE(scene.next().is_complete_list);
	REQUIRE(scene.next().is_lost);
	auto const back = scene.next();
	REQUIRE(back.is_recovery);
	REQUIRE_FALSE(back.is_lost);
	REQUIRE(names(back) == std::vector<std::string>{"6"});
	// Changes made meanwhile are asked for.
	REQUIRE(scene.registry.calls().at(4) == "GET /watch?5");
}

TEST_CASE("a lost answer is asked for again on a new connection, and counts as a time away", "[registry]")
{
	scene scene({answer_of("5"), "", answer_of("6")});
	REQUIRE(scene.next().is_complete_list);
	auto const change = scene.next();
	REQUIRE(names(change) == std::vector<std::string>{"6"});
	REQUIRE(change.is_recovery);
}

TEST_CASE("an answer that makes no sense is no change", "[registry]")
{
	scene scene({answer_of("nonsense"), answer_of("4"), answer_of("nonsense"), answer_of("5")});
	REQUIRE(names(scene.next()) == std::vector<std::string>{"4"});
	REQUIRE(names(scene.next()) == std::vector<std::string>{"5"});
}
