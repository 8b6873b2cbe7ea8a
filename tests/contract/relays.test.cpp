#include <catch2/catch.hpp>

#include <algorithm>
#include <list>
#include <numeric>

#include <fmt/format.h>

#include "gateway_fixture.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;

// A daemon that reaches no server, and other daemons that answer with fixed bytes.
namespace
{
	class cut_off_daemon
	{
	  public:
		cut_off_daemon(routing::route route, std::string const& answer_of_others,
			fixed_response_server::after_response after = fixed_response_server::after_response::closes)
			: fixture(std::move(route))
		{
			constexpr int daemon_count = 4;
			auto const now = daemon::monotonic_now();
			for (int number = 0; number < daemon_count; ++number)
			{
				auto const& other = this->others.emplace_back(this->fixture.loop, answer_of_others, after);
				instance_id const id(fmt::format("other{}", number));
				this->fixture.shared.live_daemons.push_back({id, incarnation(1), "", now});
				this->fixture.shared.relays.note({id, incarnation(1), other.address(), false, now});
			}
			this->fixture.shared.is_cut_off = true;
		}

		// Returns the requests that the other daemons have received.
		[[nodiscard]] std::vector<std::string> relayed() const
		{
			std::vector<std::string> all;
			for (auto const& other : this->others)
			{
				all.insert(all.end(), other.received().begin(), other.received().end());
			}
			return all;
		}

		gateway_fixture fixture;
		std::list<fixed_response_server> others;
	};
}

TEST_CASE("a request that is passed on reaches no more servers than its route allows", "[relays]")
{
	constexpr std::uint32_t max_servers = 2;
	cut_off_daemon daemon(make_route(routing::call_kind::idempotent, max_servers, false), "");
	REQUIRE(daemon.fixture.send_request().starts_with("HTTP/1.1 502"));
	std::vector<std::string> servers_left;
	for (auto const& request : daemon.relayed())
	{
		servers_left.push_back(header_value(request, "Relayed"));
	}
	std::ranges::sort(servers_left);
	// Each daemon is told to how many servers it may send the request.
	REQUIRE(servers_left == std::vector<std::string>{"1", "2"});
}

TEST_CASE("a request that may run once is passed on once", "[relays]")
{
	cut_off_daemon daemon(make_route(routing::call_kind::non_idempotent, 3, false), "");
	REQUIRE(daemon.fixture.send_request().starts_with("HTTP/1.1 502"));
	REQUIRE(daemon.relayed().size() == 1);
}

TEST_CASE("the promise of another daemon that a request has not run is passed on, after others were asked", "[relays]")
{
	auto const refusal = http_answer("503 Unavailable", "Retry-After: 1.250\r\nAttempt: r1\r\n", "later");
	cut_off_daemon daemon(make_route(routing::call_kind::non_idempotent, 1, false), refusal);
	auto const answer = daemon.fixture.send_request();
	REQUIRE(answer.starts_with("HTTP/1.1 503"));
	REQUIRE(answer.find("Retry-After: 1.250") != std::string::npos);
	REQUIRE(daemon.relayed().size() == 3);
}

// Guards against connections that outlive the executor: the process aborted at its end.
TEST_CASE("connections to other daemons are closed before the daemon ends", "[relays]")
{
	cut_off_daemon daemon(make_route(routing::call_kind::idempotent, 2, false),
		http_answer("200 OK", "Attempt: r1\r\n", "body"), fixed_response_server::after_response::stays_silent);
	REQUIRE(daemon.fixture.send_request().starts_with("HTTP/1.1 200"));
	REQUIRE(daemon.fixture.request_forwarder.idle_connections() == 1);
	daemon.fixture.request_forwarder.close_connections();
	REQUIRE(daemon.fixture.request_forwarder.idle_connections() == 0);
}
