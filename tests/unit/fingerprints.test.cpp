#include <catch2/catch.hpp>

#include <set>

#include <godwittrestle/gateway/fingerprints.hpp>

using namespace godwittrestle;

namespace
{
	http::request make_message()
	{
		http::request message{"POST", "/a/b?c=d", {}, "body"};
		message.headers = {{"Host", "a.example"}, {"Authorization", "Bearer t1"}, {"Attempt", "1"}};
		return message;
	}

	gateway::request_metadata make_call()
	{
		gateway::request_metadata call;
		call.attempt = request_id("1");
		call.model = "m";
		call.prompt_parts = {"p1", "p2", "own"};
		return call;
	}
}

TEST_CASE("a repeat of a request under another id has the same fingerprints", "[fingerprints]")
{
	auto const first = gateway::identify(make_message(), make_call());
	auto message = make_message();
	message.headers.back().value = "2";
	auto call = make_call();
	call.attempt = request_id("2");
	call.time_left = seconds(3);
	auto const second = gateway::identify(message, call);
	REQUIRE(first.request == second.request);
	REQUIRE(first.shared_parts == second.shared_parts);
}

TEST_CASE("requests that differ in path, caller, body, model or prompt have different fingerprints", "[fingerprints]")
{
	std::set<fingerprint> seen{gateway::identify(make_message(), make_call()).request};
	auto const is_new = [&](http::request const& message, gateway::request_metadata const& call)
	{
		return seen.insert(gateway::identify(message, call).request).second;
	};
	auto other_path = make_message();
	other_path.target = "/a/b?c=e";
	REQUIRE(is_new(other_path, make_call()));
	auto other_caller = make_message();
	other_caller.headers[1].value = "Bearer t2";
	REQUIRE(is_new(other_caller, make_call()));
	auto other_body = make_message();
	other_body.body = "bodz";
	REQUIRE(is_new(other_body, make_call()));
	auto other_model = make_call();
	other_model.model = "n";
	REQUIRE(is_new(make_message(), other_model));
	auto other_prompt = make_call();
	other_prompt.prompt_parts.back() = "other";
	REQUIRE(is_new(make_message(), other_prompt));
}

TEST_CASE("the last part of a prompt is not shared, and a part for another model is another part", "[fingerprints]")
{
	auto const identity = gateway::identify(make_message(), make_call());
	REQUIRE(identity.shared_parts.size() == 2);
	auto call = make_call();
	call.model = "n";
	REQUIRE(gateway::identify(make_message(), call).shared_parts.front() != identity.shared_parts.front());
}
