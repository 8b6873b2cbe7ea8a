#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "routing_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::testing;
using routing::server_role;

namespace
{
	std::size_t count_candidates(routing::directory const& servers, time_point now)
	{
		return servers.candidates(service_id("summaries"), server_role::decode, now).size();
	}
}

TEST_CASE("a leaving server is no candidate, even if it is the only server", "[directory]")
{
	routing::directory servers;
	auto entry = make_server("d1", server_role::decode);
	servers.put(entry);
	REQUIRE(count_candidates(servers, at_ms(1)) == 1);
	entry.leaving = true;
	REQUIRE(servers.put(entry));
	REQUIRE(count_candidates(servers, at_ms(3)) == 0);
}

TEST_CASE("a server whose entry was removed is a last resort until the grace period ends", "[directory]")
{
	routing::directory servers;
	servers.put(make_server("d1", server_role::decode));
	servers.put(make_server("d2", server_role::decode));
	servers.remove(server_id("d1"), at_ms(100));
	REQUIRE(count_candidates(servers, at_ms(101)) == 1);
	servers.remove(server_id("d2"), at_ms(100));
	REQUIRE(count_candidates(servers, at_ms(101)) == 2);
	REQUIRE(count_candidates(servers, at_ms(1301)) == 0);
	REQUIRE(servers.expire(at_ms(1301)).size() == 2);
	REQUIRE(servers.all().empty());
}

TEST_CASE("entries that expired during a registry outage have time to return", "[directory]")
{
	routing::directory servers;
	servers.put(make_server("d1", server_role::decode));
	servers.note_registry_return(at_ms(10'000));
	servers.replace({}, at_ms(10'000));
	REQUIRE(count_candidates(servers, at_ms(12'200)) == 1);
	REQUIRE(count_candidates(servers, at_ms(12'400)) == 0);
}

TEST_CASE("a server that restarts with the same id gets a new record", "[directory]")
{
	routing::directory servers;
	auto entry = make_server("d1", server_role::decode);
	servers.put(entry);
	auto const before = servers.find(entry.id);
	before->load.begin_call(token_count(10), token_count(10), at_ms(1));
	entry.started = incarnation(2);
	REQUIRE(servers.put(entry));
	REQUIRE(servers.find(entry.id) != before);
	REQUIRE(servers.find(entry.id)->load.own().running == 0);
}

TEST_CASE("put reports no change for an unchanged entry", "[directory]")
{
	routing::directory servers;
	auto const entry = make_server("d1", server_role::decode);
	REQUIRE(servers.put(entry));
	REQUIRE_FALSE(servers.put(entry));
}

namespace
{
	// A directory that has the server d1, as the registry listed it before it came back from a copy.
	struct copied_registry
	{
		routing::copy_summary restore(
			std::vector<routing::registered_server> const& copy, duration unobserved = seconds(2))
		{
			this->servers.note_registry_return(at_ms(10'000));
			return this->servers.replace_from_copy(copy, unobserved, at_ms(10'000));
		}

		[[nodiscard]] std::size_t candidates(std::int64_t ms) const
		{
			return count_candidates(this->servers, at_ms(ms));
		}

		routing::directory servers;
		routing::registered_server d1 = make_server("d1", server_role::decode);
		routing::registered_server d2 = make_server("d2", server_role::decode);
	};
}

// Guards against calls to a server that has left, since a copy of the registry names it as ready (DRAIN).
TEST_CASE("a server that is leaving stays so when a copy of the registry names it as ready", "[store_copy]")
{
	copied_registry registry;
	registry.servers.put(registry.d1);
	auto const announced_in_answer = GENERATE(true, false);
	auto leaving = registry.d1;
	leaving.leaving = !announced_in_answer;
	registry.servers.put(leaving);
	registry.servers.find(leaving.id)->has_announced_leaving = announced_in_answer;
	auto const found = registry.restore({registry.d1});
	REQUIRE(found.doubted == 1);
	REQUIRE(registry.candidates(10'001) == 0);
	SECTION("until its entry is written again")
	{
		registry.servers.put(leaving);
		REQUIRE(registry.servers.expire(at_ms(60'000)).empty());
		REQUIRE(registry.candidates(60'000) == 0);
	}
	SECTION("until its entry is removed")
	{
		registry.servers.remove(leaving.id, at_ms(10'500));
		REQUIRE(registry.servers.expire(at_ms(13'000)).size() == 1);
	}
	SECTION("or until the copy's entry has stayed for longer than an entry of a dead server would")
	{
		REQUIRE(registry.servers.expire(at_ms(15'800)).empty());
		REQUIRE(registry.candidates(15'800) == 0);
		REQUIRE(registry.servers.expire(at_ms(16'000)).empty());
		// What it said in an answer holds for good.
		REQUIRE(registry.candidates(16'000) == (announced_in_answer ? 0 : 1));
	}
}

TEST_CASE("a server that was removed is a last resort when a copy of the registry names it", "[store_copy]")
{
	copied_registry registry;
	registry.servers.put(registry.d1);
	registry.servers.put(registry.d2);
	registry.servers.remove(registry.d1.id, at_ms(5'000));
	auto const is_forgotten = GENERATE(true, false);
	if (is_forgotten)
	{
		REQUIRE(registry.servers.expire(at_ms(6'300)).size() == 1);
	}
	REQUIRE(registry.restore({registry.d1, registry.d2}).doubted == 1);
	REQUIRE(registry.candidates(10'001) == 1);
	SECTION("until its entry is removed again")
	{
		registry.servers.remove(registry.d1.id, at_ms(10'200));
		REQUIRE(registry.servers.expire(at_ms(12'400)).size() == 1);
		REQUIRE(registry.candidates(12'400) == 1);
	}
	SECTION("until its entry is written again")
	{
		registry.servers.put(registry.d1);
		REQUIRE(registry.candidates(10'300) == 2);
	}
	SECTION("until the entry has stayed")
	{
		REQUIRE(registry.servers.expire(at_ms(16'000)).empty());
		REQUIRE(registry.candidates(16'000) == 2);
	}
	SECTION("after a second return, too")
	{
		REQUIRE(registry.restore({registry.d1, registry.d2}).doubted == 1);
		REQUIRE(registry.candidates(10'001) == 1);
	}
}

// Guards against a leaving that is forgotten with the server's record (DRAIN).
TEST_CASE("a server that announced its leaving is known to leave when its entry comes back", "[store_copy]")
{
	copied_registry registry;
	registry.servers.put(registry.d1);
	registry.servers.find(registry.d1.id)->has_announced_leaving = true;
	registry.servers.remove(registry.d1.id, at_ms(1'000));
	REQUIRE(registry.servers.expire(at_ms(2'300)).size() == 1);
	SECTION("in a copy of the registry")
	{
		std::ignore = registry.restore({registry.d1});
	}
	SECTION("in a change")
	{
		registry.servers.put(registry.d1);
	}
	REQUIRE(registry.candidates(10'001) == 0);
	SECTION("but not when it has started again")
	{
		registry.d1.started = incarnation(2);
		registry.servers.put(registry.d1);
		REQUIRE(registry.candidates(10'001) == 1);
	}
}

TEST_CASE(
	"a server that a copy of the registry lacks keeps being used while it may write its entry again", "[store_copy]")
{
	copied_registry registry;
	registry.servers.put(registry.d1);
	registry.servers.put(registry.d2);
	auto const found = registry.restore({registry.d1});
	REQUIRE(found.awaited == 1);
	REQUIRE(found.confirmed == 1);
	REQUIRE(registry.candidates(12'200) == 2);
	SECTION("a list in this time changes nothing")
	{
		registry.servers.replace({registry.d1}, at_ms(10'500));
		REQUIRE(registry.candidates(10'501) == 2);
	}
	SECTION("it stays when it is written again")
	{
		registry.servers.put(registry.d2);
		REQUIRE(registry.servers.expire(at_ms(20'000)).empty());
		REQUIRE(registry.candidates(20'000) == 2);
	}
	SECTION("it is gone when it is not")
	{
		REQUIRE(registry.servers.expire(at_ms(12'300)).size() == 1);
		REQUIRE(registry.candidates(12'300) == 1);
	}
}

TEST_CASE("a server last seen long before the registry's return is no more than a last resort", "[store_copy]")
{
	copied_registry registry;
	registry.servers.put(registry.d1);
	registry.servers.put(registry.d2);
	REQUIRE(registry.restore({registry.d1}, seconds(30)).removed == 1);
	REQUIRE(registry.candidates(10'001) == 1);
}

TEST_CASE("a copy's entry of an earlier start does not replace a server that has started again", "[store_copy]")
{
	copied_registry registry;
	auto restarted = registry.d1;
	restarted.started = incarnation(2);
	restarted.version = software_version("v2");
	registry.servers.put(restarted);
	REQUIRE(registry.restore({registry.d1}).awaited == 1);
	REQUIRE(registry.servers.find(restarted.id)->entry.version == software_version("v2"));
	registry.servers.put(restarted);
	REQUIRE(registry.servers.expire(at_ms(20'000)).empty());
	REQUIRE(registry.candidates(20'000) == 1);
}

TEST_CASE("servers that are gone are remembered for a minute", "[store_copy]")
{
	copied_registry registry;
	registry.servers.put(registry.d1);
	registry.servers.remove(registry.d1.id, at_ms(0));
	REQUIRE(registry.servers.expire(at_ms(1'300)).size() == 1);
	std::ignore = registry.servers.expire(at_ms(61'400));
	REQUIRE(registry.restore({registry.d1}).added == 1);
}

TEST_CASE("a server's start is doubted at a sign of its end only while no entry would tell", "[directory]")
{
	routing::directory servers;
	auto const entry = make_server("d1", server_role::decode);
	servers.put(entry);
	auto const& known = *servers.find(entry.id);
	servers.note_end_sign(entry.id, at_ms(0));
	REQUIRE_FALSE(known.start_doubted_at);
	servers.note_registry_lost(at_ms(100));
	REQUIRE(known.start_doubted_at == at_ms(100));
	servers.note_end_sign(entry.id, at_ms(200));
	REQUIRE(known.start_doubted_at == at_ms(200));
	servers.find(entry.id)->start_doubted_at.reset();
	// Entries may take this long to be written again.
	servers.note_registry_return(at_ms(1000));
	servers.note_end_sign(entry.id, at_ms(3200));
	REQUIRE(known.start_doubted_at == at_ms(3200));
	servers.find(entry.id)->start_doubted_at.reset();
	servers.note_end_sign(entry.id, at_ms(3400));
	REQUIRE_FALSE(known.start_doubted_at);
}

TEST_CASE("a sign of a server's end is kept until the server has stated its start later", "[directory]")
{
	routing::directory servers;
	auto entry = make_server("d1", server_role::decode);
	servers.put(entry);
	auto& known = *servers.find(entry.id);
	servers.note_end_sign(entry.id, at_ms(10));
	REQUIRE(known.end_sign_at == at_ms(10));
	servers.note_registry_lost(at_ms(20));
	// Asked before the last sign.
	routing::directory::note_start_confirmed(known, at_ms(15));
	REQUIRE_FALSE(known.end_sign_at);
	REQUIRE(known.start_doubted_at == at_ms(20));
	servers.note_end_sign(entry.id, at_ms(30));
	routing::directory::note_start_confirmed(known, at_ms(25));
	REQUIRE(known.end_sign_at == at_ms(30));
	routing::directory::note_start_confirmed(known, at_ms(30));
	REQUIRE_FALSE(known.end_sign_at);
	REQUIRE_FALSE(known.start_doubted_at);
	SECTION("an entry of another start settles it")
	{
		servers.note_end_sign(entry.id, at_ms(40));
		entry.started = incarnation(entry.started.count() + 1);
		servers.put(entry);
		REQUIRE_FALSE(servers.find(entry.id)->end_sign_at);
	}
	SECTION("a server that states no start can't be asked")
	{
		entry.started = incarnation();
		servers.put(entry);
		servers.note_end_sign(entry.id, at_ms(40));
		REQUIRE_FALSE(servers.find(entry.id)->end_sign_at);
	}
}

TEST_CASE("the version of a server's process is known once its entry was read, also after its end", "[directory]")
{
	routing::directory servers;
	auto entry = make_server("d1", server_role::decode);
	entry.started = incarnation(1);
	entry.version = software_version("v1");
	servers.put(entry);
	routing::server_process const first{entry.id, incarnation(1)};
	routing::server_process const second{entry.id, incarnation(2)};
	REQUIRE(servers.version_of(first) == entry.version);
	REQUIRE_FALSE(servers.version_of(second));
	servers.find(entry.id)->note_stated_start(incarnation(2), at_ms(1), at_ms(2));
	REQUIRE(servers.find(entry.id)->newest_process() == second);
	REQUIRE(servers.has_unlisted_process(entry.service));
	entry.started = incarnation(2);
	entry.version = software_version("v1.1");
	servers.put(entry);
	REQUIRE_FALSE(servers.has_unlisted_process(entry.service));
	REQUIRE(servers.version_of(first) == software_version("v1"));
	REQUIRE(servers.version_of(second) == software_version("v1.1"));
	// A server whose entry lapses and that comes back as a third process.
	servers.remove(entry.id, at_ms(100));
	std::ignore = servers.expire(at_ms(5'000));
	REQUIRE(servers.version_of(second) == software_version("v1.1"));
	entry.started = incarnation(3);
	servers.put(entry);
	REQUIRE(servers.version_of(second) == software_version("v1.1"));
	std::ignore = servers.expire(at_ms(6'000));
	std::ignore = servers.expire(at_ms(70'000));
	REQUIRE_FALSE(servers.version_of(second));
	REQUIRE(servers.version_of({entry.id, incarnation(3)}) == software_version("v1.1"));
}

TEST_CASE("a start that a server has stated stays newer than the entry of a process before it", "[directory]")
{
	routing::directory servers;
	auto entry = make_server("d1", server_role::decode);
	entry.started = incarnation(1);
	servers.put(entry);
	servers.find(entry.id)->note_stated_start(incarnation(3), at_ms(1), at_ms(2));
	entry.started = incarnation(2);
	servers.put(entry);
	REQUIRE(servers.find(entry.id)->newest_process().started == incarnation(3));
	// An answer that was overtaken, and one that states no start.
	servers.find(entry.id)->note_stated_start(incarnation(1), at_ms(3), at_ms(4));
	servers.find(entry.id)->note_stated_start(incarnation(), at_ms(3), at_ms(4));
	REQUIRE(servers.find(entry.id)->newest_process().started == incarnation(3));
	REQUIRE(servers.services_with_unlisted_process() == std::set{entry.service});
}

TEST_CASE("an entry of an earlier start does not hide that a later process was known", "[directory]")
{
	routing::directory servers;
	auto entry = make_server("d1", server_role::decode);
	entry.started = incarnation(2);
	servers.put(entry);
	entry.started = incarnation(1);
	servers.put(entry);
	REQUIRE(servers.find(entry.id)->newest_process().started == incarnation(2));
}

// Calls during the pause break BUDGET: it is the same server after a new start.
TEST_CASE("a pause that a server asked for outlasts the entry of its next process", "[directory]")
{
	routing::directory servers;
	auto entry = make_server("d1", server_role::decode);
	servers.put(entry);
	servers.find(entry.id)->load.note_pause(at_ms(5'000));
	entry.started = incarnation(2);
	SECTION("the entry is replaced")
	{
		servers.put(entry);
	}
	SECTION("the entry lapses first")
	{
		servers.remove(entry.id, at_ms(1'000));
		REQUIRE(servers.expire(at_ms(2'500)).size() == 1);
		servers.put(entry);
	}
	SECTION("the server moves to another address")
	{
		entry.address = "10.0.0.2:80";
		servers.put(entry);
	}
	auto& load = servers.find(entry.id)->load;
	REQUIRE(load.paused_for(at_ms(3'000)) == milliseconds(2'000));
	REQUIRE(load.paused_for(at_ms(5'000)) == duration{});
	// As after each pause, the first call shows whether more may follow.
	auto const first = load.begin_call(token_count(), token_count(), at_ms(5'000));
	REQUIRE(load.is_paused(at_ms(5'001)));
	load.end_call(first);
	REQUIRE_FALSE(load.is_paused(at_ms(5'002)));
}

// Guards against a later process that is forgotten when the answer of the one before it arrives last (ORDER).
TEST_CASE("an answer that was overtaken does not hide that a later process was heard of", "[directory]")
{
	routing::directory servers;
	auto entry = make_server("d1", server_role::decode);
	entry.started = incarnation(1);
	servers.put(entry);
	auto& known = *servers.find(entry.id);
	known.note_stated_start(incarnation(2), at_ms(10), at_ms(20));
	// Asked before the later process was heard of.
	known.note_stated_start(incarnation(1), at_ms(5), at_ms(30));
	REQUIRE(known.newest_process().started == incarnation(2));
	// Asked since: the later start was wrong.
	known.note_stated_start(incarnation(1), at_ms(25), at_ms(30));
	REQUIRE(known.newest_process().started == incarnation(1));
}

namespace
{
	// Two entries of one address: that of a server that has ended and that of the one that has followed it under
	// another id.
	struct shared_address
	{
		[[nodiscard]] std::vector<std::string> candidates(service_id const& service = service_id("summaries")) const
		{
			std::vector<std::string> ids;
			std::ranges::transform(this->servers.candidates(service, server_role::decode, at_ms(1)),
				std::back_inserter(ids), [](routing::server_pointer const& each) { return each->entry.id.str(); });
			return ids;
		}

		static routing::registered_server make(std::string id, std::uint64_t started)
		{
			auto entry = make_server(std::move(id), server_role::decode);
			entry.started = incarnation(started);
			return entry;
		}

		routing::directory servers;
		routing::registered_server ended = make("ended", 10);
		routing::registered_server present = make("present", 20);
	};

	using names = std::vector<std::string>;
}

// Guards against streams that are refused since their tries go to entries of servers that have ended (LOST).
TEST_CASE("an entry counts no more once another one names its address and a later start", "[directory]")
{
	shared_address system;
	auto& servers = system.servers;
	auto const is_present_read_first = GENERATE(false, true);
	servers.put(is_present_read_first ? system.present : system.ended);
	servers.put(is_present_read_first ? system.ended : system.present);
	REQUIRE(system.candidates() == names{"present"});
	REQUIRE(servers.pools(service_id("summaries"), at_ms(1)).decode == 1);
	SECTION("pings of the present one change nothing")
	{
		servers.put(system.present);
		REQUIRE(system.candidates() == names{"present"});
	}
	SECTION("an entry that is written again unchanged does not count either")
	{
		servers.put(system.ended);
		REQUIRE(system.candidates() == names{"present"});
	}
	SECTION("a new start of the server counts")
	{
		system.ended.started = incarnation(30);
		servers.put(system.ended);
		REQUIRE(system.candidates() == names{"ended"});
	}
	SECTION("another address counts")
	{
		system.ended.address = "10.0.0.2:80";
		servers.put(system.ended);
		REQUIRE(system.candidates() == names{"ended", "present"});
	}
	SECTION("a third server follows both, also when the second one is gone")
	{
		servers.put(shared_address::make("third", 30));
		REQUIRE(system.candidates() == names{"third"});
		servers.remove(system.present.id, at_ms(2));
		REQUIRE(servers.expire(at_ms(5'000)).size() == 1);
		REQUIRE(system.candidates() == names{"third"});
	}
	SECTION("a present one that is leaving has not given the address back")
	{
		system.present.leaving = true;
		servers.put(system.present);
		REQUIRE(system.candidates().empty());
	}
	SECTION("an entry that comes back as it was does not count")
	{
		servers.remove(system.ended.id, at_ms(2));
		REQUIRE(servers.expire(at_ms(5'000)).size() == 1);
		servers.put(system.ended);
		REQUIRE(system.candidates() == names{"present"});
	}
}

TEST_CASE("an address that a server of another service has now refutes the entry of before", "[directory]")
{
	shared_address system;
	system.servers.put(system.ended);
	system.present.service = service_id("drafts");
	system.servers.put(system.present);
	REQUIRE(system.candidates().empty());
	REQUIRE(system.candidates(service_id("drafts")) == names{"present"});
}

TEST_CASE("entries of one address both count while their order is not known", "[directory]")
{
	shared_address system;
	auto const started = GENERATE(0, 10);
	system.present.started = incarnation(static_cast<std::uint64_t>(started));
	system.servers.put(system.ended);
	system.servers.put(system.present);
	REQUIRE(system.candidates() == names{"ended", "present"});
}

// A host whose clock was set back writes an earlier start; the address itself tells who is there.
TEST_CASE("an entry that was refuted at its address refutes no other", "[directory]")
{
	shared_address system;
	system.servers.put(system.ended);
	system.servers.put(system.present);
	system.servers.find(system.present.id)->is_replaced = true;
	REQUIRE(system.candidates() == names{"ended"});
	system.servers.remove(system.present.id, at_ms(2));
	REQUIRE(system.servers.expire(at_ms(5'000)).size() == 1);
	REQUIRE(system.candidates() == names{"ended"});
}
