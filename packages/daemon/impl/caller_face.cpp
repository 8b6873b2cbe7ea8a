#include <godwittrestle/daemon/caller_face.hpp>

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "completion_writer.hpp"

namespace godwittrestle::daemon
{
	namespace
	{
		namespace json = boost::json;

		// Parts of an answer that a slow caller may leave untaken before it counts as gone.
		constexpr std::size_t max_untaken_parts = 8192;
		constexpr duration busy_retry_after = milliseconds(250);
		constexpr duration gone_retry = milliseconds(5);
		constexpr duration question_timeout = seconds(2);
		constexpr std::string_view services_prefix = "/services/";
		constexpr std::string_view bearer_prefix = "Bearer ";

		http::response make_text(unsigned status, std::string text)
		{
			return {status, {{"Content-Type", "text/plain"}}, std::move(text)};
		}

		http::response busy()
		{
			return http::make_error(503, "busy", "this daemon is at its limit",
				"come back after the time in Retry-After", busy_retry_after);
		}

		http::response malformed(std::string_view message, std::string_view remedy)
		{
			return http::make_error(400, "invalid_request", message, remedy);
		}

		std::string bearer_token(http::request const& message)
		{
			auto const value = message.find_header("Authorization");
			return value.starts_with(bearer_prefix) ? value.substr(bearer_prefix.size()) : std::string{};
		}

		// What a completion request's body asks for.
		struct completion_body
		{
			std::string model;
			std::string prompt;
			std::uint32_t max_tokens = 0;
			bool is_streamed = false;
		};

		// Returns the body's content, or the answer that refuses it.
		std::variant<completion_body, http::response> parse_completion(std::string const& text)
		{
			boost::system::error_code error;
			auto const root = json::parse(text, error);
			if (error || !root.is_object())
			{
				return malformed("the body is not a JSON object", "send {\"model\": ..., \"prompt\": ...}");
			}
			auto const& object = root.as_object();
			auto const* const model = object.if_contains("model");
			auto const* const prompt = object.if_contains("prompt");
			if (model == nullptr || !model->is_string() || prompt == nullptr || !prompt->is_string())
			{
				return malformed("'model' or 'prompt' is missing or not a text", "send both as texts");
			}
			completion_body body;
			body.model = model->as_string();
			body.prompt = prompt->as_string();
			if (auto const* const most = object.if_contains("max_tokens"))
			{
				if (!most->is_int64() || most->as_int64() < 1 || most->as_int64() > INT32_MAX)
				{
					return malformed("'max_tokens' is not a positive whole number", "leave it out or correct it");
				}
				body.max_tokens = static_cast<std::uint32_t>(most->as_int64());
			}
			if (auto const* const stream = object.if_contains("stream"))
			{
				if (!stream->is_bool())
				{
					return malformed("'stream' is neither true nor false", "leave it out or correct it");
				}
				body.is_streamed = stream->as_bool();
			}
			return body;
		}
	}

	struct caller_face::session
	{
		explicit session(asio::io_context& loop)
			: wakeup(loop, asio::steady_timer::time_point::max())
		{
		}

		// Returns the next part of the answer, or nothing once the caller is gone.
		asio::awaitable<std::optional<decide::action>> next()
		{
			while (this->parts.empty() && !this->is_gone)
			{
				co_await this->wakeup.async_wait(asio::as_tuple(asio::use_awaitable));
				this->wakeup.expires_at(asio::steady_timer::time_point::max());
			}
			if (this->is_gone)
			{
				co_return std::nullopt;
			}
			auto part = std::move(this->parts.front());
			this->parts.pop_front();
			co_return part;
		}

		std::deque<decide::action> parts;
		asio::steady_timer wakeup;
		bool is_gone = false;
	};

	caller_face::caller_face(core_loop& loop, daemon_settings const& given, incarnation since)
		: core(&loop)
		, settings(&given)
		, started(since)
		, inputs(given.ring_capacity, this->thread.context(),
			  [this](decide::action&& action) { this->take(std::move(action)); })
	{
	}

	caller_face::~caller_face()
	{
		this->stop();
	}

	void caller_face::start()
	{
		this->server = std::make_unique<http::server>(this->thread.context().get_executor(),
			this->settings->caller_address, this->settings->caller_limits,
			[this](http::request message, http::exchange& talk) { return this->handle(std::move(message), talk); });
		this->server->start();
		this->thread.start();
	}

	void caller_face::stop()
	{
		this->inputs.close();
		this->thread.stop();
	}

	void caller_face::push(decide::action action)
	{
		this->inputs.push(std::move(action));
	}

	std::size_t caller_face::depth() const
	{
		return this->inputs.size();
	}

	asio::awaitable<void> caller_face::handle(http::request message, http::exchange& talk)
	{
		auto const path = message.path();
		if (path == "/healthz")
		{
			co_await talk.reply(make_text(200, "ok\n"));
		}
		else if (path == "/readyz")
		{
			co_await this->answer_ready(talk);
		}
		else if (path.starts_with(services_prefix))
		{
			co_await this->call_service(std::move(message), talk);
		}
		else if (message.method == "POST" && path == "/v1/completions")
		{
			co_await this->complete(std::move(message), talk);
		}
		else if (message.method == "POST" && path == "/v1/idempotency-keys")
		{
			co_await this->issue_keys(std::move(message), talk);
		}
		else
		{
			co_await talk.reply(http::make_error(404, "not_found", "nothing is served here",
				"use POST /v1/completions, POST /v1/idempotency-keys or /services/{service}/..."));
		}
	}

	asio::awaitable<void> caller_face::answer_ready(http::exchange& talk)
	{
		auto const state = std::make_shared<std::optional<decide::readiness>>();
		auto const wakeup = std::make_shared<asio::steady_timer>(this->thread.context(), question_timeout);
		core_input question(core_question(
			[this, state, wakeup](decide::core const& asked, time_point now)
			{
				auto const found = asked.status(now).state;
				asio::post(this->thread.context(),
					[state, wakeup, found]
					{
						*state = found;
						wakeup->cancel();
					});
			}));
		if (this->core->try_push(question))
		{
			co_await wakeup->async_wait(asio::as_tuple(asio::use_awaitable));
		}
		auto const is_ready = *state == decide::readiness::ready;
		auto answer = is_ready ? make_text(200, "ready\n") : make_text(503, "not ready\n");
		co_await talk.reply(std::move(answer));
	}

	std::shared_ptr<caller_face::session> caller_face::open(
		request_id const& request, decide::event event, http::exchange& talk)
	{
		auto const opened = std::make_shared<session>(this->thread.context());
		this->sessions.emplace(request, opened);
		core_input input(std::move(event));
		if (!this->core->try_push(input))
		{
			this->sessions.erase(request);
			return nullptr;
		}
		talk.on_close(
			[opened]
			{
				opened->is_gone = true;
				opened->wakeup.cancel();
			});
		return opened;
	}

	void caller_face::close(request_id const& request)
	{
		this->sessions.erase(request);
	}

	void caller_face::report_gone(request_id const& request)
	{
		core_input input(decide::event(decide::caller_gone{request}));
		if (!this->core->try_push(input))
		{
			auto const timer = std::make_shared<asio::steady_timer>(this->thread.context(), gone_retry);
			timer->async_wait([this, request, timer](boost::system::error_code const&) { this->report_gone(request); });
		}
	}

	request_id caller_face::next_request()
	{
		return decide::make_request_id(this->settings->instance, this->started, ++this->last_request);
	}

	void caller_face::take(decide::action&& action)
	{
		auto const request = std::visit(
			[](auto const& each)
			{
				if constexpr (requires { each.request; })
				{
					return each.request;
				}
				else
				{
					return request_id{};
				}
			},
			action);
		auto const found = this->sessions.find(request);
		if (found == this->sessions.end())
		{
			return;
		}
		auto& waiting = *found->second;
		waiting.parts.push_back(std::move(action));
		waiting.is_gone = waiting.is_gone || waiting.parts.size() > max_untaken_parts;
		waiting.wakeup.cancel();
	}

	asio::awaitable<void> caller_face::complete(http::request message, http::exchange& talk)
	{
		auto parsed = parse_completion(message.body);
		if (auto* const refusal = std::get_if<http::response>(&parsed))
		{
			co_await talk.reply(std::move(*refusal));
			co_return;
		}
		auto& body = std::get<completion_body>(parsed);
		auto const request = this->next_request();
		decide::completion_requested asked{request, service_id(body.model), bearer_token(message),
			std::make_shared<std::string const>(std::move(body.prompt)), token_count(body.max_tokens)};
		auto const parts = this->open(request, std::move(asked), talk);
		if (!parts)
		{
			co_await talk.reply(busy());
			co_return;
		}
		completion_writer writer(talk, request, body.model, body.is_streamed);
		auto is_open = true;
		while (is_open && !writer.is_done())
		{
			auto part = co_await parts->next();
			is_open = part && co_await writer.write(std::move(*part));
		}
		if (!writer.is_done())
		{
			this->report_gone(request);
		}
		this->close(request);
	}

	asio::awaitable<void> caller_face::issue_keys(http::request message, http::exchange& talk)
	{
		std::uint32_t count = 1;
		if (!message.body.empty())
		{
			boost::system::error_code error;
			auto const root = json::parse(message.body, error);
			auto const* const wanted = !error && root.is_object() ? root.as_object().if_contains("count") : nullptr;
			if (wanted == nullptr || !wanted->is_int64() || wanted->as_int64() < 1 || wanted->as_int64() > 100)
			{
				co_await talk.reply(
					malformed("the body is not {\"count\": 1 to 100}", "leave the body out for one key"));
				co_return;
			}
			count = static_cast<std::uint32_t>(wanted->as_int64());
		}
		auto const request = this->next_request();
		auto const parts = this->open(request, decide::keys_requested{request, bearer_token(message), count}, talk);
		if (!parts)
		{
			co_await talk.reply(busy());
			co_return;
		}
		auto const part = co_await parts->next();
		if (part && std::holds_alternative<decide::answer_keys>(*part))
		{
			auto const& issued = std::get<decide::answer_keys>(*part);
			json::object shown;
			shown["keys"] = json::array(issued.keys.begin(), issued.keys.end());
			shown["valid_for_s"] = std::chrono::duration_cast<seconds>(issued.valid_for).count();
			co_await talk.reply(make_json(200, shown));
		}
		else if (part)
		{
			co_await talk.reply(to_response(std::get<decide::answer_failure>(*part)));
		}
		this->close(request);
	}

	asio::awaitable<void> caller_face::call_service(http::request message, http::exchange& talk)
	{
		auto const rest = message.target.substr(services_prefix.size());
		auto const slash = std::min(rest.find('/'), rest.size());
		auto const request = this->next_request();
		decide::plain_requested asked{request, service_id(rest.substr(0, slash)), bearer_token(message), message.method,
			slash == rest.size() ? "/" : rest.substr(slash), message.find_header("Content-Type"),
			std::move(message.body), message.find_header("Idempotency-Key")};
		auto const parts = this->open(request, std::move(asked), talk);
		if (!parts)
		{
			co_await talk.reply(busy());
			co_return;
		}
		auto const part = co_await parts->next();
		if (!part)
		{
			this->report_gone(request);
		}
		else if (auto const* const failed = std::get_if<decide::answer_failure>(&*part))
		{
			co_await talk.reply(to_response(*failed));
		}
		else
		{
			auto const& passed = std::get<decide::answer_plain>(*part);
			http::response answer;
			answer.status = passed.status;
			answer.body = passed.body;
			answer.headers.push_back({"X-Request-Id", request.str()});
			if (!passed.content_type.empty())
			{
				answer.headers.push_back({"Content-Type", passed.content_type});
			}
			if (passed.outcome == decide::call_outcome::ran)
			{
				answer.headers.push_back({"X-Outcome", "ran"});
				answer.headers.push_back({"X-Replay", passed.replay ? "yes" : "no"});
			}
			co_await talk.reply(std::move(answer));
		}
		this->close(request);
	}
}
