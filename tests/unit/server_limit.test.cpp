#include <catch2/catch.hpp>

#include <godwittrestle/routing.hpp>

using namespace godwittrestle;
using routing::request_rate;

namespace
{
	time_point at_ms(std::int64_t count)
	{
		return time_point(seconds(1000)) + milliseconds(count);
	}

	routing::limit_report report(std::optional<double> rate, std::int64_t heard_at_ms, std::string daemon = "d1")
	{
		routing::limit_report made;
		made.rate = rate ? std::optional<request_rate>(request_rate(*rate)) : std::nullopt;
		made.heard_at = at_ms(heard_at_ms);
		made.heard_by = instance_id(std::move(daemon));
		return made;
	}
}

TEST_CASE("the newest statement of a server's limit counts, whichever daemon heard it", "[server_limit]")
{
	routing::server_limit limit;
	REQUIRE_FALSE(limit.rate());
	REQUIRE(limit.note(report(5, 100), at_ms(100)));
	REQUIRE_FALSE(limit.note(report(5, 200), at_ms(200)));
	// A report that another daemon heard earlier arrives late.
	REQUIRE_FALSE(limit.note(report(50, 150, "d2"), at_ms(300)));
	REQUIRE(limit.rate() == request_rate(5));
	REQUIRE(limit.note(report(0.2, 250, "d2"), at_ms(300)));
	REQUIRE(limit.rate() == request_rate(0.2));
	REQUIRE(limit.report().heard_by == instance_id("d2"));
	REQUIRE(limit.unchanged_for(at_ms(400)) == milliseconds(100));
}

TEST_CASE(
	"a limit ends with an answer without one, unless the request was sent before the limit was heard", "[server_limit]")
{
	routing::server_limit limit;
	// Without a limit, answers without one change nothing.
	REQUIRE_FALSE(limit.note_absence(at_ms(0), report(std::nullopt, 50), at_ms(50)));
	REQUIRE_FALSE(limit.unchanged_for(at_ms(50)));
	REQUIRE(limit.note(report(5, 100), at_ms(100)));
	// The answers on two connections overtook each other.
	REQUIRE_FALSE(limit.note_absence(at_ms(90), report(std::nullopt, 110), at_ms(110)));
	REQUIRE(limit.rate() == request_rate(5));
	REQUIRE(limit.note_absence(at_ms(120), report(std::nullopt, 130), at_ms(130)));
	REQUIRE_FALSE(limit.rate());
	// A report of another daemon from before the end does not bring the limit back; a later one does.
	REQUIRE_FALSE(limit.note(report(5, 125, "d2"), at_ms(140)));
	REQUIRE(limit.note(report(7, 150, "d2"), at_ms(160)));
	REQUIRE(limit.rate() == request_rate(7));
}

TEST_CASE("after a refusal the server gets nothing until the named time, or until its limit changes", "[server_limit]")
{
	routing::server_limit limit;
	REQUIRE(limit.note(report(0.2, 100), at_ms(100)));
	limit.note_refusal({routing::permit_outcome::limit_reached, seconds(2)}, at_ms(200));
	REQUIRE(limit.refused_for(at_ms(700)) == milliseconds(1500));
	REQUIRE_FALSE(limit.note(report(0.2, 800), at_ms(800)));
	REQUIRE(limit.refused_for(at_ms(900)) == milliseconds(1300));
	REQUIRE(limit.note(report(50, 1000), at_ms(1000)));
	REQUIRE(limit.refused_for(at_ms(1000)) == duration{});
	limit.note_refusal({routing::permit_outcome::limit_reached, seconds(2)}, at_ms(1100));
	REQUIRE(limit.note_absence(at_ms(1200), report(std::nullopt, 1300), at_ms(1300)));
	REQUIRE(limit.refused_for(at_ms(1300)) == duration{});
}

TEST_CASE("an unreadable statement leaves the limit as it is and is reported once", "[server_limit]")
{
	routing::server_limit limit;
	REQUIRE(limit.note(report(5, 100), at_ms(100)));
	REQUIRE(limit.note_fault("not a number"));
	REQUIRE_FALSE(limit.note_fault("not a number"));
	REQUIRE(limit.rate() == request_rate(5));
	REQUIRE(limit.note_fault("another fault"));
}
