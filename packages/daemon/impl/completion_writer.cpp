#include "completion_writer.hpp"

#include <utility>

#include <boost/json.hpp>

#include <godwittrestle/http/sse.hpp>

namespace godwittrestle::daemon
{
	namespace json = boost::json;

	http::response make_json_response(unsigned status, json::object const& body)
	{
		return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
	}

	http::response to_response(decide::answer_failure const& failed)
	{
		auto answer = http::make_error(decide::http_status(failed.kind), decide::to_string(failed.kind), failed.message,
			failed.remedy, failed.retry_after);
		if (failed.kind == decide::refusal_kind::not_run || failed.kind == decide::refusal_kind::outcome_unknown)
		{
			auto const is_unknown = failed.kind == decide::refusal_kind::outcome_unknown;
			answer.headers.push_back({"X-Outcome", is_unknown ? "unknown" : "not_run"});
			answer.headers.push_back({"X-Passed-On", failed.passed_on ? "yes" : "no"});
		}
		answer.headers.push_back({"X-Request-Id", failed.request.str()});
		return answer;
	}

	completion_writer::completion_writer(
		http::exchange& caller_exchange, request_id id, std::string service, bool streamed)
		: http_exchange(&caller_exchange)
		, request(std::move(id))
		, model(std::move(service))
		, is_streamed(streamed)
	{
	}

	asio::awaitable<bool> completion_writer::write(decide::action part)
	{
		if (auto const* const token = std::get_if<decide::answer_token>(&part))
		{
			return this->write_token(*token);
		}
		this->done = true;
		if (auto const* const end = std::get_if<decide::answer_end>(&part))
		{
			return this->write_end(*end);
		}
		return this->write_failure(std::get<decide::answer_failure>(part));
	}

	asio::awaitable<bool> completion_writer::write_token(decide::answer_token token)
	{
		if (!this->is_streamed)
		{
			this->collected_text += token.text;
			co_return true;
		}
		if (!this->is_stream_started)
		{
			this->is_stream_started = true;
			http::response head;
			head.headers = {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"},
				{"X-Request-Id", this->request.str()}};
			if (!co_await this->http_exchange->begin_stream(std::move(head)))
			{
				co_return false;
			}
		}
		http::sse_event const event{
			std::to_string(token.index), "", json::serialize(this->make_chunk(token.text, false))};
		co_return co_await this->http_exchange->write(http::to_text(event));
	}

	asio::awaitable<bool> completion_writer::write_end(decide::answer_end end)
	{
		auto last = this->make_chunk(this->collected_text, true);
		last["usage"] = json::object{{"completion_tokens", end.total}};
		if (!this->is_stream_started)
		{
			auto answer = make_json_response(200, last);
			answer.headers.push_back({"X-Request-Id", this->request.str()});
			co_return co_await this->http_exchange->reply(std::move(answer));
		}
		http::sse_event const usage{"", "", json::serialize(last)};
		http::sse_event const end_marker{"", "", "[DONE]"};
		auto const is_written = co_await this->http_exchange->write(http::to_text(usage) + http::to_text(end_marker));
		co_return is_written&& co_await this->http_exchange->end_stream();
	}

	asio::awaitable<bool> completion_writer::write_failure(decide::answer_failure failed)
	{
		auto answer = to_response(failed);
		if (!this->is_stream_started)
		{
			co_return co_await this->http_exchange->reply(std::move(answer));
		}
		http::sse_event const event{"", "error", answer.body};
		auto const is_written = co_await this->http_exchange->write(http::to_text(event));
		co_return is_written&& co_await this->http_exchange->end_stream();
	}

	json::object completion_writer::make_chunk(std::string_view text, bool is_last) const
	{
		json::object choice{{"index", 0}, {"text", text}, {"finish_reason", nullptr}};
		if (is_last)
		{
			choice["finish_reason"] = "stop";
		}
		return {{"id", this->request.str()}, {"object", "text_completion"}, {"model", this->model},
			{"choices", json::array{std::move(choice)}}};
	}
}
