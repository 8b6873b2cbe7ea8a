#include <catch2/catch.hpp>

#include <godwittrestle/gateway/registry_cursor.hpp>

using namespace godwittrestle;
using gateway::answer_use;
using gateway::registry_cursor;
using gateway::registry_position;

namespace
{
	constexpr registry_position at(std::uint64_t era, std::uint64_t revision)
	{
		return {gateway::registry_era(era), gateway::registry_revision(revision)};
	}

	// Returns a cursor that has read a list of one page.
	registry_cursor read_up_to(registry_position position)
	{
		registry_cursor cursor;
		cursor.begin_list();
		REQUIRE(cursor.note_page(position) == answer_use::apply);
		REQUIRE_FALSE(cursor.end_list());
		return cursor;
	}
}

TEST_CASE("a position of a later era is newer, whatever its revision", "[store_copy]")
{
	STATIC_REQUIRE(at(2, 16) > at(1, 19));
	STATIC_REQUIRE(at(2, 19) != at(1, 19));
	STATIC_REQUIRE(at(2, 17) > at(2, 16));
}

TEST_CASE("changes of the same era move the position on", "[store_copy]")
{
	auto cursor = read_up_to(at(1, 19));
	REQUIRE(cursor.note_changes(at(1, 19)) == answer_use::apply);
	REQUIRE(cursor.note_changes(at(1, 25)) == answer_use::apply);
	REQUIRE(cursor.position() == at(1, 25));
}

TEST_CASE("a new era needs a list, whether its revision is lower, the same or higher", "[store_copy]")
{
	auto const revision = GENERATE(10, 19, 60);
	auto cursor = read_up_to(at(1, 19));
	REQUIRE(cursor.note_changes(at(2, revision)) == answer_use::list_again);
	// Until the list is read, the position stays.
	REQUIRE(cursor.position() == at(1, 19));
	cursor.begin_list();
	REQUIRE(cursor.note_page(at(2, revision)) == answer_use::apply);
	auto const restore = cursor.end_list();
	REQUIRE(restore.value().before == at(1, 19));
	REQUIRE(restore.value().after == at(2, revision));
	// A further list of the same era is an ordinary one.
	cursor.begin_list();
	REQUIRE(cursor.note_page(at(2, revision)) == answer_use::apply);
	REQUIRE_FALSE(cursor.end_list());
}

TEST_CASE("a list whose pages come from two eras is read again", "[store_copy]")
{
	auto cursor = read_up_to(at(1, 19));
	cursor.begin_list();
	REQUIRE(cursor.note_page(at(1, 20)) == answer_use::apply);
	auto const second = GENERATE(at(2, 21), at(2, 18), at(1, 18));
	REQUIRE(cursor.note_page(second) == answer_use::list_again);
	cursor.begin_list();
	REQUIRE(cursor.note_page(second) == answer_use::apply);
	REQUIRE(cursor.end_list());
}

TEST_CASE("revisions that go back in an era, or without one, show a return from a copy", "[store_copy]")
{
	auto const era = GENERATE(0, 3);
	auto cursor = read_up_to(at(era, 19));
	REQUIRE(cursor.note_changes(at(era, 12)) == answer_use::list_again);
	cursor.begin_list();
	REQUIRE(cursor.note_page(at(era, 12)) == answer_use::apply);
	REQUIRE(cursor.end_list());
}

TEST_CASE("an answer of an older era is ignored, but not for good", "[store_copy]")
{
	auto cursor = read_up_to(at(5, 19));
	constexpr int tolerated = 8;
	for (int count = 0; count < tolerated; ++count)
	{
		REQUIRE(cursor.note_changes(at(4, 30)) == answer_use::ignore);
	}
	REQUIRE(cursor.position() == at(5, 19));
	SECTION("an answer of the present era ends the count")
	{
		REQUIRE(cursor.note_changes(at(5, 20)) == answer_use::apply);
		REQUIRE(cursor.note_changes(at(4, 30)) == answer_use::ignore);
	}
	SECTION("a registry that was set up anew is followed in the end")
	{
		REQUIRE(cursor.note_changes(at(4, 30)) == answer_use::list_again);
		cursor.begin_list();
		REQUIRE(cursor.note_page(at(4, 31)) == answer_use::apply);
		REQUIRE(cursor.end_list());
		REQUIRE(cursor.note_changes(at(4, 32)) == answer_use::apply);
	}
}

TEST_CASE("a last page of an older era is ignored and the list does not count", "[store_copy]")
{
	auto cursor = read_up_to(at(1, 19));
	cursor.begin_list();
	REQUIRE(cursor.note_page(at(2, 15)) == answer_use::apply);
	REQUIRE(cursor.note_page(at(1, 20)) == answer_use::ignore);
	REQUIRE(cursor.position() == at(1, 19));
}
