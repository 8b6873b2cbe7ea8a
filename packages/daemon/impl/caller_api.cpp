#include <godwittrestle/daemon/caller_api.hpp>

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

		// Maximum number of parts of an answer that wait for a slow caller; with more, the caller counts as gone.
		constexpr std::size_t max_pending_parts = 8192;
		constexpr duration busy_retry_after = milliseconds(250);
		constexpr duration caller_gone_retry_interval = milliseconds(5);
		constexpr duration query_timeout = seconds(2);
		constexpr std::string_view services_prefix = "/services/";
		constexpr std::string_view bearer_prefix = "Bearer ";

		http::response make_text_response(unsigned status, std::string text)
		{
			return {status, {{"Content-Type", "text/plain"}}, std::move(text)};
		}

		http::response make_busy_response()
		{
			return http::make_error(503, "busy", "this daemon is at its limit",
				"come back after the time in Retry-After", busy_retry_after);
		}

		http::response make_malformed_response(std::string_view message, std::string_view remedy)
		{
			return http::make_error(400, "invalid_request", message, remedy);
		}

		std::string bearer_token(http::request const& message)
		{
			auto const value = message.find_header("Authorization");
			return value.starts_with(bearer_prefix) ? value.substr(bearer_prefix.size()) : std::string{};
		}

		// The parsed body of a completion request.
		struct completion_body
		{
			std::string model;
			std::string prompt;
			std::uint32_t max_tokens = 0;
			bool is_streamed = false;
		};

		// Returns the parsed body, or the response that rejects it.
		std::variant<completion_body, http::response> parse_completion(std::string const& text)
		{
			boost::system::error_code error;
			auto const root = json::parse(text, error);
			if (error || !root.is_object())
			{
				return make_malformed_response(
					"the body is not a JSON object", "send {\"model\": ..., \"prompt\": ...}");
			}
			auto const& object = root.as_object();
			auto const* const model = object.if_contains("model");
			auto const* const prompt = object.if_contains("prompt");
			if (model == nullptr || !model->is_string() || prompt == nullptr || !prompt->is_string())
			{
				return make_malformed_response("'model' or 'prompt' is missing or not a text", "send both as texts");
			}
			completion_body body;
			body.model = model->as_string();
			body.prompt = prompt->as_string();
			if (auto const* const token_limit = object.if_contains("max_tokens"))
			{
				if (!token_limit->is_int64() || token_limit->as_int64() < 1 || token_limit->as_int64() > INT32_MAX)
				{
					return make_malformed_response(
						"'max_tokens' is not a positive whole number", "leave it out or correct it");
				}
				body.max_tokens = static_cast<std::uint32_t>(token_limit->as_int64());
			}
			if (auto const* const stream = object.if_contains("stream"))
			{
				if (!stream->is_bool())
				{
					return make_malformed_response("'stream' is neither true nor false", "leave it out or correct it");
				}
				body.is_streamed = stream->as_bool();
			}
			return body;
		}
	}

	struct caller_api::session
	{
		explicit session(asio::io_context& loop)
			: wakeup(loop, asio::steady_timer::time_point::max())
		{
		}

		// Waits for the next part of the answer. Returns an empty optional once the caller is gone.
		asio::awaitable<std::optional<decide::action>> next_part()
		{
			while (this->parts.empty() && !this->is_caller_gone)
			{
				co_await this->wakeup.async_wait(asio::as_tuple(asio::use_awaitable));
				this->wakeup.expires_at(asio::steady_timer::time_point::max());
			}
			if (this->is_caller_gone)
			{
				co_return std::nullopt;
			}
			auto part = std::move(this->parts.front());
			this->parts.pop_front();
			co_return part;
		}

		std::deque<decide::action> parts;
		asio::steady_timer wakeup;
		bool is_caller_gone = false;
	};

	caller_api::caller_api(core_loop& given_core, daemon_settings const& given_settings, incarnation given_incarnation)
		: core(&given_core)
		, settings(&given_settings)
		, started(given_incarnation)
		, inputs(given_settings.ring_capacity, this->thread.context(),
			  [this](decide::action&& action) { this->dispatch(std::move(action)); })
	{
	}

	caller_api::~caller_api()
	{
		this->stop();
	}

	void caller_api::start()
	{
		this->server =
			std::make_unique<http::server>(this->thread.context().get_executor(), this->settings->caller_address,
				this->settings->caller_limits, [this](http::request message, http::exchange& http_exchange)
				{ return this->handle(std::move(message), http_exchange); });
		this->server->start();
		this->thread.start();
	}

	void caller_api::stop()
	{
		this->inputs.close();
		this->thread.stop();
	}

	void caller_api::push(decide::action action)
	{
		this->inputs.push(std::move(action));
	}

	std::size_t caller_api::depth() const
	{
		return this->inputs.size();
	}

	asio::awaitable<void> caller_api::handle(http::request message, http::exchange& http_exchange)
	{
		auto const path = message.path();
		if (path == "/healthz")
		{
			co_await http_exchange.reply(make_text_response(200, "ok\n"));
		}
		else if (path == "/readyz")
		{
			co_await this->answer_readiness(http_exchange);
		}
		else if (path.starts_with(services_prefix))
		{
			co_await this->call_service(std::move(message), http_exchange);
		}
		else if (message.method == "POST" && path == "/v1/completions")
		{
			co_await this->handle_completion(std::move(message), http_exchange);
		}
		else if (message.method == "POST" && path == "/v1/idempotency-keys")
		{
			co_await this->issue_keys(std::move(message), http_exchange);
		}
		else
		{
			co_await http_exchange.reply(http::make_error(404, "not_found", "nothing is served here",
				"use POST /v1/completions, POST /v1/idempotency-keys or /services/{service}/..."));
		}
	}

	asio::awaitable<void> caller_api::answer_readiness(http::exchange& http_exchange)
	{
		auto const state = std::make_shared<std::optional<decide::readiness>>();
		auto const wakeup = std::make_shared<asio::steady_timer>(this->thread.context(), query_timeout);
		core_input query(core_query(
			[this, state, wakeup](decide::core const& queried_core, time_point now)
			{
				auto const found = queried_core.status(now).state;
				asio::post(this->thread.context(),
					[state, wakeup, found]
					{
						*state = found;
						wakeup->cancel();
					});
			}));
		if (this->core->try_push(query))
		{
			co_await wakeup->async_wait(asio::as_tuple(asio::use_awaitable));
		}
		auto const is_ready = *state == decide::readiness::ready;
		auto answer = is_ready ? make_text_response(200, "ready\n") : make_text_response(503, "not ready\n");
		co_await http_exchange.reply(std::move(answer));
	}

	std::shared_ptr<caller_api::session> caller_api::open(
		request_id const& request, decide::event event, http::exchange& http_exchange)
	{
		auto const opened = std::make_shared<session>(this->thread.context());
		this->sessions.emplace(request, opened);
		core_input input(std::move(event));
		if (!this->core->try_push(input))
		{
			this->sessions.erase(request);
			return nullptr;
		}
		http_exchange.on_close(
			[opened]
			{
				opened->is_caller_gone = true;
				opened->wakeup.cancel();
			});
		return opened;
	}

	void caller_api::close(request_id const& request)
	{
		this->sessions.erase(request);
	}

	void caller_api::report_caller_gone(request_id const& request)
	{
		core_input input(decide::event(decide::caller_gone{request}));
		if (!this->core->try_push(input))
		{
			auto const timer = std::make_shared<asio::steady_timer>(this->thread.context(), caller_gone_retry_interval);
			timer->async_wait(
				[this, request, timer](boost::system::error_code const&) { this->report_caller_gone(request); });
		}
	}

	request_id caller_api::next_request_id()
	{
		return decide::make_request_id(this->settings->instance, this->started, ++this->last_request);
	}

	void caller_api::dispatch(decide::action&& action)
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
		auto& found_session = *found->second;
		found_session.parts.push_back(std::move(action));
		found_session.is_caller_gone = found_session.is_caller_gone || found_session.parts.size() > max_pending_parts;
		found_session.wakeup.cancel();
	}

	asio::awaitable<void> caller_api::handle_completion(http::request message, http::exchange& http_exchange)
	{
		auto parsed = parse_completion(message.body);
		if (auto* const refusal = std::get_if<http::response>(&parsed))
		{
			co_await http_exchange.reply(std::move(*refusal));
			co_return;
		}
		auto& body = std::get<completion_body>(parsed);
		auto const request = this->next_request_id();
		decide::completion_requested request_event{request, service_id(body.model), bearer_token(message),
			std::make_shared<std::string const>(std::move(body.prompt)), token_count(body.max_tokens)};
		auto const request_session = this->open(request, std::move(request_event), http_exchange);
		if (!request_session)
		{
			co_await http_exchange.reply(make_busy_response());
			co_return;
		}
		completion_writer writer(http_exchange, request, body.model, body.is_streamed);
		auto is_open = true;
		while (is_open && !writer.is_done())
		{
			auto part = co_await request_session->next_part();
			is_open = part && co_await writer.write(std::move(*part));
		}
		if (!writer.is_done())
		{
			this->report_caller_gone(request);
		}
		this->close(request);
	}

	asio::awaitable<void> caller_api::issue_keys(http::request message, http::exchange& http_exchange)
	{
		std::uint32_t count = 1;
		if (!message.body.empty())
		{
			boost::system::error_code error;
			auto const root = json::parse(message.body, error);
			auto const* const requested_count =
				!error && root.is_object() ? root.as_object().if_contains("count") : nullptr;
			if (requested_count == nullptr || !requested_count->is_int64() || requested_count->as_int64() < 1 ||
				requested_count->as_int64() > 100)
			{
				co_await http_exchange.reply(
					make_malformed_response("the body is not {\"count\": 1 to 100}", "leave the body out for one key"));
				co_return;
			}
			count = static_cast<std::uint32_t>(requested_count->as_int64());
		}
		auto const request = this->next_request_id();
		auto const request_session =
			this->open(request, decide::keys_requested{request, bearer_token(message), count}, http_exchange);
		if (!request_session)
		{
			co_await http_exchange.reply(make_busy_response());
			co_return;
		}
		auto const part = co_await request_session->next_part();
		if (part && std::holds_alternative<decide::answer_keys>(*part))
		{
			auto const& issued = std::get<decide::answer_keys>(*part);
			json::object key_list;
			key_list["keys"] = json::array(issued.keys.begin(), issued.keys.end());
			key_list["valid_for_s"] = std::chrono::duration_cast<seconds>(issued.valid_for).count();
			co_await http_exchange.reply(make_json_response(200, key_list));
		}
		else if (part)
		{
			co_await http_exchange.reply(to_response(std::get<decide::answer_failure>(*part)));
		}
		this->close(request);
	}

	asio::awaitable<void> caller_api::call_service(http::request message, http::exchange& http_exchange)
	{
		auto const rest = message.target.substr(services_prefix.size());
		auto const slash = std::min(rest.find('/'), rest.size());
		auto const request = this->next_request_id();
		decide::plain_requested request_event{request, service_id(rest.substr(0, slash)), bearer_token(message),
			message.method, slash == rest.size() ? "/" : rest.substr(slash), message.find_header("Content-Type"),
			std::move(message.body), message.find_header("Idempotency-Key")};
		auto const request_session = this->open(request, std::move(request_event), http_exchange);
		if (!request_session)
		{
			co_await http_exchange.reply(make_busy_response());
			co_return;
		}
		auto const part = co_await request_session->next_part();
		if (!part)
		{
			this->report_caller_gone(request);
		}
		else if (auto const* const failed = std::get_if<decide::answer_failure>(&*part))
		{
			co_await http_exchange.reply(to_response(*failed));
		}
		else
		{
			auto const& plain_answer = std::get<decide::answer_plain>(*part);
			http::response answer;
			answer.status = plain_answer.status;
			answer.body = plain_answer.body;
			answer.headers.push_back({"X-Request-Id", request.str()});
			if (!plain_answer.content_type.empty())
			{
				answer.headers.push_back({"Content-Type", plain_answer.content_type});
			}
			if (plain_answer.outcome == decide::call_outcome::ran)
			{
				answer.headers.push_back({"X-Outcome", "ran"});
				answer.headers.push_back({"X-Replay", plain_answer.replay ? "yes" : "no"});
			}
			co_await http_exchange.reply(std::move(answer));
		}
		this->close(request);
	}
}
