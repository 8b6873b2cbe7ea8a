#include "standin.hpp"

#include <map>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>

namespace godwittrestle::standins
{
	namespace
	{
		constexpr std::size_t bytes_per_token = 4;
		// Number of hexadecimal digits of a prompt's SHA-256 digest that this engine keeps.
		constexpr std::size_t prompt_digest_digits = 16;
		constexpr duration poll_interval = milliseconds(5);

		using clock = std::chrono::steady_clock;

		class engine final : public standin
		{
		  public:
			engine(asio::io_context& loop, engine_settings initial_settings)
				: settings(std::move(initial_settings))
				, client(loop.get_executor())
				, role(settings.role)
				, model(settings.model)
			{
			}

			asio::awaitable<void> handle(http::request message, http::exchange& http_exchange) override
			{
				auto const path = std::string(message.path());
				auto const body = parse_object(message.body);
				this->remove_expired();
				if (this->is_silent && path != "/control")
				{
					// Keeps the connection open for 30 s, then ends the exchange without an answer.
					co_await sleep_for(seconds(30));
					co_return;
				}
				if (path == "/v1/prefill")
				{
					co_await this->prefill(body, http_exchange);
				}
				else if (path == "/v1/transfer")
				{
					co_await this->transfer(text_of(body, "request"), http_exchange);
				}
				else if (path == "/v1/decode")
				{
					co_await this->decode(body, http_exchange);
				}
				else if (path == "/v1/cancel")
				{
					this->held.erase(text_of(body, "request"));
					co_await http_exchange.reply(make_field_response("held", this->held.size()));
				}
				else if (path == "/v1/load")
				{
					co_await http_exchange.reply(make_json_response(this->load()));
				}
				else if (path == "/v1/orders")
				{
					co_await this->apply_order(body, http_exchange);
				}
				else if (path == "/control")
				{
					this->control(body);
					co_await http_exchange.reply(make_json_response(this->load()));
				}
				else
				{
					co_await http_exchange.reply(make_json_response(nullptr, 404));
				}
			}

		  private:
			// A request whose KV cache takes memory in this engine.
			struct held_request
			{
				// Empty on a decode engine.
				std::string prompt_digest;
				clock::time_point expires_at;
			};

			void control(boost::json::object const& switches)
			{
				this->is_leaving = flag_of(switches, "leaving", this->is_leaving);
				this->is_silent = flag_of(switches, "silent", this->is_silent);
			}

			void remove_expired()
			{
				std::erase_if(this->held, [](auto const& each) { return each.second.expires_at <= clock::now(); });
			}

			[[nodiscard]] boost::json::object load()
			{
				this->remove_expired();
				boost::json::array attempts;
				for (auto const& [attempt, request] : this->held)
				{
					attempts.push_back(boost::json::string(attempt));
				}
				return {{"held", std::move(attempts)}, {"model", this->model}, {"role", this->role},
					{"fence", this->fence}, {"leaving", this->is_leaving}, {"cache_sequence", 0},
					{"prefills", this->prefills}};
			}

			asio::awaitable<bool> refuse_if_leaving(http::exchange& http_exchange)
			{
				if (this->is_leaving)
				{
					auto refusal = make_field_response("error", "leaving", 503);
					refusal.headers.push_back({"X-Leaving", "yes"});
					co_await http_exchange.reply(std::move(refusal));
				}
				co_return this->is_leaving;
			}

			asio::awaitable<void> prefill(boost::json::object body, http::exchange& http_exchange)
			{
				if (co_await this->refuse_if_leaving(http_exchange))
				{
					co_return;
				}
				auto const attempt = text_of(body, "request");
				auto const prompt = text_of(body, "prompt");
				auto const digest = sha256_hex(prompt).substr(0, prompt_digest_digits);
				auto const deadline = milliseconds(number_of(body, "deadline_ms", 60'000));
				++this->prefills;
				this->held[attempt] = {digest, clock::now() + deadline};
				auto const tokens = static_cast<double>(prompt.size()) / bytes_per_token + 1;
				auto const prefill_time =
					duration(static_cast<duration::rep>(tokens / this->settings.prefill_tokens_per_second * 1e6));
				// Prefills run one at a time: each starts when all earlier ones have ended.
				auto const started_at = std::max(clock::now(), this->busy_until);
				this->busy_until = started_at + prefill_time;
				co_await sleep_for(std::chrono::duration_cast<duration>(this->busy_until - clock::now()));
				auto const found = this->held.find(attempt);
				if (found == this->held.end())
				{
					co_await http_exchange.reply(make_field_response("error", "cancelled", 410));
					co_return;
				}
				found->second.expires_at = std::min(found->second.expires_at, clock::now() + this->settings.retention);
				boost::json::object answer{
					{"transfer", fmt::format("{}|{}", this->settings.id, attempt)}, {"cached_tokens", 0}};
				co_await http_exchange.reply(make_json_response(answer));
			}

			asio::awaitable<void> transfer(std::string attempt, http::exchange& http_exchange)
			{
				auto const found = this->held.find(attempt);
				if (found == this->held.end())
				{
					co_await http_exchange.reply(make_field_response("error", "evicted", 410));
					co_return;
				}
				boost::json::object answer{{"prompt_digest", found->second.prompt_digest}};
				this->held.erase(found);
				co_await http_exchange.reply(make_json_response(answer));
			}

			// Fetches a request's KV cache from its prefill engine and returns the prompt's digest. Returns nothing
			// when the call fails or the engine no longer holds the KV cache.
			asio::awaitable<std::optional<std::string>> fetch(std::string transfer)
			{
				auto const separator = transfer.find('|');
				auto const colon = transfer.rfind(':', separator);
				http::request message;
				message.method = "POST";
				message.target = "/v1/transfer";
				message.body = boost::json::serialize(boost::json::object{{"request", transfer.substr(separator + 1)}});
				http::endpoint prefill_engine;
				prefill_engine.address = transfer.substr(0, colon);
				prefill_engine.port = static_cast<unsigned short>(std::atoi(transfer.c_str() + colon + 1));
				http::call_options const options;
				auto const outcome = co_await this->client.call(prefill_engine, std::move(message), options);
				auto const* const answer = std::get_if<http::response>(&outcome);
				if (answer == nullptr || answer->status != 200)
				{
					co_return std::nullopt;
				}
				co_return text_of(parse_object(answer->body), "prompt_digest");
			}

			asio::awaitable<void> decode(boost::json::object body, http::exchange& http_exchange)
			{
				if (co_await this->refuse_if_leaving(http_exchange))
				{
					co_return;
				}
				auto const attempt = text_of(body, "request");
				auto const deadline = clock::now() + milliseconds(number_of(body, "deadline_ms", 60'000));
				while (this->held.size() >= this->settings.slots && clock::now() < deadline)
				{
					co_await sleep_for(poll_interval);
					this->remove_expired();
				}
				this->held[attempt] = {"", deadline};
				auto const digest = co_await this->fetch(text_of(body, "transfer"));
				if (!digest)
				{
					this->held.erase(attempt);
					co_await http_exchange.reply(make_field_response("error", "the KV cache is gone", 410));
					co_return;
				}
				co_await this->stream(attempt, *digest, body, http_exchange);
			}

			asio::awaitable<void> stream(
				std::string attempt, std::string digest, boost::json::object body, http::exchange& http_exchange)
			{
				auto const first = static_cast<std::uint32_t>(number_of(body, "resume_at", 0));
				auto const total = static_cast<std::uint32_t>(number_of(body, "max_tokens", 16));
				http::response head;
				head.headers.push_back({"Content-Type", "text/event-stream"});
				auto is_open = co_await http_exchange.begin_stream(std::move(head));
				for (auto index = first; index < total; ++index)
				{
					co_await sleep_for(this->settings.token_interval);
					while (this->is_silent)
					{
						co_await sleep_for(poll_interval);
					}
					if (!this->held.contains(attempt))
					{
						co_return;
					}
					boost::json::object const token{{"token", reference_token(digest, index)}};
					http::sse_event const event{std::to_string(index), "", boost::json::serialize(token)};
					// After the caller closes the connection, decoding goes on: the request keeps its slot until its
					// last token, a cancel or its deadline.
					is_open = is_open && co_await http_exchange.write(http::to_text(event));
				}
				this->held.erase(attempt);
				boost::json::object const end{{"total", total}};
				http::sse_event const event{"", "end", boost::json::serialize(end)};
				is_open = is_open && co_await http_exchange.write(http::to_text(event));
				is_open = is_open && co_await http_exchange.end_stream();
			}

			asio::awaitable<void> apply_order(boost::json::object body, http::exchange& http_exchange)
			{
				auto const order_fence = static_cast<std::uint64_t>(number_of(body, "fence", 0));
				if (this->settings.checks_fence && order_fence < this->fence)
				{
					co_await http_exchange.reply(make_field_response("error", "old fence", 409));
					co_return;
				}
				this->fence = order_fence;
				this->model = text_of(body, "model");
				this->role = text_of(body, "role");
				co_await http_exchange.reply(make_field_response("model", boost::json::string(this->model)));
			}

			engine_settings settings;
			http::client client;
			std::string role;
			std::string model;
			// Held requests, keyed by the attempt: the "request" field of the messages.
			std::map<std::string, held_request> held;
			// End of the last prefill that was accepted.
			clock::time_point busy_until;
			std::uint64_t fence = 0;
			std::uint64_t prefills = 0;
			bool is_leaving = false;
			bool is_silent = false;
		};
	}

	std::unique_ptr<standin> make_engine(asio::io_context& loop, engine_settings settings)
	{
		return std::make_unique<engine>(loop, std::move(settings));
	}
}
