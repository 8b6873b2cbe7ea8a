#include "plain_protocol.hpp"

#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>

namespace godwittrestle::testing
{
	gateway::call_protocol make_plain_protocol()
	{
		gateway::call_protocol protocol;
		protocol.read_call = [](http::request const& message)
		{
			gateway::request_metadata call;
			call.attempt = request_id(message.find_header("Attempt"));
			call.time_left = milliseconds(parse_number(message.find_header("Time-Left-Ms")).value());
			return call;
		};
		protocol.write_call = [](http::request const& from, gateway::send_options const& terms)
		{
			http::request message{from.method, from.target, http::end_to_end_headers(from.headers), from.body};
			message.headers.push_back({"For-Server", terms.server.str()});
			if (terms.last_event)
			{
				message.headers.push_back({"Last-Event-Id", *terms.last_event});
			}
			if (terms.part == gateway::call_part::prefill)
			{
				message.headers.push_back({"Only-Prefill", "1"});
			}
			if (terms.source)
			{
				message.headers.push_back({"Take", terms.source->handle});
			}
			if (terms.fetch_from)
			{
				message.headers.push_back({"Fetch-From", *terms.fetch_from});
			}
			return message;
		};
		protocol.read_answer = [](http::response const& answer)
		{
			constexpr unsigned misdirected = 421;
			gateway::answer_metadata facts;
			facts.is_not_run = !answer.find_header("Not-Run").empty();
			facts.is_misdirected = answer.status == misdirected;
			facts.is_leaving = !answer.find_header("Leaving").empty();
			if (auto const pause = parse_number(answer.find_header("Pause-Ms")))
			{
				facts.requested_pause = milliseconds(*pause);
			}
			facts.server = server_id(answer.find_header("Answered-By"));
			facts.attempt = request_id(answer.find_header("Attempt"));
			return facts;
		};
		protocol.read_handle = [](std::string_view body)
		{
			return std::optional<std::string>(body);
		};
		protocol.reserve = [](server_id const&, token_count tokens, duration)
		{
			return http::request{"POST", fmt::format("/reserve/{}", tokens.count()), {}, ""};
		};
		protocol.read_reservation = [](std::string_view body)
		{
			return std::optional<std::string>(body);
		};
		protocol.cancel_reservation = [](server_id const&, std::string const& reservation)
		{
			return http::request{"DELETE", "/reserved/" + reservation, {}, ""};
		};
		protocol.release = [](server_id const&, std::string const& handle)
		{
			return http::request{"DELETE", "/kept/" + handle, {}, ""};
		};
		protocol.retry_after = [](duration wait)
		{
			return http::header{"Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(wait).count())};
		};
		return protocol;
	}

	routing::route make_route(routing::call_kind kind, std::uint32_t max_servers, bool resumable)
	{
		routing::route made;
		made.name = "r";
		made.host = "a.example";
		made.prefix = "/x/";
		made.kind = kind;
		made.timeout = milliseconds(1500);
		made.objective = milliseconds(100);
		made.longest_gap = milliseconds(100);
		made.caller_patience = seconds(2);
		made.max_servers = max_servers;
		made.resumable = resumable;
		made.targets = {{service_id("s"), 1}};
		return made;
	}
}
