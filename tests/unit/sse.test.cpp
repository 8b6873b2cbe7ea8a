#include <catch2/catch.hpp>

#include <godwittrestle/http/message.hpp>
#include <godwittrestle/http/sse.hpp>

#include "support.hpp"

using namespace godwittrestle;

TEST_CASE("the parser returns the same events wherever the stream is split", "[sse]")
{
	std::string const text = http::to_text({"1", "", "a"}) + http::to_text({"2", "end", "b"});
	for (std::size_t cut = 0; cut <= text.size(); ++cut)
	{
		http::sse_parser parser;
		auto events = parser.feed(text.substr(0, cut));
		auto const rest = parser.feed(text.substr(cut));
		events.insert(events.end(), rest.begin(), rest.end());
		REQUIRE(events.size() == 2);
		REQUIRE(events[0].id == "1");
		REQUIRE(events[1].name == "end");
		REQUIRE(events[1].data == "b");
		REQUIRE(parser.pending() == 0);
	}
}

TEST_CASE("an endpoint is an IP address and a port", "[http]")
{
	for (auto const* const text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "host:80", ":80"})
	{
		CAPTURE(text);
		auto const error = testing::failure_of([&] { return http::parse_endpoint(text, "--x"); });
		REQUIRE(error.path == "--x");
	}
	REQUIRE(http::parse_endpoint("127.0.0.1:80", "").value().port == 80);
}

TEST_CASE("query parameters and headers are found by name", "[http]")
{
	http::request const message{"GET", "/a?x=1&y=&z=3", {{"Content-Type", "text"}}, ""};
	REQUIRE(message.path() == "/a");
	REQUIRE(message.query("z") == "3");
	REQUIRE(message.query("y").empty());
	REQUIRE(message.query("w").empty());
	REQUIRE(message.find_header("content-type") == "text");
}
