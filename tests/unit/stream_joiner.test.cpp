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
