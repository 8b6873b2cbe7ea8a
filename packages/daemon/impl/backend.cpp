#include <godwittrestle/daemon/backend.hpp>

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/http/sse.hpp>

namespace godwittrestle::daemon
{
	// GCC 12 destroys temporaries in co_await expressions twice when they come from braces, conversions or conditional
	// operators. Arguments of awaited calls are therefore named variables.
	namespace
	{
		namespace json = boost::json;

		constexpr http::call_options short_call_options{seconds(1), false};
		constexpr duration stream_head_timeout = seconds(10);
		constexpr unsigned status_ok = 200;
		constexpr unsigned status_conflict = 409;
		constexpr unsigned status_gone = 410;
		constexpr unsigned status_too_many = 429;
		constexpr std::string_view leaving_header = "X-Leaving";

		std::int64_t to_wire_ms(duration span)
		{
			return std::max<std::int64_t>(1, std::chrono::ceil<milliseconds>(span).count());
		}

		std::optional<http::endpoint> endpoint_of(std::string const& address)
		{
			return handle_failure(
				[&]() -> result<std::optional<http::endpoint>>
				{
					BOOST_LEAF_AUTO(where, http::parse_endpoint(address, "backend server"));
					return std::optional(where);
				},
				[](failure const&) { return std::optional<http::endpoint>{}; });
		}

		http::request make_post(std::string target, json::object const& body)
		{
			http::request message;
			message.method = "POST";
			message.target = std::move(target);
			message.headers.push_back({"Content-Type", "application/json"});
			message.body = json::serialize(body);
			return message;
		}

		// Returns the JSON object in the body of an answer; an empty object when the body is anything else.
		json::object parse_object(std::string const& body)
		{
			boost::system::error_code error;
			auto value = json::parse(body, error);
			return !error && value.is_object() ? std::move(value.as_object()) : json::object{};
		}

		template <typename Number>
		Number number_in(json::object const& object, std::string_view name, Number default_value)
		{
			auto const* const value = object.if_contains(name);
			if (value == nullptr || !value->is_number())
			{
				return default_value;
			}
			boost::system::error_code error;
			auto const number = value->to_number<Number>(error);
			return error ? default_value : number;
		}

		std::string text_in(json::object const& object, std::string_view name)
		{
			auto const* const value = object.if_contains(name);
			return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string{};
		}

		std::vector<std::uint64_t> numbers_in(json::object const& object, std::string_view name)
		{
			std::vector<std::uint64_t> numbers;
			auto const* const value = object.if_contains(name);
			if (value != nullptr && value->is_array())
			{
				for (auto const& each : value->as_array())
				{
					// Hashes are sent as text, because other JSON implementations lose the low bits of large numbers.
					auto const number =
						each.is_string() ? parse_number(std::string_view(each.as_string())) : std::nullopt;
					if (number)
					{
						numbers.push_back(*number);
					}
				}
			}
			return numbers;
		}

		decide::call_failed make_call_failed(call_id call, decide::call_failure kind)
		{
			return {call, kind};
		}

		decide::call_failed make_call_failed(call_id call, http::client_failure kind)
		{
			return make_call_failed(call, kind == http::client_failure::not_connected
											  ? decide::call_failure::not_connected
											  : decide::call_failure::lost);
		}

		// Returns the failure that an engine's error answer reports. An answer of no known kind counts as lost.
		decide::call_failed classify_refusal(call_id call, http::response const& answer)
		{
			if (!answer.find_header(leaving_header).empty())
			{
				return make_call_failed(call, decide::call_failure::leaving);
			}
			auto const is_rejection =
				answer.status == status_conflict || answer.status == status_gone || answer.status == status_too_many;
			return make_call_failed(call, is_rejection ? decide::call_failure::rejected : decide::call_failure::lost);
		}

		asio::awaitable<decide::event> run_prefill(http::client& client, decide::start_prefill call)
		{
			auto const where = endpoint_of(call.address);
			if (!where)
			{
				co_return make_call_failed(call.call, decide::call_failure::not_connected);
			}
			json::object body{{"request", call.attempt}, {"model", call.model}, {"prompt", *call.prompt},
				{"resume_at", call.resume_at}, {"priority", call.priority},
				{"deadline_ms", to_wire_ms(call.hard_deadline)}};
			http::call_options const options{call.hard_deadline, false};
			auto message = make_post("/v1/prefill", body);
			auto const outcome = co_await client.call(*where, std::move(message), options);
			if (auto const* const connection_failure = std::get_if<http::client_failure>(&outcome))
			{
				co_return make_call_failed(call.call, *connection_failure);
			}
			auto const& answer = std::get<http::response>(outcome);
			if (answer.status != status_ok)
			{
				co_return classify_refusal(call.call, answer);
			}
			auto const content = parse_object(answer.body);
			auto transfer = text_in(content, "transfer");
			if (transfer.empty())
			{
				co_return make_call_failed(call.call, decide::call_failure::lost);
			}
			co_return decide::prefill_finished{
				call.call, std::move(transfer), token_count(number_in<std::uint32_t>(content, "cached_tokens", 0))};
		}

		// Parses the events of a decode stream and passes its tokens on. A stream with a malformed event counts as
		// lost, even when valid events follow.
		class decode_reader
		{
		  public:
			decode_reader(call_id given_call, backend_interface::token_sink given_sink)
				: call(given_call)
				, sink(std::move(given_sink))
			{
			}

			asio::awaitable<void> consume(std::string_view piece)
			{
				for (auto const& event : this->parser.feed(piece))
				{
					if (event.name == "end")
					{
						this->total = number_in<std::uint32_t>(parse_object(event.data), "total", 0);
						this->is_ended = true;
						continue;
					}
					auto const index = parse_number(event.id);
					auto const content = parse_object(event.data);
					if (!index || !content.contains("token") || *index > UINT32_MAX)
					{
						this->is_malformed = true;
						continue;
					}
					decide::token_received token{
						this->call, static_cast<std::uint32_t>(*index), text_in(content, "token")};
					co_await this->sink(std::move(token));
				}
			}

			[[nodiscard]] decide::event result() const
			{
				if (this->is_ended && !this->is_malformed)
				{
					return decide::decode_finished{this->call, this->total};
				}
				return make_call_failed(this->call, decide::call_failure::lost);
			}

		  private:
			call_id call;
			backend_interface::token_sink sink;
			http::sse_parser parser;
			std::uint32_t total = 0;
			bool is_ended = false;
			bool is_malformed = false;
		};

		asio::awaitable<decide::event> run_decode(
			http::client& client, decide::start_decode call, backend_interface::token_sink sink)
		{
			auto const where = endpoint_of(call.address);
			if (!where)
			{
				co_return make_call_failed(call.call, decide::call_failure::not_connected);
			}
			json::object body{{"request", call.attempt}, {"transfer", call.transfer}, {"resume_at", call.resume_at},
				{"max_tokens", call.output_tokens.count()}, {"priority", call.priority},
				{"deadline_ms", to_wire_ms(call.hard_deadline)}};
			decode_reader reader(call.call, std::move(sink));
			http::call_options const options{std::min<duration>(call.hard_deadline, stream_head_timeout), true};
			std::function<asio::awaitable<void>(std::string_view)> on_piece = [&reader](std::string_view piece)
			{
				return reader.consume(piece);
			};
			auto message = make_post("/v1/decode", body);
			auto const outcome = co_await client.stream(*where, std::move(message), options, std::move(on_piece));
			if (auto const* const connection_failure = std::get_if<http::client_failure>(&outcome))
			{
				co_return make_call_failed(call.call, *connection_failure);
			}
			auto const& answer = std::get<http::response>(outcome);
			co_return answer.status == status_ok ? reader.result() : decide::event(classify_refusal(call.call, answer));
		}

		asio::awaitable<decide::event> run_plain(http::client& client, decide::start_plain call)
		{
			auto const where = endpoint_of(call.address);
			if (!where)
			{
				co_return make_call_failed(call.call, decide::call_failure::not_connected);
			}
			http::request message{call.method, call.target, {}, call.body};
			if (!call.content_type.empty())
			{
				message.headers.push_back({"Content-Type", call.content_type});
			}
			http::call_options const options{call.timeout, call.fresh_connection};
			auto outcome = co_await client.call(*where, std::move(message), options);
			if (auto const* const connection_failure = std::get_if<http::client_failure>(&outcome))
			{
				co_return make_call_failed(call.call, *connection_failure);
			}
			auto& answer = std::get<http::response>(outcome);
			if (!answer.find_header(leaving_header).empty())
			{
				co_return make_call_failed(call.call, decide::call_failure::leaving);
			}
			co_return decide::plain_answered{
				call.call, answer.status, answer.find_header("Content-Type"), std::move(answer.body)};
		}

		asio::awaitable<std::optional<decide::event>> run_cancel(http::client& client, decide::cancel_attempt call)
		{
			auto const where = endpoint_of(call.address);
			if (!where)
			{
				co_return std::nullopt;
			}
			json::object body{{"request", call.attempt}};
			auto message = make_post("/v1/cancel", body);
			auto const outcome = co_await client.call(*where, std::move(message), short_call_options);
			auto const* const answer = std::get_if<http::response>(&outcome);
			if (answer == nullptr || answer->status != status_ok)
			{
				co_return std::nullopt;
			}
			co_return decide::cancel_acknowledged{call.server, call.attempt};
		}

		decide::load_report parse_load(json::object const& content)
		{
			decide::load_report report;
			report.model = text_in(content, "model");
			report.role = text_in(content, "role");
			report.fence = platform_version(number_in<std::uint64_t>(content, "fence", 0));
			auto const* const leaving = content.if_contains("leaving");
			report.leaving = leaving != nullptr && leaving->is_bool() && leaving->as_bool();
			if (auto const* const held = content.if_contains("held"); held != nullptr && held->is_array())
			{
				for (auto const& each : held->as_array())
				{
					if (each.is_string())
					{
						report.held.push_back({std::string(each.as_string())});
					}
				}
			}
			report.cache_sequence = number_in<std::uint64_t>(content, "cache_sequence", 0);
			auto const* const gap = content.if_contains("cache_gap");
			report.cache_gap = gap != nullptr && gap->is_bool() && gap->as_bool();
			report.cache_added = numbers_in(content, "cache_added");
			report.cache_removed = numbers_in(content, "cache_removed");
			return report;
		}

		asio::awaitable<std::optional<decide::event>> run_load(http::client& client, decide::poll_load call)
		{
			auto const where = endpoint_of(call.address);
			if (!where)
			{
				co_return std::nullopt;
			}
			http::request message;
			message.target = "/v1/load?cache_after=" + std::to_string(call.cache_sequence);
			auto const outcome = co_await client.call(*where, std::move(message), short_call_options);
			auto const* const answer = std::get_if<http::response>(&outcome);
			auto const content = answer == nullptr ? json::object{} : parse_object(answer->body);
			if (answer == nullptr || answer->status != status_ok || !content.contains("held"))
			{
				co_return std::nullopt;
			}
			co_return decide::load_reported{call.server, parse_load(content)};
		}

		asio::awaitable<void> run_order(http::client& client, decide::send_order call)
		{
			auto const where = endpoint_of(call.address);
			if (!where)
			{
				co_return;
			}
			json::object body{{"model", call.model}, {"role", call.role}, {"fence", call.fence.count()}};
			// The engine's next load report shows whether it carried out the order, so the answer is not read.
			auto message = make_post("/v1/orders", body);
			co_await client.call(*where, std::move(message), short_call_options);
		}
	}

	backend_interface make_http_backend(http::client& client)
	{
		backend_interface backend;
		backend.prefill = [&client](decide::start_prefill call)
		{
			return run_prefill(client, std::move(call));
		};
		backend.decode = [&client](decide::start_decode call, backend_interface::token_sink sink)
		{
			return run_decode(client, std::move(call), std::move(sink));
		};
		backend.plain = [&client](decide::start_plain call)
		{
			return run_plain(client, std::move(call));
		};
		backend.cancel = [&client](decide::cancel_attempt call)
		{
			return run_cancel(client, std::move(call));
		};
		backend.load = [&client](decide::poll_load call)
		{
			return run_load(client, std::move(call));
		};
		backend.order = [&client](decide::send_order call)
		{
			return run_order(client, std::move(call));
		};
		return backend;
	}
}
