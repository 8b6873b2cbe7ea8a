#include <catch2/catch.hpp>

#include <godwittrestle/routing.hpp>

using namespace godwittrestle;

namespace
{
	routing::route make_route(std::string host, std::string prefix)
	{
		routing::route made;
		made.name = host + prefix;
		made.host = std::move(host);
		made.prefix = std::move(prefix);
		made.targets = {{service_id("a"), 90}, {service_id("b"), 10}};
		return made;
	}
}

TEST_CASE("find returns the route of the host with the longest matching prefix", "[routing]")
{
	routing::configuration config;
	config.version = platform_version(7);
	config.routes = {
		make_route("one.example", "/a/"), make_route("one.example", "/a/b/"), make_route("two.example", "/a/b/c/")};
	routing::route_table const table(config);

	REQUIRE(table.find("one.example", "/a/x")->prefix == "/a/");
	REQUIRE(table.find("one.example", "/a/b/c/d")->prefix == "/a/b/");
	REQUIRE(table.find("ONE.example", "/a/x")->prefix == "/a/");
	REQUIRE(table.find("one.example", "/a") == nullptr);
	REQUIRE(table.find("three.example", "/a/x") == nullptr);
	REQUIRE(table.version() == platform_version(7));
}

TEST_CASE("choose_service follows the weights", "[routing]")
{
	auto const split = make_route("one.example", "/a/");
	REQUIRE(routing::choose_service(split, 0.0) == service_id("a"));
	REQUIRE(routing::choose_service(split, 0.89) == service_id("a"));
	REQUIRE(routing::choose_service(split, 0.91) == service_id("b"));
	REQUIRE(routing::choose_service(split, 0.999) == service_id("b"));
}
