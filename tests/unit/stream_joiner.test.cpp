#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <catch2/catch.hpp>

#include <godwittrestle/gateway/stream_joiner.hpp>

using godwittrestle::gateway::stream_joiner;

TEST_CASE("only complete events are passed on, wherever the input is split", "[joiner]")
{
	stream_joiner joiner(std::nullopt);
	REQUIRE(joiner.feed("id: 1\nda").empty());
	REQUIRE(joiner.feed("ta: x\n\nid: 2\n") == "id: 1\ndata: x\n\n");
	REQUIRE(joiner.feed("data: y\n\n") == "id: 2\ndata: y\n\n");
	REQUIRE(joiner.last_event() == "2");
	REQUIRE(joiner.finish() == "");
}

TEST_CASE("a stream resumed on another server repeats no event and drops the partial one", "[joiner]")
{
	stream_joiner joiner(std::nullopt);
	REQUIRE(joiner.feed("id: 1\ndata: x\n\nid: 2\nda") == "id: 1\ndata: x\n\n");
	joiner.restart();
	REQUIRE(joiner.last_event() == "1");
	REQUIRE(joiner.feed("id: 1\ndata: x\n\nid: 2\ndata: y\n\n") == "id: 2\ndata: y\n\n");
}

TEST_CASE("a caller that has some events gets only later ones", "[joiner]")
{
	stream_joiner joiner("12");
	REQUIRE(joiner.feed("id: 12\ndata: a\n\nid: 13\ndata: b\n\n") == "id: 13\ndata: b\n\n");
}

TEST_CASE("lines may end with CRLF, and events without id are passed on", "[joiner]")
{
	stream_joiner joiner(std::nullopt);
	REQUIRE(joiner.feed("id: 1\r\ndata: x\r\n\r\n: note\n\n") == "id: 1\r\ndata: x\r\n\r\n: note\n\n");
	REQUIRE(joiner.feed("\r\n").empty());
	REQUIRE(joiner.finish() == "\r\n");
}

TEST_CASE("an overlong event is detected while the buffer stays bounded", "[joiner]")
{
	stream_joiner joiner(std::nullopt);
	std::string const piece(4096, 'x');
	std::size_t fed = 0;
	while (!joiner.is_overlong())
	{
		REQUIRE(joiner.feed(piece).empty());
		fed += piece.size();
		REQUIRE(fed <= 2 * stream_joiner::max_event_bytes);
	}
	joiner.restart();
	REQUIRE_FALSE(joiner.is_overlong());
	REQUIRE(joiner.feed("id: 1\ndata: x\n\n") == "id: 1\ndata: x\n\n");
}

TEST_CASE("the end of an event is found wherever the input is split", "[joiner]")
{
	std::string const text = "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n";
	for (std::size_t size = 1; size <= text.size(); ++size)
	{
		CAPTURE(size);
		stream_joiner joiner(std::nullopt);
		std::string joined;
		for (std::size_t at = 0; at < text.size(); at += size)
		{
			joined += joiner.feed(text.substr(at, size));
		}
		REQUIRE(joined == text);
		REQUIRE(joiner.events() == 3);
	}
}

TEST_CASE("comments are passed on and not counted as events", "[joiner]")
{
	stream_joiner joiner(std::nullopt);
	REQUIRE(joiner.feed(": still here\n\n") == ": still here\n\n");
	REQUIRE(joiner.events() == 0);
}

// Guards against bytes without end that pass for the first event of a stream.
TEST_CASE("only events with data count, and what comes between them is bounded", "[joiner]")
{
	for (std::string const filler :
		{"\n\n", "\n\r\n", ": x\n\n", "id: 1\n\n", "event: x\nretry: 3\n\n", "datax: 1\n\n"})
	{
		CAPTURE(filler);
		stream_joiner joiner(std::nullopt);
		std::size_t received = 0;
		while (!joiner.is_overlong())
		{
			std::ignore = joiner.feed(filler);
			received += filler.size();
			REQUIRE(received <= stream_joiner::max_event_bytes + filler.size());
			REQUIRE(joiner.events() == 0);
		}
		// Another server's stream begins anew.
		joiner.restart();
		REQUIRE_FALSE(joiner.is_overlong());
	}
	for (auto const* const event : {"data: x\n\n", ": note\ndata: x\n\n", "id: 1\r\ndata\r\n\r\n", "data:\n\n"})
	{
		CAPTURE(event);
		stream_joiner joiner(std::nullopt);
		std::ignore = joiner.feed(event);
		REQUIRE(joiner.events() == 1);
	}
}

TEST_CASE("a stream that ends inside an event or a comment has no end", "[joiner]")
{
	for (auto const* const rest : {"data: rest", "id: 2\ndata: rest\n", ": note"})
	{
		CAPTURE(rest);
		stream_joiner joiner(std::nullopt);
		REQUIRE_FALSE(joiner.feed("id: 1\ndata: x\n\n").empty());
		REQUIRE(joiner.feed(rest).empty());
		REQUIRE(joiner.finish() == std::nullopt);
	}
}

namespace
{
	// Returns a joiner that has passed on events with the ids and whose run was then broken off.
	stream_joiner after_break(std::vector<std::string> const& ids)
	{
		stream_joiner joiner(std::nullopt);
		for (auto const& id : ids)
		{
			REQUIRE_FALSE(joiner.feed("id: " + id + "\ndata: x\n\n").empty());
		}
		joiner.restart();
		return joiner;
	}

	// Returns whether a run that begins with an event of the id goes on with the stream.
	bool goes_on(stream_joiner joiner, std::string const& id)
	{
		auto const text = "id: " + id + "\ndata: y\n\n";
		return joiner.feed(text) == text && !joiner.is_out_of_order();
	}

	// Returns whether a run that begins with an event of the id is out of order.
	bool is_refused(stream_joiner joiner, std::string const& id)
	{
		return joiner.feed("id: " + id + "\ndata: y\n\n").empty() && joiner.is_out_of_order();
	}
}

TEST_CASE("a run goes on with the next event when the ids rose by an even step", "[joiner]")
{
	REQUIRE(goes_on(after_break({"1", "2", "3"}), "4"));
	for (auto const* const id : {"1", "2", "3", "5", "8", "18446744073709551615", "x", "-4", ""})
	{
		CAPTURE(id);
		REQUIRE(is_refused(after_break({"1", "2", "3"}), id));
	}
	for (auto const* const id : {"31", "40"})
	{
		CAPTURE(id);
		REQUIRE(goes_on(after_break({"10", "20", "30"}), id));
	}
	for (auto const* const id : {"10", "29", "41", "50"})
	{
		CAPTURE(id);
		REQUIRE(is_refused(after_break({"10", "20", "30"}), id));
	}
}

TEST_CASE("any later id may go on where no step is known, and none that is earlier", "[joiner]")
{
	for (auto const& ids : {std::vector<std::string>{"1"}, {"1", "2"}, {"1", "2", "4"}, {"3", "7", "20"}})
	{
		CAPTURE(ids);
		REQUIRE(goes_on(after_break(ids), "100"));
		REQUIRE(goes_on(after_break(ids), "x"));
		REQUIRE(is_refused(after_break(ids), "0"));
	}
	REQUIRE(goes_on(after_break({"18", "19", "1a"}), "20"));
	REQUIRE(goes_on(stream_joiner("12"), "14"));
	REQUIRE(is_refused(stream_joiner("12"), "1"));
	REQUIRE(goes_on(stream_joiner("a"), "b"));
}

TEST_CASE("the step is known from both runs of a stream", "[joiner]")
{
	auto joiner = after_break({"1", "2"});
	REQUIRE_FALSE(joiner.feed("id: 3\ndata: x\n\nid: 4\ndata: x\n\n").empty());
	joiner.restart();
	REQUIRE(goes_on(joiner, "5"));
	REQUIRE(is_refused(joiner, "6"));
}

TEST_CASE("the last event is dropped when a run repeats it, and other bytes under its id are refused", "[joiner]")
{
	auto joiner = after_break({"1", "2", "3"});
	REQUIRE(is_refused(joiner, "3"));
	REQUIRE(joiner.feed("id: 3\ndata: x\n\nid: 4\ndata: y\n\n") == "id: 4\ndata: y\n\n");
	REQUIRE_FALSE(joiner.is_out_of_order());
	joiner.restart();
	REQUIRE(joiner.feed("id: 4\ndata: y\n\nid: 6\ndata: y\n\n").empty());
	REQUIRE(joiner.is_out_of_order());
}

TEST_CASE("numbers that go back within a run are out of order, and the events before them are passed on", "[joiner]")
{
	stream_joiner joiner(std::nullopt);
	REQUIRE(joiner.feed("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 1\ndata: y\n\nid: 3\ndata: y\n\n") ==
			"id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
	REQUIRE(joiner.is_out_of_order());
	REQUIRE(joiner.last_event() == "2");
	REQUIRE(joiner.feed("id: 3\ndata: y\n\n").empty());
	joiner.restart();
	REQUIRE_FALSE(joiner.is_out_of_order());
	REQUIRE(goes_on(joiner, "3"));
}

TEST_CASE("no run can go on after an event without an id", "[joiner]")
{
	stream_joiner joiner(std::nullopt);
	REQUIRE(joiner.may_go_on());
	std::ignore = joiner.feed(": note\n\n");
	REQUIRE(joiner.may_go_on());
	std::ignore = joiner.feed("data: x\n\n");
	REQUIRE_FALSE(joiner.may_go_on());
	std::ignore = joiner.feed("id: 1\ndata: x\n\n");
	REQUIRE(joiner.may_go_on());
	joiner.restart();
	REQUIRE(joiner.feed("data: y\n\n").empty());
	REQUIRE(joiner.is_out_of_order());
	// Of a stream that began in another answer, it is not known whether its events have ids.
	REQUIRE(stream_joiner("12").feed("data: y\n\n") == "data: y\n\n");
}

TEST_CASE("an answer that can't be the rest of another one may begin anew", "[joiner]")
{
	stream_joiner joiner("12");
	joiner.accept_any_beginning();
	REQUIRE(joiner.feed("id: 1\ndata: x\n\nid: 2\ndata: x\n\n") == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
	REQUIRE_FALSE(joiner.is_out_of_order());
}
