#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <godwittrestle/http.hpp>

// Stand-ins for the systems that a daemon talks to, for tests and demonstrations. POST /control sets the behaviour of a
// stand-in: each field of its JSON body is a switch, and a switch that is left out keeps its value.
namespace godwittrestle::standins
{
	namespace asio = boost::asio;

	struct engine_settings
	{
		// Address and port on which the engine listens. Decode engines fetch KV caches from there.
		std::string id;
		std::string role;
		std::string model;
		// Number of requests that a decode engine holds at the same time. Further requests wait for a slot, at most
		// until their deadline.
		std::uint32_t slots = 20;
		double prefill_tokens_per_second = 20000;
		duration token_interval = milliseconds(20);
		// How long a finished prefill is held for its transfer, unless its deadline is earlier.
		duration retention = milliseconds(900);
		// Whether the engine refuses an order whose fencing number is lower than that of the last order.
		bool checks_fence = true;
	};

	// Interface of a stand-in: it handles the requests of an http::server.
	class standin
	{
	  public:
		standin() = default;
		standin(standin const&) = delete;
		standin& operator=(standin const&) = delete;
		standin(standin&&) = delete;
		standin& operator=(standin&&) = delete;
		virtual ~standin() = default;
		virtual asio::awaitable<void> handle(http::request message, http::exchange& http_exchange) = 0;
	};

	// Creates a stand-in for the configuration service and the instance list. It holds versioned values. Daemons read
	// them and wait for new versions; operators write them with PUT.
	[[nodiscard]] std::unique_ptr<standin> make_platform(asio::io_context& loop);

	// Creates a stand-in for a prefill or decode engine. A decode engine fetches the KV cache from the prefill engine
	// itself. It holds a request's memory until the last token, a cancel or the deadline, also when the caller closes
	// the connection earlier.
	[[nodiscard]] std::unique_ptr<standin> make_engine(asio::io_context& loop, engine_settings settings);

	// Creates a stand-in for a plain service that counts how often each call ran.
	[[nodiscard]] std::unique_ptr<standin> make_plain(asio::io_context& loop);

	[[nodiscard]] http::response make_json_response(boost::json::value const& body, unsigned status = 200);

	// Returns an answer whose JSON body has one field. Callers use it instead of an initializer list, because an
	// initializer list in a co_await expression crashes GCC 12.
	[[nodiscard]] http::response make_field_response(
		std::string_view name, boost::json::value const& value, unsigned status = 200);

	// Parses a body as a JSON object. Returns an empty object when the body is not valid JSON or not an object.
	[[nodiscard]] boost::json::object parse_object(std::string const& body);

	// Return the value of a field. If the field is missing or has another type, text_of returns an empty string and the
	// others return the given default.
	[[nodiscard]] std::string text_of(boost::json::object const& object, std::string_view name);
	[[nodiscard]] std::int64_t number_of(
		boost::json::object const& object, std::string_view name, std::int64_t default_value);
	[[nodiscard]] bool flag_of(boost::json::object const& object, std::string_view name, bool default_value);

	[[nodiscard]] asio::awaitable<void> sleep_for(duration delay);

	// Returns the token at an index of the answer to a prompt. It depends only on its arguments, so that a test can
	// compute the expected output.
	[[nodiscard]] std::string reference_token(std::string_view prompt_digest, std::uint32_t index);
}
