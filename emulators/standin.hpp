#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <godwittrestle/http.hpp>

// Small stand-ins of the systems around the daemons. Each has a switchboard at POST /control for tests.
namespace godwittrestle::standins
{
	namespace asio = boost::asio;

	struct engine_settings
	{
		std::string id;
		std::string role;
		std::string model;
		std::uint32_t slots = 20;
		double prefill_tokens_per_second = 20000;
		duration token_interval = milliseconds(20);
		duration retention = milliseconds(900);
		// Whether orders with an old fencing number are refused.
		bool checks_fence = true;
	};

	// A stand-in that serves for as long as it lives.
	class standin
	{
	  public:
		standin() = default;
		standin(standin const&) = delete;
		standin& operator=(standin const&) = delete;
		standin(standin&&) = delete;
		standin& operator=(standin&&) = delete;
		virtual ~standin() = default;
		virtual asio::awaitable<void> handle(http::request message, http::exchange& talk) = 0;
	};

	// The configuration service and the instance list: versioned values that are read, watched and, by operators, put.
	[[nodiscard]] std::unique_ptr<standin> make_platform(asio::io_context& loop);

	// A prefill or decode engine. A decode engine fetches the KV cache from the prefill engine by itself, and holds a
	// request's memory until its end, a cancel or its deadline, whatever becomes of the connection.
	[[nodiscard]] std::unique_ptr<standin> make_engine(asio::io_context& loop, engine_settings settings);

	// A plain service that counts how often each call ran.
	[[nodiscard]] std::unique_ptr<standin> make_plain(asio::io_context& loop);

	[[nodiscard]] http::response make_json(boost::json::value const& body, unsigned status = 200);

	// Returns an answer with a single field. Initializer lists in co_await expressions crash GCC 12.
	[[nodiscard]] http::response make_field(
		std::string_view name, boost::json::value const& value, unsigned status = 200);

	// Parses a body as a JSON object; empty when it is anything else.
	[[nodiscard]] boost::json::object parse_object(std::string const& body);

	[[nodiscard]] std::string text_of(boost::json::object const& object, std::string_view name);
	[[nodiscard]] std::int64_t number_of(
		boost::json::object const& object, std::string_view name, std::int64_t missing);
	[[nodiscard]] bool flag_of(boost::json::object const& object, std::string_view name, bool missing);

	[[nodiscard]] asio::awaitable<void> sleep_for(duration span);

	// Returns the token at a position of the answer to a prompt: what a test compares the caller's bytes with.
	[[nodiscard]] std::string reference_token(std::string_view prompt_digest, std::uint32_t index);
}
